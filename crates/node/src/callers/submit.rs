//! Hands a call to the decision thread and its answer to the caller.

use super::{
    answer::{Answer, Next},
    reply, resolve,
};
use crate::{
    call::{Call, Emission, Head, Piece, Work},
    event::{Event, Submission},
    shared::Shared,
};
use core::time::Duration;
use http::{HeaderMap, HeaderValue, Response};
use poplarswitch_catalog::{Catalog, ClassEntry};
use poplarswitch_scheduler::Request;
use poplarswitch_wire::{ErrorCode, ErrorInfo, Phase, headers};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Pieces that wait for a slow caller before its run waits too.
const PIECES: usize = 32;
/// Retry time told by a VM that can't take a call now.
const RETRY_BUSY: Duration = Duration::from_secs(1);

/// A checked call that has not been submitted.
#[derive(Debug)]
pub(super) struct Draft {
    request: Request,
    rank: u8,
    repeatable: bool,
    key: Option<String>,
    work: Work,
}

impl Draft {
    /// A call of a class with its work, and with the key that its headers carry.
    pub(super) fn new(
        request: Request,
        class: &ClassEntry,
        named: &HeaderMap,
        work: Work,
    ) -> Result<Self, ErrorCode> {
        Ok(Self {
            request,
            rank: class.rank,
            repeatable: class.class.repeatable,
            key: resolve::idempotency_key(named, class)?,
            work,
        })
    }
}

/// The catalog, if this VM takes calls.
pub(super) fn admit(shared: &Shared) -> Result<Arc<Catalog>, ErrorInfo> {
    if matches!(shared.phase(), Phase::Draining | Phase::Drained) {
        return Err(leaving(shared));
    }
    let open = shared.counters.open.get();
    if open >= i64::from(shared.settings.limits.calls) {
        return Err(shared.error(ErrorCode::Busy).with_retry_after(RETRY_BUSY));
    }
    shared
        .catalog
        .load_full()
        .ok_or_else(|| shared.error(ErrorCode::NoSet).with_retry_after(RETRY_BUSY))
}

/// The refusal of a VM that leaves, with the addresses of the others.
pub(crate) fn leaving(shared: &Shared) -> ErrorInfo {
    let mut error = shared
        .error(ErrorCode::Leaving)
        .with_retry_after(Duration::ZERO);
    let others = super::routes::addresses(shared, None).addresses;
    error.others = others.iter().map(|other| other.address).collect();
    error
}

/// Runs an accepted call, or says why it was refused.
pub(super) async fn answer(
    shared: &Arc<Shared>,
    accepted: Result<Draft, ErrorInfo>,
) -> Response<reply::Body> {
    match accepted {
        Ok(draft) => run(shared, draft).await,
        Err(error) => reply::error(shared, error),
    }
}

/// Submits a call and answers with its first piece or its error.
async fn run(shared: &Arc<Shared>, draft: Draft) -> Response<reply::Body> {
    let mut answer = submit(shared, draft);
    let call = answer.call();
    let mut response = match answer.next().await {
        Next::Piece(Piece::Whole(head, body)) => reply::whole(head.status, kind(&head), body),
        Next::Piece(Piece::Head(head)) => reply::stream(head.status, kind(&head), answer),
        Next::Piece(Piece::Data(_) | Piece::Last(_)) => {
            reply::error(shared, shared.error(ErrorCode::Failed))
        }
        Next::Error(error) => reply::error(shared, error),
    };
    if let Ok(value) = HeaderValue::from_str(&call.to_string()) {
        response.headers_mut().insert(headers::CALL_ID, value);
    }
    if let Ok(value) = HeaderValue::from_str(shared.settings.vm.as_str()) {
        response.headers_mut().insert(headers::VM, value);
    }
    response
}

fn submit(shared: &Arc<Shared>, draft: Draft) -> Answer {
    let (pieces, incoming) = mpsc::channel(PIECES);
    let (verdict, outcome) = oneshot::channel();
    let call = Arc::new(Call {
        request: draft.request,
        rank: draft.rank,
        repeatable: draft.repeatable,
        key: draft.key,
        work: draft.work,
        pieces,
        progress: Emission::default(),
    });
    let answer = Answer::new(Arc::clone(shared), call.id(), incoming, outcome);
    shared.counters.open.inc();
    shared.tell(Event::Submit(Submission { call, verdict }));
    answer
}

fn kind(head: &Head) -> HeaderValue {
    let json = HeaderValue::from_static("application/json");
    head.kind.clone().unwrap_or(json)
}
