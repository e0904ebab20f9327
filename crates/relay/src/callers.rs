//! The listeners for callers, for questions and for other VMs.

use crate::{
    clock, feed, questions, serve,
    shared::Shared,
    watched::{Activity, Watched},
};
use bytes::Bytes;
use core::{convert::Infallible, net::SocketAddr, time::Duration};
use http::Request;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt as _, Snafu};
use std::sync::Arc;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::sleep,
};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause after an accept that failed, for lack of descriptors mostly.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest buffer that `hyper` takes.
const LEAST_BUFFER: usize = 8 << 10;
/// Largest question of another VM.
const QUESTION_BYTES: usize = 4 << 10;

/// An address that can't be listened on.
#[derive(Debug, Snafu)]
#[snafu(display("listen on {address}: {source}"))]
pub struct ListenError {
    address: SocketAddr,
    source: std::io::Error,
}

/// What a listener is for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Port {
    /// Calls.
    Callers,
    /// Questions about this VM and addresses.
    Questions,
    /// Questions of other VMs.
    Peers,
    /// Metrics.
    Metrics,
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

/// Accepts connections for as long as the process runs.
pub(crate) async fn accept(shared: Arc<Shared>, listener: TcpListener, port: Port) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(connection(Arc::clone(&shared), stream, port));
            }
            Err(error) => {
                tracing::warn!(event = "accept", ?port, %error, "listener");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(shared: Arc<Shared>, stream: TcpStream, port: Port) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "set connection options");
    }
    let activity = Activity::start(clock::now());
    let io = TokioIo::new(Watched::new(stream, Arc::clone(&activity)));
    let limits = || shared.table.load().limits();
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_buf_size(limits().head_bytes.max(LEAST_BUFFER));
    let ended = match port {
        Port::Callers => {
            let service = service_fn(|request| {
                let serving = activity.serve();
                let shared = Arc::clone(&shared);
                async move { Ok::<_, Infallible>(serve::serve(shared, request, serving).await) }
            });
            tokio::select! {
                ended = builder.serve_connection(io, service) => ended,
                () = activity.expired(limits) => Ok(()),
            }
        }
        Port::Questions | Port::Peers | Port::Metrics => {
            let service = service_fn(|request| {
                let serving = activity.serve();
                let shared = Arc::clone(&shared);
                async move {
                    let response = question(&shared, request, port).await;
                    drop(serving);
                    Ok::<_, Infallible>(response)
                }
            });
            tokio::select! {
                ended = builder.serve_connection(io, service) => ended,
                () = activity.expired(limits) => Ok(()),
            }
        }
    };
    if let Err(error) = ended {
        tracing::trace!(?port, %error, "connection ended");
    }
}

async fn question(
    shared: &Shared,
    request: Request<Incoming>,
    port: Port,
) -> http::Response<Full<Bytes>> {
    match port {
        Port::Peers => {
            let arrived = clock::now();
            match Limited::new(request.into_body(), QUESTION_BYTES)
                .collect()
                .await
            {
                Ok(body) => feed::answer(shared, arrived, &body.to_bytes()).await,
                Err(error) => {
                    tracing::warn!(event = "unreadable", %error, "feed");
                    questions::empty(http::StatusCode::BAD_REQUEST)
                }
            }
        }
        Port::Metrics => shared.metrics.response(),
        Port::Questions | Port::Callers => questions::answer(shared, &request),
    }
}
