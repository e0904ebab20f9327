//! Listeners for callers, for queries, for other VMs and for the collection of metrics.

use crate::{
    activity::{Activity, MonitoredStream},
    clock, feed,
    forwarding::Hop,
    queries, serve,
    shared::Shared,
    status,
};
use bytes::Bytes;
use core::{
    convert::Infallible,
    future::pending,
    net::SocketAddr,
    pin::{Pin, pin},
    time::Duration,
};
use http::{Request, Response};
use http_body_util::{BodyExt as _, Either, Full, Limited};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::{Service, service_fn},
};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt as _, Snafu};
use std::sync::Arc;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::sleep,
};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Delay after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Minimum buffer size that `hyper` accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Maximum size of the headers that a VM adds to a call that it forwards.
const MAX_ADDED_HEAD_BYTES: usize = 1 << 10;
/// Interval at which a connection that needs a larger buffer looks whether its request has ended.
const REQUEST_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum size of a feed request from another VM.
const MAX_FEED_REQUEST_BYTES: usize = 4 << 10;

/// Opening a listener failed.
#[derive(Debug, Snafu)]
#[snafu(display("failed to listen on {address}: {source}"))]
pub struct ListenError {
    address: SocketAddr,
    source: std::io::Error,
}

/// Purpose of a listener.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Port {
    /// Calls of callers.
    Callers,
    /// Queries for this VM's readiness and for the addresses of VMs.
    Questions,
    /// Feed requests and forwarded calls from other VMs.
    Peers,
    /// Requests for metrics and for the status.
    Metrics,
}

impl Port {
    /// Size of what may be added to the heads of callers' requests.
    const fn extra_head_bytes(self) -> usize {
        match self {
            Self::Peers => MAX_ADDED_HEAD_BYTES,
            Self::Callers | Self::Questions | Self::Metrics => 0,
        }
    }
}

/// Opens a listener.
pub(crate) fn listen(address: SocketAddr) -> Result<TcpListener, ListenError> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().context(ListenSnafu { address })
}

/// Accepts connections until the process exits.
pub(crate) async fn accept(shared: Arc<Shared>, listener: TcpListener, port: Port) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(Arc::clone(&shared), stream, port));
            }
            Err(error) => {
                tracing::warn!(event = "accept", ?port, %error, "listener");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream, port: Port) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "set connection options");
    }
    let activity = Activity::start(clock::now());
    let limits = || shared.table.load().limits();
    let mut timeout = pin!(activity.wait_for_timeout(limits));
    let mut stream = MonitoredStream::new(stream, Arc::clone(&activity));
    let result = loop {
        let head_bytes = *shared.head_limit.borrow();
        let mut builder = http1::Builder::new();
        builder
            .header_read_timeout(None)
            .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES) + port.extra_head_bytes());
        let io = TokioIo::new(stream);
        let raised = wait_for_larger_heads(&shared, &activity, head_bytes);
        let end = match port {
            Port::Callers => {
                let service = service_fn(|request| {
                    let guard = activity.begin_request();
                    let shared = Arc::clone(&shared);
                    async move {
                        Ok::<_, Infallible>(serve::serve(shared, request, guard, Hop::Caller).await)
                    }
                });
                let connection = builder.serve_connection(io, service);
                drive(connection, timeout.as_mut(), raised).await
            }
            Port::Peers => {
                let service = service_fn(|mut request| {
                    let guard = activity.begin_request();
                    let shared = Arc::clone(&shared);
                    async move {
                        let Some(hop) = Hop::take(&mut request) else {
                            guard.mark_unread();
                            let response = respond(&shared, request, port).await;
                            drop(guard);
                            return Ok::<_, Infallible>(response.map(Either::Right));
                        };
                        let response = serve::serve(shared, request, guard, hop).await;
                        Ok(response.map(Either::Left))
                    }
                });
                let connection = builder.serve_connection(io, service);
                drive(connection, timeout.as_mut(), raised).await
            }
            Port::Questions | Port::Metrics => {
                let service = service_fn(|request| {
                    let guard = activity.begin_request();
                    let shared = Arc::clone(&shared);
                    async move {
                        let response = respond(&shared, request, port).await;
                        drop(guard);
                        Ok::<_, Infallible>(response)
                    }
                });
                let connection = builder.serve_connection(io, service);
                drive(connection, timeout.as_mut(), pending()).await
            }
        };
        match end {
            ConnectionEnd::Closed(result) => break result,
            ConnectionEnd::Outgrown(reopened) => stream = reopened,
        }
    };
    if let Err(error) = result {
        tracing::trace!(?port, %error, "connection ended");
    }
}

/// Why `hyper` no longer serves a connection.
enum ConnectionEnd {
    Closed(hyper::Result<()>),
    /// Its buffer is too small for the heads that are allowed now.
    Outgrown(MonitoredStream),
}

/// Serves a connection until it ends, times out, or `outgrown` ends between two requests.
async fn drive<S, B>(
    mut connection: http1::Connection<TokioIo<MonitoredStream>, S>,
    timeout: Pin<&mut impl Future<Output = ()>>,
    outgrown: impl Future<Output = ()>,
) -> ConnectionEnd
where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible> + Unpin,
    B: Body<Error: Into<Box<dyn core::error::Error + Send + Sync>>> + 'static,
{
    tokio::select! {
        biased;
        result = &mut connection => return ConnectionEnd::Closed(result),
        () = timeout => return ConnectionEnd::Closed(Ok(())),
        () = outgrown => {}
    }
    let parts = connection.into_parts();
    ConnectionEnd::Outgrown(parts.io.into_inner().unread(parts.read_buf))
}

/// Waits until heads may be larger than `head_bytes` and the connection is between two requests.
/// `hyper` doesn't change the size of a connection's buffer.
async fn wait_for_larger_heads(shared: &Shared, activity: &Activity, head_bytes: usize) {
    let mut limits = shared.head_limit.subscribe();
    // The sender is not dropped during the wait.
    while *limits.borrow_and_update() <= head_bytes && limits.changed().await.is_ok() {}
    while !activity.is_between_requests() {
        sleep(REQUEST_POLL_INTERVAL).await;
    }
}

async fn respond(
    shared: &Shared,
    request: Request<Incoming>,
    port: Port,
) -> http::Response<Full<Bytes>> {
    match port {
        Port::Peers => {
            let arrived = clock::now();
            match Limited::new(request.into_body(), MAX_FEED_REQUEST_BYTES)
                .collect()
                .await
            {
                Ok(body) => feed::answer(shared, arrived, &body.to_bytes()).await,
                Err(error) => {
                    tracing::warn!(event = "unreadable", %error, "feed");
                    queries::empty(http::StatusCode::BAD_REQUEST)
                }
            }
        }
        Port::Metrics if request.uri().path() == status::STATUS_PATH => status::response(shared),
        Port::Metrics => shared.metrics.response(),
        Port::Questions | Port::Callers => queries::answer(shared, &request),
    }
}
