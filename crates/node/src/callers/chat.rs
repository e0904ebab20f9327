//! Chat calls.

use super::{intake::Intake, reply, submit};
use crate::{
    call::{Chat, Work},
    shared::Shared,
};
use core::time::Duration;
use http::{Request, Response};
use hyper::body::Incoming;
use poplarswitch_catalog::Route;
use poplarswitch_entity::{AdapterName, PrefixHash};
use poplarswitch_objects::Workspace;
use poplarswitch_wire::{ChatRequest, ErrorCode, ErrorInfo};
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

/// Bytes of the prompt's start that decide which engine holds it in its cache.
const PREFIX_BYTES: usize = 1_024;

/// Answers a chat call.
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
    let refuse = |code| shared.error(code);
    let head = ChatRequest::parse(&intake.body)
        .map_err(|error| refuse(ErrorCode::Malformed).with_message(error.to_string()))?;
    draft(shared, &intake, &head).map_err(refuse)
}

fn draft(shared: &Shared, intake: &Intake, head: &ChatRequest) -> Result<submit::Draft, ErrorCode> {
    let model = intake.catalog.model(&head.model);
    let model = model.ok_or(ErrorCode::UnknownModel)?;
    let route = Route::Model(model.name.clone());
    let class = intake.class(model.default_class.as_str(), &route)?;
    let workspace = intake.workspace();
    let most = class.class.max_output_tokens;
    let request = poplarswitch_scheduler::Request {
        call: shared.next_call(),
        class: class.class.name.clone(),
        workspace: workspace.name.clone(),
        route,
        adapter: head.adapter.as_deref().map(AdapterName::from),
        prefix: prefix(workspace, head),
        input_tokens: head.input_tokens(),
        max_tokens: head.max_tokens.unwrap_or(most).min(most),
        data_centre: shared.settings.data_centre.clone(),
        waited: Duration::ZERO,
    };
    let work = Work::Chat(Chat {
        body: intake.body.clone(),
        stream: head.stream,
    });
    submit::Draft::new(request, class, &intake.parts.headers, work)
}

/// Hash of the workspace and the start of the prompt.
fn prefix(workspace: &Workspace, head: &ChatRequest) -> PrefixHash {
    let text = head.prefix().as_bytes();
    let mut hash = Xxh3::new();
    hash.update(workspace.name.as_str().as_bytes());
    hash.update(&[0]);
    hash.update(&text[..text.len().min(PREFIX_BYTES)]);
    PrefixHash(hash.digest())
}
