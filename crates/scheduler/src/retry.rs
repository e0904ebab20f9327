//! Decides what follows a dispatch that failed before the answer was complete.
//!
//! A call may be reported as "not run" only if none of its dispatches can have run. A
//! non-repeatable call is in doubt as soon as one dispatch is lost. A stream whose caller has
//! received output is resumed at the same endpoint or fails; it is never composed of two
//! answers.

use crate::call::ActiveDispatch;
use crate::{ConclusionKind, Fault, Output, RefusalReason, Scheduler};
use poplarswitch_balance::{EndpointKey, Outcome};
use poplarswitch_entity::Time;
use poplarswitch_queue::CallKey;

/// The action that follows a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultAction {
    /// Queue the call again, to be sent to another endpoint.
    Redispatch,
    /// Resume the stream at the same endpoint.
    Resume,
    /// Report to the caller that the call was not run.
    Refuse,
    /// Report to the caller that the call failed or is in doubt.
    Conclude(ConclusionKind),
}

impl Scheduler {
    pub(crate) fn handle_fault(
        &mut self,
        now: Time,
        key: CallKey,
        active: &ActiveDispatch,
        fault: Fault,
        emitted: u32,
        out: &mut Vec<Output>,
    ) {
        let emitted = emitted.max(active.tokens).max(active.resume_offset);
        match self.action_for(key, active, fault, emitted) {
            FaultAction::Redispatch => self.requeue(now, key, active.endpoint, out),
            FaultAction::Resume => self.resume(now, key, active, emitted, out),
            FaultAction::Refuse => self.end_unanswered(now, key, RefusalReason::NoEndpoint, out),
            FaultAction::Conclude(kind) => self.remove_and_conclude(key, kind, out),
        }
    }

    fn action_for(
        &mut self,
        key: CallKey,
        active: &ActiveDispatch,
        fault: Fault,
        emitted: u32,
    ) -> FaultAction {
        let tuning = self.tuning;
        let call = self.table.get_mut(key);
        match fault {
            Fault::Unreached | Fault::Declined => call.attempts.not_run += 1,
            Fault::Lost | Fault::Errored => call.attempts.maybe_run += 1,
        }
        let attempts = call.attempts;
        match fault {
            Fault::Errored => FaultAction::Conclude(ConclusionKind::Failed),
            Fault::Unreached | Fault::Declined if emitted > 0 => {
                FaultAction::Conclude(ConclusionKind::Failed)
            }
            Fault::Unreached | Fault::Declined if attempts.not_run > tuning.max_not_run => {
                FaultAction::Refuse
            }
            Fault::Unreached | Fault::Declined => FaultAction::Redispatch,
            Fault::Lost if !call.params.repeatable => {
                FaultAction::Conclude(ConclusionKind::InDoubt)
            }
            Fault::Lost if emitted > 0 => {
                let up = self.is_up(active.endpoint);
                if up && attempts.resumes < tuning.max_resumes {
                    FaultAction::Resume
                } else {
                    FaultAction::Conclude(ConclusionKind::Failed)
                }
            }
            Fault::Lost if attempts.maybe_run >= tuning.max_runs => {
                FaultAction::Conclude(ConclusionKind::InDoubt)
            }
            Fault::Lost => self.retry_within_budget(key),
        }
    }

    fn retry_within_budget(&mut self, key: CallKey) -> FaultAction {
        let route_key = self.table.get(key).route_key;
        if self.route_states[route_key].budget.withdraw() {
            self.counters.retried += 1;
            FaultAction::Redispatch
        } else {
            self.counters.budget_exhausted += 1;
            FaultAction::Conclude(ConclusionKind::InDoubt)
        }
    }

    fn is_up(&self, endpoint: Option<EndpointKey>) -> bool {
        let endpoint = endpoint.and_then(|endpoint| self.balancer.endpoint(endpoint));
        endpoint.is_some_and(|endpoint| endpoint.health().is_up())
    }

    /// Queues a call again. Its position still depends on its submission time.
    fn requeue(
        &mut self,
        now: Time,
        key: CallKey,
        avoid: Option<EndpointKey>,
        out: &mut Vec<Output>,
    ) {
        let call = self.table.get_mut(key);
        call.attempt = call.attempt.next();
        call.avoid = avoid;
        if call.expires() <= now {
            return self.end_unanswered(now, key, RefusalReason::WaitExpired, out);
        }
        self.counters.redispatched += 1;
        self.enqueue(now, key);
    }

    /// Resumes a stream at the endpoint that interrupted it, in the slot that it has just freed.
    pub(crate) fn resume(
        &mut self,
        now: Time,
        key: CallKey,
        active: &ActiveDispatch,
        emitted: u32,
        out: &mut Vec<Output>,
    ) {
        let call = self.table.get_mut(key);
        call.attempt = call.attempt.next();
        call.attempts.resumes += 1;
        self.counters.resumed += 1;
        let active = ActiveDispatch {
            started: now,
            last_sample: None,
            sampled: false,
            resume_offset: emitted,
            tokens: emitted,
            start_known: true,
            stopping: None,
            charged: 0,
            ..active.clone()
        };
        self.start_dispatch(now, key, active, out);
    }

    /// Ends a call that is not running: refused if no dispatch can have run, otherwise in doubt.
    pub(crate) fn end_unanswered(
        &mut self,
        now: Time,
        key: CallKey,
        reason: RefusalReason,
        out: &mut Vec<Output>,
    ) {
        let Some(call) = self.table.remove(key) else {
            return;
        };
        if call.may_have_run() {
            return self.conclude(call.request.call, ConclusionKind::InDoubt, out);
        }
        let retry_after = self.retry_time(now, call.route_key, call.lane);
        self.refuse(call.request.call, reason, retry_after, out);
    }

    fn remove_and_conclude(&mut self, key: CallKey, kind: ConclusionKind, out: &mut Vec<Output>) {
        if let Some(call) = self.table.remove(key) {
            self.conclude(call.request.call, kind, out);
        }
    }

    /// Reports to the balancer what a fault indicates about the endpoint.
    pub(crate) fn report_fault(&mut self, now: Time, active: &ActiveDispatch, fault: Fault) {
        let outcome = match fault {
            Fault::Unreached => Outcome::Unreached,
            Fault::Declined => Outcome::Declined,
            Fault::Lost => Outcome::Lost,
            Fault::Errored => Outcome::Neutral,
        };
        if let Some(endpoint) = active.endpoint {
            self.balancer
                .record_outcome(now, endpoint, active.started, outcome);
        }
    }
}
