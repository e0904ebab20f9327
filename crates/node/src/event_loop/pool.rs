//! Carries out the outputs of the pool.

use super::{
    EventLoop,
    table::{CallEntry, Run},
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

impl EventLoop {
    /// Carries out one output of the pool.
    pub(super) fn handle_pool_output(&mut self, now: Time, output: Output) {
        match output {
            Output::Local(output) => self.handle_scheduler_output(now, output),
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

    fn handle_scheduler_output(&mut self, now: Time, output: scheduler::Output) {
        match output {
            scheduler::Output::Dispatch(dispatch) => self.dispatch(now, dispatch),
            scheduler::Output::Stop(stop) => self.stop(stop),
            scheduler::Output::Refuse(refusal) => self.refuse(now, refusal),
            scheduler::Output::Conclude(conclusion) => self.conclude(now, conclusion),
        }
    }

    fn dispatch(&mut self, now: Time, dispatch: Dispatch) {
        let address = self.endpoints.address(&dispatch.endpoint);
        let Some(entry) = self.calls.get_mut(dispatch.call) else {
            return;
        };
        let Some(address) = address else {
            self.report_unreached(now, &dispatch);
            return;
        };
        let stop = Arc::new(StopHandle::default());
        entry.last_endpoint = Some(dispatch.endpoint.clone());
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
        self.endpoints.run_started(&dispatch.endpoint);
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

    /// Reports a dispatch as failed because this VM's set lacks the endpoint that the home chose.
    fn report_unreached(&mut self, now: Time, dispatch: &Dispatch) {
        let end = End::Failed {
            fault: Fault::Unreached,
            emitted: 0,
        };
        self.feed_pool(
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
        let cause = refusal_cause(refusal.reason);
        self.shared
            .record(Some(refusal.call), EventKind::Refused { cause });
        self.totals.refused += 1;
        if let Some(entry) = self.remove_call(refusal.call) {
            let error = self.shared.error(ErrorCode::from(refusal.reason));
            let error = error.with_retry_after(refusal.retry_after);
            self.fail_call(now, entry, error, RunEnd::NotRun);
        }
    }

    fn conclude(&mut self, now: Time, conclusion: Conclusion) {
        let Some(entry) = self.remove_call(conclusion.call) else {
            return;
        };
        let outcome = match conclusion.kind {
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
            .record(Some(conclusion.call), EventKind::Ended { outcome, tokens });
        let peer = entry
            .last_endpoint
            .as_ref()
            .map_or("", |endpoint| endpoint.as_str());
        let error = ErrorInfo::new(ErrorCode::from(conclusion.kind), peer);
        self.fail_call(now, entry, error, RunEnd::InDoubt);
    }

    /// Reports that a call has no answer to the caller, or to the keys state machine if that
    /// requested the run.
    fn fail_call(&mut self, now: Time, entry: CallEntry, error: ErrorInfo, end: RunEnd) {
        if let Some(keyed) = entry.keyed {
            self.end_keyed(now, keyed.call, end);
        }
        if let Some(failure) = entry.failure {
            drop(failure.send(error));
        }
    }
}

const fn refusal_cause(reason: RefusalReason) -> RefusalCause {
    match reason {
        RefusalReason::RateLimit => RefusalCause::RateLimit,
        RefusalReason::QueueFull => RefusalCause::QueueFull,
        RefusalReason::Overload => RefusalCause::Overload,
        RefusalReason::WaitExpired => RefusalCause::WaitExpired,
        RefusalReason::Unknown => RefusalCause::Unknown,
        RefusalReason::NoEndpoint => RefusalCause::NoEndpoint,
    }
}
