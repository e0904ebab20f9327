//! From a path to its handler.

use super::{auth, chat, forward, reply};
use crate::shared::{Shared, wall_ms};
use http::{HeaderValue, Method, Request, Response, header::CONNECTION};
use hyper::body::Incoming;
use poplarswitch_discovery::{Candidate, Query, answer};
use poplarswitch_entity::{DataCentre, VmName};
use poplarswitch_keys::Token;
use poplarswitch_members::Member;
use poplarswitch_wire::{AddressList, ErrorCode, ModelList, Phase, WeightedAddress};
use std::sync::Arc;

/// Milliseconds of a minute.
const MINUTE_MS: u64 = 60_000;
/// Start of the paths of plain services.
const SERVICES: &str = "/services/";

/// Answers one request; a VM that leaves ends the connection with the answer.
pub(super) async fn route(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Response<reply::Body> {
    let mut response = answer_path(&shared, request).await;
    if shared.phase() >= Phase::Draining {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer_path(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<reply::Body> {
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::POST, "/v1/chat/completions") => chat::handle(shared, request).await,
        (&Method::GET, "/v1/models") => models(shared, &request),
        (&Method::GET, "/v1/address") => {
            let place = request.uri().query().and_then(data_centre);
            reply::json(200, &addresses(shared, place))
        }
        (&Method::GET, "/healthz") => reply::text(200, "ok"),
        (&Method::GET, "/readyz") => ready(shared),
        (_, path) if path.starts_with(SERVICES) => forward::handle(shared, request).await,
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

/// Where the caller stands, if it says so.
fn data_centre(query: &str) -> Option<DataCentre> {
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix("data_centre="))
        .map(DataCentre::from)
}

/// The VMs that take calls, and the start of new idempotency keys.
///
/// The token names this VM, which can then run the calls itself, unless it is leaving.
pub(super) fn addresses(shared: &Shared, place: Option<DataCentre>) -> AddressList {
    let members = shared.members.load();
    let question = Query {
        data_centre: place.or_else(|| Some(shared.settings.data_centre.clone())),
        minute: wall_ms() / MINUTE_MS,
    };
    let leaving = shared.phase() >= Phase::Draining;
    let except = leaving.then_some(shared.incarnation);
    let found = answer(&question, &members, except);
    let own = Token {
        home: shared.incarnation,
        minute: question.minute,
    };
    let other = found.addresses.first().filter(|_| leaving);
    AddressList {
        key_token: other.map_or_else(|| own.to_string(), |other| other.key_token.clone()),
        addresses: found
            .addresses
            .iter()
            .map(|one| entry(one, &members))
            .collect(),
        ttl_ms: found.ttl_ms,
    }
}

fn entry(candidate: &Candidate, members: &[Member]) -> WeightedAddress {
    let same = |member: &&Member| member.identity.caller_address == candidate.address;
    let member = members.iter().find(same);
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
