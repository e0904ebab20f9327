//! Submits calls to the event loop and responds to their callers.

use super::{
    receiver::{NextPart, ResponseReceiver},
    reply, resolve,
};
use crate::{
    call::{Call, Operation, ResponseHead, ResponsePart, SentOutput},
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

/// Response parts buffered for a slow caller before its run blocks.
const PART_QUEUE_LEN: usize = 32;
/// Retry delay in the error of a VM that is at its limit of open calls or has no set yet.
const BUSY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A checked call that has not been submitted yet.
#[derive(Debug)]
pub(super) struct CheckedCall {
    request: Request,
    rank: u8,
    repeatable: bool,
    key: Option<String>,
    operation: Operation,
}

impl CheckedCall {
    /// A call of a class, with the idempotency key from its headers; fails if a required key is
    /// missing.
    pub(super) fn new(
        request: Request,
        class: &ClassEntry,
        headers: &HeaderMap,
        operation: Operation,
    ) -> Result<Self, ErrorCode> {
        Ok(Self {
            request,
            rank: class.rank,
            repeatable: class.class.repeatable,
            key: resolve::idempotency_key(headers, class)?,
            operation,
        })
    }
}

/// Catalog in force, if this VM admits calls now.
pub(super) fn admit(shared: &Shared) -> Result<Arc<Catalog>, ErrorInfo> {
    if matches!(shared.phase(), Phase::Draining | Phase::Drained) {
        return Err(leaving_error(shared));
    }
    let open = shared.counters.open.get();
    if open >= i64::from(shared.settings.limits.calls) {
        return Err(shared
            .error(ErrorCode::Busy)
            .with_retry_after(BUSY_RETRY_DELAY));
    }
    shared.catalog.load_full().ok_or_else(|| {
        shared
            .error(ErrorCode::NoSet)
            .with_retry_after(BUSY_RETRY_DELAY)
    })
}

/// Error of a VM that is leaving, with the addresses of other VMs.
pub(crate) fn leaving_error(shared: &Shared) -> ErrorInfo {
    let mut error = shared
        .error(ErrorCode::Leaving)
        .with_retry_after(Duration::ZERO);
    let others = super::routes::addresses(shared, None).addresses;
    error.others = others.iter().map(|other| other.address).collect();
    error
}

/// Submits a checked call and responds with its result, or responds with the error of the check.
pub(super) async fn respond(
    shared: &Arc<Shared>,
    checked: Result<CheckedCall, ErrorInfo>,
) -> Response<reply::Body> {
    match checked {
        Ok(checked) => run(shared, checked).await,
        Err(error) => reply::error(shared, error),
    }
}

/// Submits a call and responds according to the first part or the error.
async fn run(shared: &Arc<Shared>, checked: CheckedCall) -> Response<reply::Body> {
    let mut receiver = submit(shared, checked);
    let call = receiver.call();
    let mut response = match receiver.next().await {
        NextPart::Part(ResponsePart::Whole(head, body)) => {
            reply::whole(head.status, content_type(&head), body)
        }
        NextPart::Part(ResponsePart::Head(head)) => {
            reply::stream(head.status, content_type(&head), receiver)
        }
        NextPart::Part(ResponsePart::Data(_) | ResponsePart::Last(_)) => {
            reply::error(shared, shared.error(ErrorCode::Failed))
        }
        NextPart::Error(error) => reply::error(shared, error),
    };
    if let Ok(value) = HeaderValue::from_str(&call.to_string()) {
        response.headers_mut().insert(headers::CALL_ID, value);
    }
    if let Ok(value) = HeaderValue::from_str(shared.settings.vm.as_str()) {
        response.headers_mut().insert(headers::VM, value);
    }
    response
}

fn submit(shared: &Arc<Shared>, checked: CheckedCall) -> ResponseReceiver {
    let (parts, part_receiver) = mpsc::channel(PART_QUEUE_LEN);
    let (failure, failure_receiver) = oneshot::channel();
    let call = Arc::new(Call {
        request: checked.request,
        rank: checked.rank,
        repeatable: checked.repeatable,
        key: checked.key,
        operation: checked.operation,
        parts,
        sent: SentOutput::default(),
    });
    let receiver = ResponseReceiver::new(
        Arc::clone(shared),
        call.id(),
        part_receiver,
        failure_receiver,
    );
    shared.counters.open.inc();
    shared.send_event(Event::Submit(Submission { call, failure }));
    receiver
}

fn content_type(head: &ResponseHead) -> HeaderValue {
    let default = HeaderValue::from_static("application/json");
    head.content_type.clone().unwrap_or(default)
}
