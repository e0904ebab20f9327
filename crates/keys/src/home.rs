//! Calls with keys whose home is this VM.

use crate::{
    CallKey, CallOutcome, Core, KeyOutcome, Mutation, NotRunReason, Output, Token,
    entry::{Entry, MAX_VOIDED_CALLS, State, Waiter, call_outcome, respond},
};
use poplarswitch_entity::Time;
use std::sync::Arc;

/// Maximum time by which a token's issue minute may be ahead of this VM's clock.
const MAX_CLOCK_AHEAD_MINUTES: u64 = 30;

impl Core {
    /// The issue minute below which keys are refused; it never decreases.
    pub(crate) const fn floor(&self, now: Time) -> u64 {
        self.minute(now)
            .saturating_sub(self.settings.retention_minutes)
    }

    fn floor_for(&self, now: Time, token: Token) -> u64 {
        let inherited = self.successions.get(&token.home);
        let floor = inherited.map_or(0, |succession| succession.floor);
        self.floor(now).max(floor)
    }

    /// Handles a call with a token whose home is this VM.
    pub(crate) fn submit_home(
        &mut self,
        now: Time,
        token: Token,
        waiter: Waiter,
        out: &mut Vec<Output>,
    ) {
        if self.entries.contains_key(&waiter.call.key) {
            return self.join(now, waiter, out);
        }
        // An older key may have run and been removed since.
        if token.minute < self.floor_for(now, token) || self.handover.is_final() {
            return self.refuse(&waiter, CallOutcome::NotRunHere, out);
        }
        let reason = if token.minute > self.minute(now) + MAX_CLOCK_AHEAD_MINUTES {
            Some(NotRunReason::Malformed)
        } else if self.entries.len() >= self.settings.max_keys {
            Some(NotRunReason::Full)
        } else {
            None
        };
        if let Some(reason) = reason {
            return self.refuse(&waiter, CallOutcome::NotRun(reason), out);
        }
        let call = waiter.call.clone();
        let void = State::Concluded(KeyOutcome::Void);
        let entry = Entry::new(now, call.digest, void);
        self.entries.insert(call.key, entry);
        self.join(now, waiter, out);
    }

    /// Handles a call with a key that this VM holds.
    pub(crate) fn join(&mut self, now: Time, waiter: Waiter, out: &mut Vec<Output>) {
        let Some(entry) = self.entries.get_mut(&waiter.call.key) else {
            return;
        };
        let call = waiter.call.call;
        let forget = self.mutation == Some(Mutation::ForgetRefused);
        if entry.voided.contains(&call) && !forget {
            return respond(&waiter, CallOutcome::NotRun(NotRunReason::Refused), out);
        }
        if entry.digest != waiter.call.digest {
            return self.refuse(&waiter, CallOutcome::Mismatch, out);
        }
        let key_outcome = match &entry.state {
            State::Concluded(key_outcome) => key_outcome,
            State::Claiming(_) | State::Running | State::Voiding(_) => {
                return entry.add_waiter(waiter);
            }
        };
        match call_outcome(key_outcome) {
            Some(outcome) => respond(&waiter, outcome, out),
            None => self.run_or_refuse(now, waiter, out),
        }
    }

    /// Runs a call with a key that has not run, or refuses it.
    fn run_or_refuse(&mut self, now: Time, waiter: Waiter, out: &mut Vec<Output>) {
        let key = waiter.call.key.clone();
        if self.handover.is_final() {
            return self.refuse(&waiter, CallOutcome::NotRunHere, out);
        }
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let refusal = if self.leaving {
            Some(NotRunReason::Leaving)
        } else if entry.voided.len() >= MAX_VOIDED_CALLS {
            Some(NotRunReason::Refused)
        } else {
            None
        };
        if let Some(reason) = refusal {
            if entry.voided.len() < MAX_VOIDED_CALLS {
                entry.voided.push(waiter.call.call);
            }
            return respond(&waiter, CallOutcome::NotRun(reason), out);
        }
        if key.token().is_none() {
            return self.start_claim(now, waiter, out);
        }
        let call = waiter.call.clone();
        entry.state = State::Running;
        entry.add_waiter(waiter);
        self.start_run(call, out);
    }

    pub(crate) fn conclude_answer(
        &mut self,
        now: Time,
        key: &CallKey,
        answer: Arc<[u8]>,
        out: &mut Vec<Output>,
    ) {
        let fits = answer.len() <= self.settings.answer_limit_bytes
            && self.answer_bytes + answer.len() <= self.settings.answer_budget_bytes;
        let kept = fits.then(|| Arc::clone(&answer));
        self.answer_bytes += kept.as_ref().map_or(0, |kept| kept.len());
        self.conclude(now, key, KeyOutcome::Answered(kept), out);
        self.respond_all(key, &CallOutcome::Answer(answer), out);
    }

    pub(crate) fn conclude_in_doubt(&mut self, now: Time, key: &CallKey, out: &mut Vec<Output>) {
        self.conclude(now, key, KeyOutcome::InDoubt, out);
        self.respond_all(key, &CallOutcome::InDoubt, out);
    }

    pub(crate) fn conclude_void(&mut self, now: Time, key: &CallKey, out: &mut Vec<Output>) {
        let claimed = self
            .entries
            .get(key)
            .is_some_and(|entry| entry.granted.is_some());
        if claimed {
            return self.void_claim(now, key, out);
        }
        self.conclude(now, key, KeyOutcome::Void, out);
        self.respond_not_run(key, out);
    }

    fn conclude(&mut self, now: Time, key: &CallKey, outcome: KeyOutcome, out: &mut Vec<Output>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.state = State::Concluded(outcome);
        entry.updated_at = now;
        if entry.granted.is_some() {
            self.save_outcome(key, out);
        }
    }

    /// Responds to all waiting calls that the key was not run, and remembers those calls.
    pub(crate) fn respond_not_run(&mut self, key: &CallKey, out: &mut Vec<Output>) {
        if let Some(entry) = self.entries.get_mut(key) {
            let calls = entry.waiters.iter().map(|waiter| waiter.call.call);
            entry.voided.extend(calls);
        }
        self.respond_all(key, &CallOutcome::NotRun(NotRunReason::Refused), out);
    }

    pub(crate) fn respond_all(
        &mut self,
        key: &CallKey,
        outcome: &CallOutcome,
        out: &mut Vec<Output>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        for waiter in core::mem::take(&mut entry.waiters) {
            respond(&waiter, outcome.clone(), out);
        }
    }
}
