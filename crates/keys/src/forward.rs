//! Calls whose home is another VM.
//!
//! A forward is sent again after its link closed and reopened, or when its home VM has left and
//! has a successor; the home VM recognises a repeated call by its identifier. An outcome counts
//! only if it comes from the VM to which the call was sent last, so a late message of a former
//! home VM cannot contradict its successor.

use crate::{
    CallOutcome, Core, KeysMessage, Mutation, NotRunReason, Output,
    entry::{Waiter, respond},
};
use core::time::Duration;
use poplarswitch_entity::{CallId, Incarnation, Time};
use std::collections::BTreeMap;

/// Time within which a closed link has to reopen before its forwarded calls are in doubt.
const RELINK_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
struct Forward {
    waiter: Waiter,
    /// The home VM that the key's token names, or the claimant of a key without a token.
    home: Incarnation,
    /// The VM to which the call was sent last.
    to: Incarnation,
    deadline: Time,
}

/// Forwarded calls that wait for their outcome.
#[derive(Debug, Default)]
pub(crate) struct Forwards {
    calls: BTreeMap<CallId, Forward>,
}

impl Forwards {
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.calls.values().map(|forward| forward.deadline).min()
    }

    /// Shortens the deadline of the calls that were sent over a link that closed.
    pub(crate) fn unlinked(&mut self, now: Time, peer: Incarnation) {
        for forward in self.calls.values_mut() {
            if forward.to == peer {
                forward.deadline = forward.deadline.min(now + RELINK_TIMEOUT);
            }
        }
    }
}

impl Core {
    /// Sends a call to the home VM of its key, or refuses it if no link to that VM is open.
    pub(crate) fn forward(
        &mut self,
        now: Time,
        home: Incarnation,
        waiter: Waiter,
        out: &mut Vec<Output>,
    ) {
        let call = waiter.call.clone();
        if self.forwards.calls.contains_key(&call.call) {
            return;
        }
        let to = self.home_of(home);
        if !self.links.contains(&to) && self.mutation == Some(Mutation::RunWithoutHome) {
            return self.start_run(call, out);
        }
        if !self.links.contains(&to) {
            return self.refuse(&waiter, CallOutcome::NotRunHere, out);
        }
        let deadline = now + self.settings.forward_timeout;
        let forward = Forward {
            waiter,
            home,
            to,
            deadline,
        };
        self.forwards.calls.insert(call.call, forward);
        let message = KeysMessage::Forward(call);
        out.push(Output::Send { to, message });
    }

    /// Responds to a forwarded call with the outcome from its home VM.
    pub(crate) fn relay_outcome(
        &mut self,
        from: Incarnation,
        call: CallId,
        outcome: CallOutcome,
        out: &mut Vec<Output>,
    ) {
        let expected = self.forwards.calls.get(&call);
        if expected.is_none_or(|forward| forward.to != from) {
            return;
        }
        if let Some(forward) = self.forwards.calls.remove(&call) {
            respond(&forward.waiter, outcome, out);
        }
    }

    /// Sends calls again whose home VM is linked again or has a successor.
    pub(crate) fn resend_forwards(&mut self, now: Time, out: &mut Vec<Output>) {
        let timeout = self.settings.forward_timeout;
        let mut calls = core::mem::take(&mut self.forwards.calls);
        for forward in calls.values_mut() {
            let to = self.home_of(forward.home);
            let broken = forward.deadline <= now + RELINK_TIMEOUT;
            if to == self.me || !self.links.contains(&to) || (to == forward.to && !broken) {
                continue;
            }
            forward.to = to;
            forward.deadline = now + timeout;
            let message = KeysMessage::Forward(forward.waiter.call.clone());
            out.push(Output::Send { to, message });
        }
        self.forwards.calls = calls;
        self.submit_own_forwards(now, out);
    }

    /// Submits forwarded calls whose home is now this VM.
    fn submit_own_forwards(&mut self, now: Time, out: &mut Vec<Output>) {
        let own: Vec<CallId> = self
            .forwards
            .calls
            .iter()
            .filter(|(_, forward)| self.home_of(forward.home) == self.me)
            .map(|(call, _)| *call)
            .collect();
        for call in own {
            if let Some(forward) = self.forwards.calls.remove(&call) {
                self.submit(now, forward.waiter, out);
            }
        }
    }

    /// Responds that a call is in doubt if its outcome has not arrived by the deadline.
    pub(crate) fn expire_forwards(&mut self, now: Time, out: &mut Vec<Output>) {
        let expired: Vec<CallId> = self
            .forwards
            .calls
            .iter()
            .filter(|(_, forward)| now >= forward.deadline)
            .map(|(call, _)| *call)
            .collect();
        for call in expired {
            if let Some(forward) = self.forwards.calls.remove(&call) {
                let outcome = match self.mutation {
                    Some(Mutation::ReportDoubtAsNotRun) => {
                        CallOutcome::NotRun(NotRunReason::Refused)
                    }
                    _ => CallOutcome::InDoubt,
                };
                respond(&forward.waiter, outcome, out);
            }
        }
    }
}
