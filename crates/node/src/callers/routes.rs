//! From a path to its handler.

use super::{auth, chat, forward, reply};
use crate::shared::Shared;
use http::{Method, Request, Response};
use hyper::body::Incoming;
use poplarswitch_wire::{AddressList, ErrorCode, ModelList, Phase};
use std::sync::Arc;

/// How long callers may keep the list of addresses, in milliseconds.
const TTL_MS: u64 = 5_000;
/// Start of the paths of plain services.
const SERVICES: &str = "/services/";

/// Answers one request.
pub(super) async fn route(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Response<reply::Body> {
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::POST, "/v1/chat/completions") => chat::handle(&shared, request).await,
        (&Method::GET, "/v1/models") => models(&shared, &request),
        (&Method::GET, "/v1/address") => reply::json(200, &addresses(&shared)),
        (&Method::GET, "/healthz") => reply::text(200, "ok"),
        (&Method::GET, "/readyz") => ready(&shared),
        (_, path) if path.starts_with(SERVICES) => forward::handle(&shared, request).await,
        (_, "/v1/chat/completions" | "/v1/models" | "/v1/address" | "/healthz" | "/readyz") => {
            reply::error(&shared, shared.error(ErrorCode::WrongMethod))
        }
        _ => reply::error(&shared, shared.error(ErrorCode::UnknownPath)),
    }
}

fn models(shared: &Shared, request: &Request<Incoming>) -> Response<reply::Body> {
    let Some(catalog) = shared.catalog.load_full() else {
        return reply::error(shared, shared.error(ErrorCode::NoSet));
    };
    if let Err(code) = auth::workspace(&catalog, request.headers()) {
        return reply::error(shared, shared.error(code));
    }
    let names = catalog.models().map(|model| model.name.as_str());
    reply::json(200, &ModelList::of(names))
}

fn addresses(shared: &Shared) -> AddressList {
    AddressList {
        addresses: shared.addresses.load().as_ref().clone(),
        ttl_ms: TTL_MS,
        key_token: shared.incarnation.to_string(),
    }
}

fn ready(shared: &Shared) -> Response<reply::Body> {
    match shared.phase() {
        Phase::Serving => reply::text(200, "ready"),
        Phase::Starting => reply::error(shared, shared.error(ErrorCode::NoSet)),
        Phase::Draining | Phase::Drained => reply::error(shared, shared.error(ErrorCode::Leaving)),
    }
}
