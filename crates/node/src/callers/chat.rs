//! Chat completion calls.

use super::{admission::AdmittedCall, reply, submit};
use crate::{
    call::{ChatCall, Operation},
    shared::Shared,
};
use core::time::Duration;
use http::{Request, Response};
use hyper::body::Incoming;
use poplarswitch_catalog::Route;
use poplarswitch_entity::{AdapterName, PrefixHash};
use poplarswitch_objects::Workspace;
use poplarswitch_wire::{ChatHead, ErrorCode, ErrorInfo};
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

/// Maximum length of the prompt prefix whose hash selects an engine by its prefix cache.
const PREFIX_BYTES: usize = 1_024;

/// Answers a chat completion call.
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
    let to_error = |code| shared.error(code);
    let chat = ChatHead::parse(&admitted.body)
        .map_err(|error| to_error(ErrorCode::Malformed).with_message(error.to_string()))?;
    check(shared, &admitted, &chat).map_err(to_error)
}

fn check(
    shared: &Shared,
    admitted: &AdmittedCall,
    chat: &ChatHead,
) -> Result<submit::CheckedCall, ErrorCode> {
    let model = admitted.catalog.model(&chat.model);
    let model = model.ok_or(ErrorCode::UnknownModel)?;
    let route = Route::Model(model.name.clone());
    let class = admitted.class(model.default_class.as_str(), &route)?;
    let workspace = admitted.workspace();
    let max_tokens = class.class.max_output_tokens;
    let request = poplarswitch_scheduler::Request {
        call: shared.next_call_id(),
        class: class.class.name.clone(),
        workspace: workspace.name.clone(),
        route,
        adapter: chat.adapter.as_deref().map(AdapterName::from),
        prefix: prefix_hash(workspace, chat),
        input_tokens: chat.input_tokens(),
        max_tokens: chat.max_tokens.unwrap_or(max_tokens).min(max_tokens),
        data_centre: shared.settings.data_centre.clone(),
        waited: Duration::ZERO,
    };
    let operation = Operation::Chat(ChatCall {
        body: admitted.body.clone(),
        stream: chat.stream,
    });
    submit::CheckedCall::new(request, class, &admitted.parts.headers, operation)
}

/// Hash of the workspace and the prompt prefix.
fn prefix_hash(workspace: &Workspace, chat: &ChatHead) -> PrefixHash {
    let text = chat.prefix().as_bytes();
    let mut hash = Xxh3::new();
    hash.update(workspace.name.as_str().as_bytes());
    hash.update(&[0]);
    hash.update(&text[..text.len().min(PREFIX_BYTES)]);
    PrefixHash(hash.digest())
}
