//! The operators' and the metrics port, on `astra`.
//!
//! Both serve few and trusted clients, so a worker for each connection is no risk. A server
//! of `astra` has no end of its own: it holds the process's state weakly and refuses requests
//! once the node is gone.

use crate::{operators, shared::Shared};
use astra::{Body, Request, Response, Server};
use core::net::SocketAddr;
use prometheus_client::{encoding::text::encode, registry::Registry};
use std::{
    io,
    net::TcpListener,
    sync::{Arc, Weak},
    thread,
};

/// Connections that one of these ports serves at once.
const WORKERS: usize = 16;

/// Answers the requests of one port.
type Handler = fn(&Arc<Shared>, &Registry, Request) -> Response;

/// Opens the operators' port.
pub(crate) fn open_operators(address: SocketAddr, shared: &Arc<Shared>) -> io::Result<SocketAddr> {
    open(address, shared, "operators", |shared, _, request| {
        operators::answer(shared, &request)
    })
}

/// Opens the metrics port.
pub(crate) fn open_metrics(address: SocketAddr, shared: &Arc<Shared>) -> io::Result<SocketAddr> {
    open(address, shared, "metrics", |_, registry, request| {
        metrics(registry, &request)
    })
}

fn open(
    address: SocketAddr,
    shared: &Arc<Shared>,
    name: &str,
    handler: Handler,
) -> io::Result<SocketAddr> {
    // A failing bind ends the thread inside `astra`; try it here first.
    drop(TcpListener::bind(address)?);
    let server = Server::bind(address).max_workers(WORKERS).http1_only();
    let bound = server.local_addr()?;
    let registry = shared.counters.registry();
    let shared = Arc::downgrade(shared);
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            server.serve(move |request, _| respond(&shared, &registry, handler, request))
        })?;
    Ok(bound)
}

fn respond(
    shared: &Weak<Shared>,
    registry: &Registry,
    handler: Handler,
    request: Request,
) -> Response {
    match shared.upgrade() {
        Some(shared) => handler(&shared, registry, request),
        None => plain(503, "the process has ended"),
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

/// A short text.
pub(crate) fn plain(status: u16, text: &'static str) -> Response {
    with_type(status, "text/plain", text.to_owned())
}

/// A text of a content type.
pub(crate) fn with_type(status: u16, kind: &'static str, text: String) -> Response {
    let mut response = Response::new(Body::new(text));
    *response.status_mut() =
        http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static(kind),
    );
    response
}
