//! Calls to plain services.

use super::{auth, body, reply, resolve, submit};
use crate::{
    call::{Forward, Work},
    shared::Shared,
};
use bytes::Bytes;
use core::time::Duration;
use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, Uri,
    header::{
        AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHORIZATION, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
    request::Parts,
};
use hyper::body::Incoming;
use poplarswitch_catalog::{Catalog, Route};
use poplarswitch_entity::PrefixHash;
use poplarswitch_objects::Workspace;
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
    let catalog = submit::admit(shared)?;
    let (parts, incoming) = request.into_parts();
    let refuse = |code| shared.error(code);
    let workspace = &auth::workspace(&catalog, &parts.headers)
        .map_err(refuse)?
        .workspace;
    let body = body::read(shared, incoming).await.map_err(refuse)?;
    draft(shared, &catalog, workspace, &parts, body).map_err(refuse)
}

fn draft(
    shared: &Shared,
    catalog: &Catalog,
    workspace: &Workspace,
    parts: &Parts,
    body: Bytes,
) -> Result<submit::Draft, ErrorCode> {
    let (name, path) = target(&parts.uri).ok_or(ErrorCode::UnknownPath)?;
    let service = catalog.service(name).ok_or(ErrorCode::UnknownService)?;
    let route = Route::Service(service.name.clone());
    let named = &parts.headers;
    let class = resolve::class(catalog, named, service.default_class.as_str(), &route)?;
    if body.len() > class.class.max_input_bytes as usize {
        return Err(ErrorCode::BodyTooLarge);
    }
    let request = poplarswitch_scheduler::Request {
        call: shared.next_call(),
        class: class.class.name.clone(),
        workspace: workspace.name.clone(),
        route,
        adapter: None,
        prefix: PrefixHash::default(),
        input_tokens: 1,
        max_tokens: 1,
        data_centre: shared.settings.data_centre.clone(),
        waited: Duration::ZERO,
    };
    let mut draft = submit::Draft::new(request, class, named)?;
    draft.work = Work::Forward(Forward {
        path,
        method: parts.method.clone(),
        headers: passed_on(named),
        body,
    });
    Ok(draft)
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
