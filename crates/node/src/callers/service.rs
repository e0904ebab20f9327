//! Calls to plain services.

use super::{admission::AdmittedCall, reply, submit};
use crate::{
    call::{Operation, ServiceCall},
    shared::Shared,
};
use core::time::Duration;
use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, Uri,
    header::{
        AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHORIZATION, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
};
use hyper::body::Incoming;
use poplarswitch_catalog::Route;
use poplarswitch_entity::PrefixHash;
use poplarswitch_wire::{ErrorCode, ErrorInfo, headers};
use std::sync::Arc;

/// Headers that are not forwarded: those that concern one connection and those that endpoints
/// must not see.
const WITHHELD_HEADERS: [HeaderName; 10] = [
    AUTHORIZATION,
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// Further headers that are not forwarded, for which `http` has no constants.
const WITHHELD_HEADER_NAMES: [&str; 5] = [
    "keep-alive",
    "proxy-connection",
    headers::CALL_ID,
    headers::PRIORITY,
    headers::KEY_TOKEN,
];

/// Answers a call to a plain service.
pub(super) async fn handle(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
) -> Response<reply::Body> {
    let checked = receive(shared, request).await;
    submit::respond(shared, checked).await
}

async fn receive(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
) -> Result<submit::CheckedCall, ErrorInfo> {
    let admitted = AdmittedCall::receive(shared, request).await?;
    check(shared, &admitted).map_err(|code| shared.error(code))
}

fn check(shared: &Shared, admitted: &AdmittedCall) -> Result<submit::CheckedCall, ErrorCode> {
    let (name, path) = split_target(&admitted.parts.uri).ok_or(ErrorCode::UnknownPath)?;
    let service = admitted.catalog.service(name);
    let service = service.ok_or(ErrorCode::UnknownService)?;
    let route = Route::Service(service.name.clone());
    let class = admitted.class(service.default_class.as_str(), &route)?;
    let request = poplarswitch_scheduler::Request {
        call: shared.next_call_id(),
        class: class.class.name.clone(),
        workspace: admitted.workspace().name.clone(),
        route,
        adapter: None,
        prefix: PrefixHash::default(),
        input_tokens: 1,
        max_tokens: 1,
        data_centre: shared.settings.data_centre.clone(),
        waited: Duration::ZERO,
    };
    let headers = &admitted.parts.headers;
    let operation = Operation::Service(ServiceCall {
        path,
        method: admitted.parts.method.clone(),
        headers: forwarded_headers(headers),
        body: admitted.body.clone(),
    });
    submit::CheckedCall::new(request, class, headers, operation)
}

/// Name of the service, and path and query to forward.
fn split_target(uri: &Uri) -> Option<(&str, String)> {
    let rest = uri.path().strip_prefix("/services/")?;
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = uri
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    Some((name, format!("/{path}{query}")))
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<(HeaderName, HeaderValue)> {
    let is_withheld = |name: &HeaderName| {
        WITHHELD_HEADERS.contains(name) || WITHHELD_HEADER_NAMES.contains(&name.as_str())
    };
    headers
        .iter()
        .filter(|(name, _)| !is_withheld(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
