//! State that this VM holds for one key.

use crate::{CallOutcome, KeyOutcome, KeyedCall, KeysMessage, Output};
use poplarswitch_entity::{CallId, Incarnation, Time};
use poplarswitch_store::{Precondition, Version};
use std::sync::Arc;

/// Number of remembered refused calls at which a void key refuses all further calls.
pub(crate) const MAX_VOIDED_CALLS: usize = 64;

/// A call that waits for the outcome of its key.
#[derive(Clone, Debug)]
pub(crate) struct Waiter {
    /// The VM that forwarded the call, or `None` if its caller is connected to this VM.
    pub(crate) from: Option<Incarnation>,
    pub(crate) call: KeyedCall,
}

/// A claim that the platform has not yet granted.
#[derive(Clone, Debug)]
pub(crate) struct PendingClaim {
    pub(crate) nonce: u64,
    pub(crate) precondition: Precondition,
    pub(crate) deadline: Time,
}

/// State of a key.
#[derive(Clone, Debug)]
pub(crate) enum State {
    /// The claim is being written to the platform.
    Claiming(PendingClaim),
    /// The scheduler runs a call with the key.
    Running,
    /// The key was not run; its claim is being voided in the platform, until this deadline at most.
    Voiding(Time),
    /// The key has an outcome; one that is void may run again.
    Concluded(KeyOutcome),
}

/// A claim that the platform granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GrantedClaim {
    pub(crate) version: Version,
    pub(crate) nonce: u64,
    /// Whether the platform has stored the outcome.
    pub(crate) saved: bool,
}

/// A key held by this VM.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) digest: u64,
    pub(crate) state: State,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) voided: Vec<CallId>,
    pub(crate) granted: Option<GrantedClaim>,
    /// Time of the last change; the retention of keys without a token counts from it.
    pub(crate) updated_at: Time,
}

impl Entry {
    pub(crate) const fn new(now: Time, digest: u64, state: State) -> Self {
        Self {
            digest,
            state,
            waiters: Vec::new(),
            voided: Vec::new(),
            granted: None,
            updated_at: now,
        }
    }

    /// Adds a waiter unless the same call from the same VM already waits.
    pub(crate) fn add_waiter(&mut self, waiter: Waiter) {
        let same =
            |other: &Waiter| other.call.call == waiter.call.call && other.from == waiter.from;
        if !self.waiters.iter().any(same) {
            self.waiters.push(waiter);
        }
    }

    /// Whether the key has no outcome yet or its outcome is not yet stored in the platform.
    pub(crate) const fn is_busy(&self) -> bool {
        let unsaved = matches!(self.granted, Some(GrantedClaim { saved: false, .. }));
        !matches!(self.state, State::Concluded(_)) || unsaved
    }

    pub(crate) fn answer_bytes(&self) -> usize {
        match &self.state {
            State::Concluded(KeyOutcome::Answered(Some(answer))) => answer.len(),
            _ => 0,
        }
    }
}

/// The outcome for the callers of a key, or `None` if the key is void and may run.
pub(crate) fn call_outcome(outcome: &KeyOutcome) -> Option<CallOutcome> {
    match outcome {
        KeyOutcome::Answered(Some(answer)) => Some(CallOutcome::Answer(Arc::clone(answer))),
        KeyOutcome::Answered(None) => Some(CallOutcome::Ran),
        KeyOutcome::InDoubt => Some(CallOutcome::InDoubt),
        KeyOutcome::Void => None,
    }
}

/// Responds to one call, over the link if the call was forwarded.
pub(crate) fn respond(waiter: &Waiter, outcome: CallOutcome, out: &mut Vec<Output>) {
    let call = waiter.call.call;
    out.push(match waiter.from {
        None => Output::Respond { call, outcome },
        Some(to) => {
            let message = KeysMessage::Outcome { call, outcome };
            Output::Send { to, message }
        }
    });
}
