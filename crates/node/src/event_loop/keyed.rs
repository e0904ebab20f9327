//! Calls that must run at most once.
//!
//! The VM that the caller is connected to submits such a call to the keys state machine, which
//! determines the one VM that may run it. That VM runs it as a new call of its own and stores
//! the answer. The caller receives the outcome that the state machine reports.

use super::{
    EventLoop,
    table::{CallEntry, KeyedRun},
};
use crate::{
    call::{Call, Operation, ResponseHead, ResponsePart, SentOutput, ServiceCall},
    callers::leaving_error,
    event::Submission,
    platform::Requester,
};
use bytes::Bytes;
use core::time::Duration;
use poplarswitch_discovery::Input as DrainInput;
use poplarswitch_entity::{CallId, Time};
use poplarswitch_keys::{
    CallKey, CallOutcome, Input, KeyText, KeyedCall, NotRunReason, Output, RunEnd,
};
use poplarswitch_scheduler as scheduler;
use poplarswitch_wire::{ErrorCode, KeyedAnswer, KeyedRequest, PeerMessage, decode, encode};
use std::sync::Arc;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

/// Retry delay in the error when the home VM of a key is unreachable or not known yet.
const HOME_RETRY_DELAY: Duration = Duration::from_secs(1);

impl EventLoop {
    /// Submits a call to the keys state machine, or rejects it.
    pub(super) fn submit_keyed(&mut self, now: Time, submission: Submission) {
        let call = &submission.call;
        let (Some(key), Operation::Service(service)) = (&call.key, &call.operation) else {
            let error = self.shared.error(ErrorCode::KeyRequired);
            return self.reject(submission, error);
        };
        let Ok(payload) = encode(&to_keyed_request(call, service)) else {
            let error = self.shared.error(ErrorCode::Malformed);
            return self.reject(submission, error);
        };
        let keyed = KeyedCall {
            call: call.id(),
            key: CallKey {
                workspace: call.request.workspace.clone(),
                text: KeyText::new(key.as_str()),
            },
            digest: digest(service),
            payload: payload.into(),
        };
        self.keyed_submissions.insert(keyed.call, submission);
        let keys = &mut self.cluster.keys;
        keys.handle(now, Input::Submit(keyed), &mut self.outputs.keys);
    }

    /// Carries out one output of the keys state machine.
    pub(super) fn handle_keys_output(&mut self, now: Time, output: Output) {
        match output {
            Output::Run(call) => self.run_keyed(now, &call),
            Output::Respond { call, outcome } => self.respond(call, outcome),
            Output::Send { to, message } => self.send(to, PeerMessage::Keys(message)),
            Output::Request { id, request } => {
                self.cluster.platform.send(Requester::Keys, id, request);
            }
            Output::HandedOver(_) => {
                let drain = &mut self.cluster.drain;
                drain.handle(now, DrainInput::HandedOver, &mut self.outputs.drain);
            }
        }
    }

    fn run_keyed(&mut self, now: Time, keyed: &KeyedCall) {
        let id = self.shared.next_call_id();
        let (sender, receiver) = mpsc::channel(1);
        let call = decode(&keyed.payload)
            .ok()
            .and_then(|request| to_call(request, id, sender));
        let (Some(call), true) = (call, self.pool.is_some()) else {
            return self.end_keyed(now, keyed.call, RunEnd::NotRun);
        };
        let request = call.request.clone();
        self.cluster.drain.begin();
        self.shared.counters.open.inc();
        self.calls.insert(CallEntry {
            call: Arc::new(call),
            failure: None,
            keyed: Some(KeyedRun {
                call: keyed.call,
                parts: receiver,
            }),
            arrived: now,
            run: None,
            output_started: false,
            caller_left: false,
            last_endpoint: None,
        });
        self.feed_pool(now, scheduler::Input::Submit(request));
    }

    /// Reports the end of a run to the keys state machine.
    pub(super) fn end_keyed(&mut self, now: Time, call: CallId, end: RunEnd) {
        let keys = &mut self.cluster.keys;
        keys.handle(now, Input::Ended { call, end }, &mut self.outputs.keys);
    }

