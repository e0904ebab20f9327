//! Calls that another VM is the home of.
//!
//! A forward is repeated after its link broke and opened again, or to the successor of a home
//! that has left; the home recognises the call by its identifier. Only the VM that was sent
//! to last is believed, so a late word of a former home cannot contradict its successor.

use crate::{
    CallOutcome, Core, KeysMessage, Mutation, NotRunReason, Output,
    entry::{Waiter, respond},
};
use core::time::Duration;
use poplarswitch_entity::{CallId, Incarnation, Time};
use std::collections::BTreeMap;

/// Time for which a broken link may come back before its calls are in doubt.
const RELINK_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
struct Forward {
    waiter: Waiter,
    /// The home that the key names, or the claimant.
    home: Incarnation,
    /// The VM that it was sent to last.
    to: Incarnation,
    deadline: Time,
}

/// Forwarded calls that wait for their answer.
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

    /// Shortens the wait for calls whose link broke.
    pub(crate) fn unlinked(&mut self, now: Time, peer: Incarnation) {
        for forward in self.calls.values_mut() {
            if forward.to == peer {
                forward.deadline = forward.deadline.min(now + RELINK_TIMEOUT);
            }
        }
    }
}

impl Core {
    /// Sends a call to the home of its key; without a link nothing is sent.
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

    /// Passes on what a home says.
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

    /// Sends forwards again whose home has come back or has a successor.
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

    /// Takes forwarded calls whose home this VM has become.
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

    /// Tells calls in doubt whose answer has not come.
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
