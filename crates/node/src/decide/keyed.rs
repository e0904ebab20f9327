//! Calls that must run at most once.
//!
//! The VM that holds the caller hands such a call to the keys' core, which names the one VM
//! that may run it. That VM runs it as a call of its own and remembers the answer; the caller
//! is told whatever the core knows.

use super::{
    Decider,
    table::{Entry, Keyed},
};
use crate::{
    call::{Call, Emission, Forward, Head, Piece, Work},
    callers::leaving,
    event::Submission,
    platform::Asker,
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

/// Retry time where the VM that holds a key can't be asked, or is not known yet.
const RETRY_HOME: Duration = Duration::from_secs(1);

impl Decider {
    /// Hands a call to the core that knows where it may run.
    pub(super) fn submit_keyed(&mut self, now: Time, submission: Submission) {
        let call = &submission.call;
        let (Some(key), Work::Forward(forward)) = (&call.key, &call.work) else {
            let error = self.shared.error(ErrorCode::KeyRequired);
            return self.turn_away(submission, error);
        };
        let Ok(payload) = encode(&request_form(call, forward)) else {
            let error = self.shared.error(ErrorCode::Malformed);
            return self.turn_away(submission, error);
        };
        let keyed = KeyedCall {
            call: call.id(),
            key: CallKey {
                workspace: call.request.workspace.clone(),
                text: KeyText::new(key.as_str()),
            },
            digest: digest(forward),
            payload: payload.into(),
        };
        self.waiters.insert(keyed.call, submission);
        let keys = &mut self.cluster.keys;
        keys.handle(now, Input::Submit(keyed), &mut self.out.keys);
    }

    /// Carries out what the keys' core orders.
    pub(super) fn carry_keys(&mut self, now: Time, output: Output) {
        match output {
            Output::Run(call) => self.run_keyed(now, &call),
            Output::Respond { call, outcome } => self.tell(call, outcome),
            Output::Send { to, message } => self.send(to, PeerMessage::Keys(message)),
            Output::Request { id, request } => {
                self.cluster.platform.ask(Asker::Keys, id, request);
            }
            Output::HandedOver(_) => {
                let drain = &mut self.cluster.drain;
                drain.handle(now, DrainInput::HandedOver, &mut self.out.drain);
            }
        }
    }

    fn run_keyed(&mut self, now: Time, keyed: &KeyedCall) {
        let id = self.shared.next_call();
        let (pieces, incoming) = mpsc::channel(1);
        let call = decode(&keyed.payload)
            .ok()
            .and_then(|request| call_form(request, id, pieces));
        let (Some(call), true) = (call, self.pool.is_some()) else {
            return self.end_keyed(now, keyed.call, RunEnd::NotRun);
        };
        let request = call.request.clone();
        self.cluster.drain.begin();
        self.shared.counters.open.inc();
        self.calls.insert(Entry {
            call: Arc::new(call),
            verdict: None,
            keyed: Some(Keyed {
                call: keyed.call,
                pieces: incoming,
            }),
            arrived: now,
            run: None,
            answering: false,
            left: false,
            last: None,
        });
        self.feed(now, scheduler::Input::Submit(request));
    }

    /// Tells the keys' core how a run ended.
    pub(super) fn end_keyed(&mut self, now: Time, call: CallId, end: RunEnd) {
        let keys = &mut self.cluster.keys;
        keys.handle(now, Input::Ended { call, end }, &mut self.out.keys);
    }

    /// Tells a caller what became of its call.
    fn tell(&mut self, call: CallId, told: CallOutcome) {
        let Some(submission) = self.waiters.remove(&call) else {
            return;
        };
        let code = match told {
            CallOutcome::Answer(bytes) => return self.answer(submission, &bytes),
            CallOutcome::Ran => ErrorCode::AnswerGone,
            CallOutcome::NotRun(NotRunReason::Refused) => ErrorCode::Overload,
            CallOutcome::NotRun(NotRunReason::Full) => ErrorCode::Busy,
            CallOutcome::NotRun(NotRunReason::Malformed) => ErrorCode::Malformed,
            CallOutcome::NotRun(NotRunReason::Leaving) => {
                let error = leaving(&self.shared);
                return self.turn_away(submission, error);
            }
            CallOutcome::NotRunHere => {
                let error = self.shared.error(ErrorCode::HomeUnreached);
                return self.turn_away(submission, error.with_retry_after(RETRY_HOME));
            }
            CallOutcome::InDoubt => ErrorCode::InDoubt,
            CallOutcome::Mismatch => ErrorCode::KeyConflict,
        };
        let error = self.shared.error(code);
        self.turn_away(submission, error);
    }

    fn answer(&mut self, submission: Submission, bytes: &[u8]) {
        let Ok(answer) = decode::<KeyedAnswer>(bytes) else {
            let error = self.shared.error(ErrorCode::AnswerGone);
            return self.turn_away(submission, error);
        };
        let content_type = answer
            .content_type
            .and_then(|value| http::HeaderValue::from_bytes(&value).ok());
        let head = Head::new(answer.status, content_type);
        let piece = Piece::Whole(head, Bytes::from(answer.body));
        drop(submission.call.pieces.try_send(piece));
        self.count_answered(&submission.call.request);
        self.close_call();
    }
}

/// The answer of a run, in the form that is kept for repeats.
pub(super) fn answer_form(keyed: &mut Keyed) -> Option<Arc<[u8]>> {
    let Ok(Piece::Whole(head, body)) = keyed.pieces.try_recv() else {
        return None;
    };
    let answer = KeyedAnswer {
        status: head.status,
        content_type: head.kind.map(|kind| kind.as_bytes().to_vec()),
        body: body.to_vec(),
    };
    encode(&answer).ok().map(Arc::from)
}

fn request_form(call: &Call, forward: &Forward) -> KeyedRequest {
    let header = |(name, value): &(http::HeaderName, http::HeaderValue)| {
        (name.as_str().to_owned(), value.as_bytes().to_vec())
    };
    KeyedRequest {
        request: call.request.clone(),
        rank: call.rank,
        method: forward.method.as_str().to_owned(),
        path: forward.path.clone(),
        headers: forward.headers.iter().map(header).collect(),
        body: forward.body.to_vec(),
    }
}

fn call_form(keyed: KeyedRequest, id: CallId, pieces: mpsc::Sender<Piece>) -> Option<Call> {
    let header = |(name, value): (String, Vec<u8>)| {
        let name = http::HeaderName::try_from(name).ok()?;
        Some((name, http::HeaderValue::from_bytes(&value).ok()?))
    };
    let forward = Forward {
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
        work: Work::Forward(forward),
        pieces,
        progress: Emission::default(),
    })
}

/// A digest of what a call asks for.
fn digest(forward: &Forward) -> u64 {
    let mut text = Vec::new();
    for part in [
        forward.method.as_str().as_bytes(),
        forward.path.as_bytes(),
        &forward.body,
    ] {
        text.extend_from_slice(&(part.len() as u64).to_be_bytes());
        text.extend_from_slice(part);
    }
    xxh3_64(&text)
}
