//! What follows a dispatch that did not bring the whole answer.
//!
//! A call may be told "not run" only while every dispatch of it proved not to have run. A
//! call that may not be repeated is in doubt as soon as one dispatch was lost. A stream
//! whose caller has seen output is continued by the same engine or ends with a failure; it
//! is never joined from two answers.

use crate::call::Flight;
use crate::{ConclusionKind, Fault, Output, RefusalReason, Scheduler};
use poplarswitch_balance::{EndpointKey, Outcome};
use poplarswitch_entity::Time;
use poplarswitch_queue::CallKey;

/// What a fault leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// Try another endpoint.
    Elsewhere,
    /// Continue the stream at the same endpoint.
    Resume,
    /// Tell the caller that the call was not run.
    NotRun,
    /// Tell the caller that the call failed or is in doubt.
    Conclude(ConclusionKind),
}

impl Scheduler {
    pub(crate) fn failed(
        &mut self,
        now: Time,
        key: CallKey,
        flight: &Flight,
        fault: Fault,
        emitted: u32,
        out: &mut Vec<Output>,
    ) {
        let emitted = emitted.max(flight.tokens).max(flight.resumed_at);
        match self.follow(key, flight, fault, emitted) {
            Next::Elsewhere => self.requeue(now, key, flight.site, out),
            Next::Resume => self.resume(now, key, flight, emitted, out),
            Next::NotRun => self.give_up(now, key, RefusalReason::NoEndpoint, out),
            Next::Conclude(kind) => self.close(key, kind, out),
        }
    }

    fn follow(&mut self, key: CallKey, flight: &Flight, fault: Fault, emitted: u32) -> Next {
        let tuning = self.tuning;
        let call = self.table.get_mut(key);
        match fault {
            Fault::Unreached | Fault::Declined => call.tries.declines += 1,
            Fault::Lost | Fault::Errored => call.tries.runs += 1,
        }
        let tries = call.tries;
        match fault {
            Fault::Errored => Next::Conclude(ConclusionKind::Failed),
            Fault::Unreached | Fault::Declined if emitted > 0 => {
                Next::Conclude(ConclusionKind::Failed)
            }
            Fault::Unreached | Fault::Declined if tries.declines > tuning.max_declines => {
                Next::NotRun
            }
            Fault::Unreached | Fault::Declined => Next::Elsewhere,
            Fault::Lost if !call.terms.repeatable => Next::Conclude(ConclusionKind::InDoubt),
            Fault::Lost if emitted > 0 => {
                let up = self.believed_up(flight.site);
                if up && tries.resumes < tuning.max_resumes {
                    Next::Resume
                } else {
                    Next::Conclude(ConclusionKind::Failed)
                }
            }
            Fault::Lost if tries.runs >= tuning.max_runs => Next::Conclude(ConclusionKind::InDoubt),
            Fault::Lost => self.retry_within_budget(key),
        }
    }

    fn retry_within_budget(&mut self, key: CallKey) -> Next {
        let group = self.table.get(key).group;
        if self.groups[group].budget.spend() {
            self.counters.retried += 1;
            Next::Elsewhere
        } else {
            self.counters.unbudgeted += 1;
            Next::Conclude(ConclusionKind::InDoubt)
        }
    }

    fn believed_up(&self, site: Option<EndpointKey>) -> bool {
        let site = site.and_then(|site| self.balancer.endpoint(site));
        site.is_some_and(|site| site.health().is_up())
    }

    /// Lets a call wait again, with its first place in the order.
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
            return self.give_up(now, key, RefusalReason::WaitExpired, out);
        }
        self.counters.redispatched += 1;
        self.enqueue(now, key);
    }

    /// Continues a stream where it stopped; it takes back the slot that it has just left.
    pub(crate) fn resume(
        &mut self,
        now: Time,
        key: CallKey,
        flight: &Flight,
        emitted: u32,
        out: &mut Vec<Output>,
    ) {
        let call = self.table.get_mut(key);
        call.attempt = call.attempt.next();
        call.tries.resumes += 1;
        self.counters.resumed += 1;
        let flight = Flight {
            started: now,
            seen: None,
            paced: false,
            resumed_at: emitted,
            tokens: emitted,
            measured: true,
            stopping: None,
            charged: 0,
            ..flight.clone()
        };
        self.launch(now, key, flight, out);
    }

    /// Ends a call that waits: not run if that is proved, else in doubt.
    pub(crate) fn give_up(
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
        let after = self.retry_time(now, call.group, call.lane);
        self.refuse(call.request.call, reason, after, out);
    }

    fn close(&mut self, key: CallKey, kind: ConclusionKind, out: &mut Vec<Output>) {
        if let Some(call) = self.table.remove(key) {
            self.conclude(call.request.call, kind, out);
        }
    }

    /// Tells the balancer what a fault says of the endpoint.
    pub(crate) fn judge(&mut self, now: Time, flight: &Flight, fault: Fault) {
        let outcome = match fault {
            Fault::Unreached => Outcome::Unreached,
            Fault::Declined => Outcome::Declined,
            Fault::Lost => Outcome::Lost,
            Fault::Errored => Outcome::Neutral,
        };
        if let Some(site) = flight.site {
            self.balancer
                .record_outcome(now, site, flight.started, outcome);
        }
    }
}