    /// Sends the outcome of a keyed call to its caller.
    fn respond(&mut self, call: CallId, outcome: CallOutcome) {
        let Some(submission) = self.keyed_submissions.remove(&call) else {
            return;
        };
        let code = match outcome {
            CallOutcome::Answer(bytes) => return self.send_answer(submission, &bytes),
            CallOutcome::Ran => ErrorCode::AnswerGone,
            CallOutcome::NotRun(NotRunReason::Refused) => ErrorCode::Overload,
            CallOutcome::NotRun(NotRunReason::Full) => ErrorCode::Busy,
            CallOutcome::NotRun(NotRunReason::Malformed) => ErrorCode::Malformed,
            CallOutcome::NotRun(NotRunReason::Leaving) => {
                let error = leaving_error(&self.shared);
                return self.reject(submission, error);
            }
            CallOutcome::NotRunHere => {
                let error = self.shared.error(ErrorCode::HomeUnreached);
                return self.reject(submission, error.with_retry_after(HOME_RETRY_DELAY));
            }
            CallOutcome::InDoubt => ErrorCode::InDoubt,
            CallOutcome::Mismatch => ErrorCode::KeyConflict,
        };
        let error = self.shared.error(code);
        self.reject(submission, error);
    }

    fn send_answer(&mut self, submission: Submission, bytes: &[u8]) {
        let Ok(answer) = decode::<KeyedAnswer>(bytes) else {
            let error = self.shared.error(ErrorCode::AnswerGone);
            return self.reject(submission, error);
        };
        let content_type = answer
            .content_type
            .and_then(|value| http::HeaderValue::from_bytes(&value).ok());
        let head = ResponseHead::new(answer.status, content_type);
        let part = ResponsePart::Whole(head, Bytes::from(answer.body));
        drop(submission.call.parts.try_send(part));
        self.count_answered(&submission.call.request);
        self.close_call();
    }
}

/// Encoded answer of a run, stored for repeats; none if the run has sent no complete response.
pub(super) fn encode_answer(keyed: &mut KeyedRun) -> Option<Arc<[u8]>> {
    let Ok(ResponsePart::Whole(head, body)) = keyed.parts.try_recv() else {
        return None;
    };
    let answer = KeyedAnswer {
        status: head.status,
        content_type: head.content_type.map(|value| value.as_bytes().to_vec()),
        body: body.to_vec(),
    };
    encode(&answer).ok().map(Arc::from)
}

fn to_keyed_request(call: &Call, service: &ServiceCall) -> KeyedRequest {
    let header = |(name, value): &(http::HeaderName, http::HeaderValue)| {
        (name.as_str().to_owned(), value.as_bytes().to_vec())
    };
    KeyedRequest {
        request: call.request.clone(),
        rank: call.rank,
        method: service.method.as_str().to_owned(),
        path: service.path.clone(),
        headers: service.headers.iter().map(header).collect(),
        body: service.body.to_vec(),
    }
}

fn to_call(keyed: KeyedRequest, id: CallId, parts: mpsc::Sender<ResponsePart>) -> Option<Call> {
    let header = |(name, value): (String, Vec<u8>)| {
        let name = http::HeaderName::try_from(name).ok()?;
        Some((name, http::HeaderValue::from_bytes(&value).ok()?))
    };
    let service = ServiceCall {
        method: keyed.method.parse().ok()?,
        path: keyed.path,
        headers: keyed
            .headers
            .into_iter()
            .map(header)
            .collect::<Option<_>>()?,
        body: Bytes::from(keyed.body),
    };
    Some(Call {
        request: scheduler::Request {
            call: id,
            ..keyed.request
        },
        rank: keyed.rank,
        repeatable: false,
        key: None,
        operation: Operation::Service(service),
        parts,
        sent: SentOutput::default(),
    })
}

/// Digest of a call's method, path and body, by which a reused key is detected.
fn digest(service: &ServiceCall) -> u64 {
    let mut bytes = Vec::new();
    for field in [
        service.method.as_str().as_bytes(),
        service.path.as_bytes(),
        &service.body,
    ] {
        bytes.extend_from_slice(&(field.len() as u64).to_be_bytes());
        bytes.extend_from_slice(field);
    }
    xxh3_64(&bytes)
}
