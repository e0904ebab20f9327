//! Carries out what the pool orders.

use super::{
    Decider,
    table::{Entry, Run},
};
use crate::run::{Job, StopHandle};
use poplarswitch_entity::{Incarnation, Time};
use poplarswitch_keys::RunEnd;
use poplarswitch_pool::{Output, PoolMessage};
use poplarswitch_scheduler::{
    self as scheduler, Conclusion, ConclusionKind, Dispatch, End, Ended, Fault, Input, Refusal,
    RefusalReason, Stop, StopReason,
};
use poplarswitch_timeline::{EventKind, Outcome, RefusalCause};
use poplarswitch_wire::{ErrorCode, ErrorInfo, PeerMessage};
use std::sync::Arc;

impl Decider {
    /// Carries out one order of the pool.
    pub(super) fn carry_pool(&mut self, now: Time, output: Output) {
        match output {
            Output::Local(order) => self.order(now, order),
            Output::Send { to, message } => {
                self.record_forwards(to, &message);
                self.send(to, PeerMessage::Pool(message));
            }
        }
    }

    fn record_forwards(&self, to: Incarnation, message: &PoolMessage) {
        for call in message.submitted() {
            let Some(member) = self.cluster.members.member(to) else {
                return;
            };
            let to = member.identity.vm;
            self.shared.record(Some(call), EventKind::Forwarded { to });
        }
    }

    fn order(&mut self, now: Time, order: scheduler::Output) {
        match order {
            scheduler::Output::Dispatch(dispatch) => self.dispatch(now, dispatch),
            scheduler::Output::Stop(stop) => self.stop(stop),
            scheduler::Output::Refuse(refusal) => self.refuse(now, refusal),
            scheduler::Output::Conclude(verdict) => self.conclude(now, verdict),
        }
    }

    fn dispatch(&mut self, now: Time, dispatch: Dispatch) {
        let address = self.endpoints.address(&dispatch.endpoint);
        let Some(entry) = self.calls.get_mut(dispatch.call) else {
            return;
        };
        let Some(address) = address else {
            self.unreached(now, &dispatch);
            return;
        };
        let stop = Arc::new(StopHandle::default());
        entry.last = Some(dispatch.endpoint.clone());
        entry.run = Some(Run {
            attempt: dispatch.attempt,
            endpoint: dispatch.endpoint.clone(),
            stop: Arc::clone(&stop),
        });
        let job = Job {
            call: Arc::clone(&entry.call),
            endpoint: dispatch.endpoint.clone(),
            address,
            attempt: dispatch.attempt,
            mode: dispatch.mode,
            stop,
        };
        self.endpoints.started(&dispatch.endpoint);
        self.shared.counters.dispatches.inc();
        self.shared.counters.running.inc();
        self.shared.record(
            Some(dispatch.call),
            EventKind::Dispatched {
                endpoint: dispatch.endpoint,
                attempt: dispatch.attempt,
            },
        );
        job.start(&self.shared);
    }

    /// The home knows an endpoint that this VM's set does not have.
    fn unreached(&mut self, now: Time, dispatch: &Dispatch) {
        let end = End::Failed {
            fault: Fault::Unreached,
            emitted: 0,
        };
        self.feed(
            now,
            Input::Ended(Ended {
                call: dispatch.call,
                attempt: dispatch.attempt,
                end,
            }),
        );
    }

    fn stop(&mut self, stop: Stop) {
        let Some(entry) = self.calls.get_mut(stop.call) else {
            return;
        };
        let Some(run) = entry.run_of(stop.attempt) else {
            return;
        };
        run.stop.stop();
        if stop.reason == StopReason::Preempted {
            let endpoint = run.endpoint.clone();
            self.shared
                .record(Some(stop.call), EventKind::Preempted { endpoint });
        }
    }

    fn refuse(&mut self, now: Time, refusal: Refusal) {
        let cause = cause(refusal.reason);
        self.shared
            .record(Some(refusal.call), EventKind::Refused { cause });
        self.totals.refused += 1;
        if let Some(entry) = self.forget(refusal.call) {
            let error = self.shared.error(ErrorCode::from(refusal.reason));
            let error = error.with_retry_after(refusal.retry_after);
            self.give_up(now, entry, error, RunEnd::NotRun);
        }
    }

    fn conclude(&mut self, now: Time, verdict: Conclusion) {
        let Some(entry) = self.forget(verdict.call) else {
            return;
        };
        let outcome = match verdict.kind {
            ConclusionKind::Failed => {
                self.totals.failed += 1;
                Outcome::Failed
            }
            ConclusionKind::InDoubt => {
                self.totals.in_doubt += 1;
                Outcome::InDoubt
            }
        };
        let tokens = entry.call.emitted();
        self.shared
            .record(Some(verdict.call), EventKind::Ended { outcome, tokens });
        let peer = entry.last.as_ref().map_or("", |last| last.as_str());
        let error = ErrorInfo::new(ErrorCode::from(verdict.kind), peer);
        self.give_up(now, entry, error, RunEnd::InDoubt);
    }

    /// Tells the caller, or the core that asked for the run, that there is no answer.
    fn give_up(&mut self, now: Time, entry: Entry, error: ErrorInfo, end: RunEnd) {
        if let Some(keyed) = entry.keyed {
            self.end_keyed(now, keyed.call, end);
        }
        if let Some(verdict) = entry.verdict {
            drop(verdict.send(error));
        }
    }
}

const fn cause(reason: RefusalReason) -> RefusalCause {
    match reason {
        RefusalReason::RateLimit => RefusalCause::RateLimit,
        RefusalReason::QueueFull => RefusalCause::QueueFull,
        RefusalReason::Overload => RefusalCause::Overload,
        RefusalReason::WaitExpired => RefusalCause::WaitExpired,
        RefusalReason::Unknown => RefusalCause::Unknown,
        RefusalReason::NoEndpoint => RefusalCause::NoEndpoint,
    }
}
