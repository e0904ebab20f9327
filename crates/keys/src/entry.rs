//! What this VM holds for one key.

use crate::{CallOutcome, KeyOutcome, KeyedCall, KeysMessage, Output};
use poplarswitch_entity::{CallId, Incarnation, Time};
use poplarswitch_store::{Guard, Version};
use std::sync::Arc;

/// Calls of one key that may be told that they were not run before the key stays void.
pub(crate) const MAX_VOIDED_CALLS: usize = 64;

/// A call that waits to be told.
#[derive(Clone, Debug)]
pub(crate) struct Waiter {
    /// The VM that forwarded it, or nobody if its caller is connected here.
    pub(crate) from: Option<Incarnation>,
    pub(crate) call: KeyedCall,
}

/// A claim on its way to the platform.
#[derive(Clone, Debug)]
pub(crate) struct PendingClaim {
    pub(crate) nonce: u64,
    pub(crate) guard: Guard,
    pub(crate) deadline: Time,
}

/// Where a key stands.
#[derive(Clone, Debug)]
pub(crate) enum State {
    /// The platform has not yet granted the claim.
    Claiming(PendingClaim),
    /// The scheduler has it.
    Running,
    /// It was not run, and the platform is being told.
    Voiding(Time),
    /// It is decided.
    Concluded(KeyOutcome),
}

/// A claim that the platform granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GrantedClaim {
    pub(crate) version: Version,
    pub(crate) nonce: u64,
    /// Whether the platform knows the conclusion.
    pub(crate) saved: bool,
}

/// One key.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) digest: u64,
    pub(crate) state: State,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) voided: Vec<CallId>,
    pub(crate) granted: Option<GrantedClaim>,
    /// When it was last touched; untokened keys are forgotten by it.
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

    /// Adds a waiter unless the same call already waits for the same VM.
    pub(crate) fn add_waiter(&mut self, waiter: Waiter) {
        let same =
            |other: &Waiter| other.call.call == waiter.call.call && other.from == waiter.from;
        if !self.waiters.iter().any(same) {
            self.waiters.push(waiter);
        }
    }

    /// Whether something is still under way.
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

/// What callers are told of a final conclusion.
pub(crate) fn call_outcome(outcome: &KeyOutcome) -> Option<CallOutcome> {
    match outcome {
        KeyOutcome::Answered(Some(answer)) => Some(CallOutcome::Answer(Arc::clone(answer))),
        KeyOutcome::Answered(None) => Some(CallOutcome::Ran),
        KeyOutcome::InDoubt => Some(CallOutcome::InDoubt),
        KeyOutcome::Void => None,
    }
}

/// Tells one call, over its link if it was forwarded.
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
