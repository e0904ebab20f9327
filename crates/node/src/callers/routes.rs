//! Routes requests to handlers by method and path.

use super::{auth, chat, reply, service};
use crate::shared::{Shared, wall_ms};
use http::{HeaderValue, Method, Request, Response, header::CONNECTION};
use hyper::body::Incoming;
use poplarswitch_discovery::{Candidate, Query, answer};
use poplarswitch_entity::{DataCentre, VmName};
use poplarswitch_keys::Token;
use poplarswitch_members::Member;
use poplarswitch_wire::{AddressList, ErrorCode, ModelList, Phase, WeightedAddress};
use std::sync::Arc;

/// Milliseconds per minute.
const MINUTE_MS: u64 = 60_000;
/// Prefix of the paths of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// Answers one request; a VM that is shutting down closes the connection after the response.
pub(super) async fn route(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Response<reply::Body> {
    let mut response = handle(&shared, request).await;
    if shared.phase() >= Phase::Draining {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn handle(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<reply::Body> {
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::POST, "/v1/chat/completions") => chat::handle(shared, request).await,
        (&Method::GET, "/v1/models") => models(shared, &request),
        (&Method::GET, "/v1/address") => {
            let data_centre = request.uri().query().and_then(requested_data_centre);
            reply::json(200, &addresses(shared, data_centre))
        }
        (&Method::GET, "/healthz") => reply::text(200, "ok"),
        (&Method::GET, "/readyz") => ready(shared),
        (_, path) if path.starts_with(SERVICES_PREFIX) => service::handle(shared, request).await,
        (_, "/v1/chat/completions" | "/v1/models" | "/v1/address" | "/healthz" | "/readyz") => {
            reply::error(shared, shared.error(ErrorCode::WrongMethod))
        }
        _ => reply::error(shared, shared.error(ErrorCode::UnknownPath)),
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
    reply::json(200, &ModelList::from_names(names))
}

/// Data centre of the caller, if the query names it.
fn requested_data_centre(query: &str) -> Option<DataCentre> {
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix("data_centre="))
        .map(DataCentre::from)
}

/// Addresses of VMs that accept calls, and the token with which new idempotency keys start.
///
/// The token names this VM as the home of the keys, so that it can run the calls without
/// forwarding them. If this VM is leaving, the token names the first listed VM instead.
pub(super) fn addresses(shared: &Shared, data_centre: Option<DataCentre>) -> AddressList {
    let members = shared.members.load();
    let query = Query {
        data_centre: data_centre.or_else(|| Some(shared.settings.data_centre.clone())),
        minute: wall_ms() / MINUTE_MS,
    };
    let leaving = shared.phase() >= Phase::Draining;
    let excluded = leaving.then_some(shared.incarnation);
    let result = answer(&query, &members, excluded);
    let own_token = Token {
        home: shared.incarnation,
        minute: query.minute,
    };
    let substitute = result.addresses.first().filter(|_| leaving);
    AddressList {
        key_token: substitute.map_or_else(
            || own_token.to_string(),
            |candidate| candidate.key_token.clone(),
        ),
        addresses: result
            .addresses
            .iter()
            .map(|candidate| weighted_address(candidate, &members))
            .collect(),
        ttl_ms: result.ttl_ms,
    }
}

fn weighted_address(candidate: &Candidate, members: &[Member]) -> WeightedAddress {
    let has_address = |member: &&Member| member.identity.caller_address == candidate.address;
    let member = members.iter().find(has_address);
    WeightedAddress {
        vm: member.map_or_else(|| VmName::from(""), |member| member.identity.vm.clone()),
        data_centre: candidate.data_centre.clone(),
        address: candidate.address,
        weight: candidate.weight,
    }
}

fn ready(shared: &Shared) -> Response<reply::Body> {
    match shared.phase() {
        Phase::Serving => reply::text(200, "ready"),
        Phase::Starting => reply::error(shared, shared.error(ErrorCode::NoSet)),
        Phase::Draining | Phase::Drained => reply::error(shared, shared.error(ErrorCode::Leaving)),
    }
}
