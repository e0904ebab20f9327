//! The operators' port and the metrics port.
//!
//! Each port has its own thread and a few blocking workers, so that it responds even while all
//! other threads of the process are busy. Both use `hyper`, because an `astra` server may never
//! respond on a connection whose request arrives immediately after the connection is opened.

use crate::{callers::PortState, operators, shared::Shared};
use bytes::Bytes;
use core::{convert::Infallible, net::SocketAddr, time::Duration};
use http::{HeaderValue, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus_client::{encoding::text::encode, registry::Registry};
use std::{
    io,
    net::TcpListener,
    sync::{Arc, Weak},
    thread,
};
use tokio::{
    net::TcpStream,
    runtime::Builder,
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    task,
};

/// Maximum number of requests that one port processes concurrently.
const WORKER_COUNT: usize = 8;
/// Maximum number of open connections per port; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 64;
/// Maximum time to receive the head of a request; idle connections are closed after it too.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a request's head.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A request without its body, which is never read.
pub(crate) type Request = http::Request<()>;
/// A response that is not streamed.
pub(crate) type Response = http::Response<Full<Bytes>>;

/// Function that answers the requests of one port.
type Handler = fn(&Shared, &Registry, &Request) -> Response;

/// State of one port; the reference is weak, so that a port does not keep the node's state alive.
struct Port {
    shared: Weak<Shared>,
    registry: Registry,
    handler: Handler,
}

/// Opens the operators' port and returns the bound address.
pub(crate) fn open_operators(
    address: SocketAddr,
    shared: &Arc<Shared>,
    port_state: watch::Receiver<PortState>,
) -> io::Result<SocketAddr> {
    open(
        address,
        shared,
        port_state,
        "operators",
        |shared, _, request| operators::answer(shared, request),
    )
}

/// Opens the metrics port and returns the bound address.
pub(crate) fn open_metrics(
    address: SocketAddr,
    shared: &Arc<Shared>,
    port_state: watch::Receiver<PortState>,
) -> io::Result<SocketAddr> {
    open(
        address,
        shared,
        port_state,
        "metrics",
        |_, registry, request| metrics(registry, request),
    )
}

fn open(
    address: SocketAddr,
    shared: &Arc<Shared>,
    port_state: watch::Receiver<PortState>,
    name: &str,
    handler: Handler,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let bound = listener.local_addr()?;
    let runtime = Builder::new_current_thread()
        .max_blocking_threads(WORKER_COUNT)
        .enable_all()
        .build()?;
    let port = Arc::new(Port {
        shared: Arc::downgrade(shared),
        registry: shared.counters.registry(),
        handler,
    });
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            runtime.block_on(serve(port, listener, port_state));
            runtime.shutdown_background();
        })?;
    Ok(bound)
}

/// Accepts connections until the port state is [`PortState::Closed`].
async fn serve(port: Arc<Port>, listener: TcpListener, mut port_state: watch::Receiver<PortState>) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return tracing::error!(%error, "failed to register a listener"),
    };
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let next = async {
            let permit = Arc::clone(&permits).acquire_owned().await;
            (permit, listener.accept().await)
        };
        let next = tokio::select! {
            next = next => next,
            closed = port_state.wait_for(|state| *state == PortState::Closed) => {
                drop(closed);
                return;
            }
        };
        match next {
            (Ok(permit), Ok((stream, _))) => {
                task::spawn(connection(Arc::clone(&port), stream, permit));
            }
            _ => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn connection(port: Arc<Port>, stream: TcpStream, permit: OwnedSemaphorePermit) {
    let service = service_fn(|request| respond(Arc::clone(&port), request));
    let result = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    drop(result);
    drop(permit);
}

async fn respond(
    port: Arc<Port>,
    request: http::Request<Incoming>,
) -> Result<Response, Infallible> {
    let request = request.map(drop);
    let response = task::spawn_blocking(move || port.answer(&request)).await;
    Ok(response.unwrap_or_else(|_| plain(500, "the answer failed")))
}

impl Port {
    fn answer(&self, request: &Request) -> Response {
        match self.shared.upgrade() {
            Some(shared) => (self.handler)(&shared, &self.registry, request),
            None => plain(503, "the process has ended"),
        }
    }
}

fn metrics(registry: &Registry, request: &Request) -> Response {
    if request.uri().path() != "/metrics" {
        return plain(404, "no such path");
    }
    let mut text = String::new();
    match encode(&mut text, registry) {
        Ok(()) => with_type(200, "application/openmetrics-text; version=1.0.0", text),
        Err(_) => plain(500, "the metrics can't be written"),
    }
}

/// A plain text response.
pub(crate) fn plain(status: u16, text: &'static str) -> Response {
    with_type(status, "text/plain", text.to_owned())
}

/// A response with a content type.
pub(crate) fn with_type(status: u16, content_type: &'static str, text: String) -> Response {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
