//! Calls to plain services.

use super::{intake::Intake, reply, submit};
use crate::{
    call::{Forward, Work},
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

/// Headers that concern one connection, or that endpoints must not see.
const WITHHELD: [HeaderName; 10] = [
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
/// More of them, without constants of their own.
const WITHHELD_NAMES: [&str; 5] = [
    "keep-alive",
    "proxy-connection",
    headers::CALL_ID,
    headers::PRIORITY,
    headers::KEY_TOKEN,
];

/// Forwards a call to a plain service.
pub(super) async fn handle(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
) -> Response<reply::Body> {
    let accepted = accept(shared, request).await;
    submit::answer(shared, accepted).await
}

async fn accept(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
) -> Result<submit::Draft, ErrorInfo> {
    let intake = Intake::take(shared, request).await?;
    draft(shared, &intake).map_err(|code| shared.error(code))
}

fn draft(shared: &Shared, intake: &Intake) -> Result<submit::Draft, ErrorCode> {
    let (name, path) = target(&intake.parts.uri).ok_or(ErrorCode::UnknownPath)?;
    let service = intake.catalog.service(name);
    let service = service.ok_or(ErrorCode::UnknownService)?;
    let route = Route::Service(service.name.clone());
    let class = intake.class(service.default_class.as_str(), &route)?;
    let request = poplarswitch_scheduler::Request {
        call: shared.next_call(),
        class: class.class.name.clone(),
        workspace: intake.workspace().name.clone(),
        route,
        adapter: None,
        prefix: PrefixHash::default(),
        input_tokens: 1,
        max_tokens: 1,
        data_centre: shared.settings.data_centre.clone(),
        waited: Duration::ZERO,
    };
    let named = &intake.parts.headers;
    let work = Work::Forward(Forward {
        path,
        method: intake.parts.method.clone(),
        headers: passed_on(named),
        body: intake.body.clone(),
    });
    submit::Draft::new(request, class, named, work)
}

/// The service's name, and the path and query that it gets.
fn target(uri: &Uri) -> Option<(&str, String)> {
    let rest = uri.path().strip_prefix("/services/")?;
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = uri
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    Some((name, format!("/{path}{query}")))
}

fn passed_on(named: &HeaderMap) -> Vec<(HeaderName, HeaderValue)> {
    let withheld =
        |name: &HeaderName| WITHHELD.contains(name) || WITHHELD_NAMES.contains(&name.as_str());
    named
        .iter()
        .filter(|(name, _)| !withheld(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
