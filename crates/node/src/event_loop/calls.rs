//! Handles events of calls, runs and endpoints, and passes them to the pool.

use super::{EventLoop, keyed::encode_answer, table::CallEntry};
use crate::{
    callers::leaving_error,
    counters::ClassLabel,
    event::{Finished, Submission},
};
use poplarswitch_entity::{CallId, Time};
use poplarswitch_keys::RunEnd;
use poplarswitch_scheduler::{self as scheduler, End, Fault, Input, LoadReport, Progress};
use poplarswitch_timeline::{EventKind, Outcome};
use poplarswitch_wire::{EndpointState, ErrorCode, ErrorInfo, Ran};

impl EventLoop {
    /// Admits a new call and submits it, or rejects it.
    pub(super) fn submit(&mut self, now: Time, submission: Submission) {
        let request = submission.call.request.clone();
        let counters = &self.shared.counters;
        counters
            .received
            .get_or_create(&class_label(&request))
            .inc();
        self.totals.received += 1;
        self.shared.record(
            Some(request.call),
            EventKind::Arrived {
                class: request.class.clone(),
                workspace: request.workspace.clone(),
            },
        );
        if !self.cluster.drain.admit() {
            let error = leaving_error(&self.shared);
            // `reject` counts the end of a call, but a refused call was not counted as begun.
            self.cluster.drain.begin();
            return self.reject(submission, error);
        }
        if self.pool.is_none() {
            let error = self.shared.error(ErrorCode::NoSet);
            return self.reject(submission, error);
        }
        if !submission.call.repeatable {
            return self.submit_keyed(now, submission);
        }
        self.calls.insert(CallEntry {
            call: submission.call,
            failure: Some(submission.failure),
            keyed: None,
            arrived: now,
            run: None,
            output_started: false,
            caller_left: false,
            last_endpoint: None,
        });
        self.feed_pool(now, Input::Submit(request));
    }

    /// Handles the disconnect of a caller: cancels its call.
    ///
    /// The run of a non-repeatable call continues, so that its outcome is known.
    pub(super) fn caller_left(&mut self, now: Time, call: CallId) {
        if self.keyed_submissions.contains_key(&call) {
            self.shared.counters.cancelled.inc();
            self.shared.record(Some(call), EventKind::Cancelled);
            return;
        }
        let Some(entry) = self.calls.get_mut(call) else {
            return;
        };
        if entry.caller_left {
            return;
        }
        entry.caller_left = true;
        self.shared.counters.cancelled.inc();
        self.shared.record(Some(call), EventKind::Cancelled);
        let running = entry.run.is_some();
        if running && entry.call.continues_without_caller() {
            return;
        }
        if !running {
            self.remove_call(call);
        }
        self.feed_pool(now, Input::Cancel(call));
    }

    /// Handles the progress of a run that has produced output.
    pub(super) fn handle_progress(&mut self, now: Time, progress: Progress) {
        let Some(entry) = self.calls.get_mut(progress.call) else {
            return;
        };
        if entry.run_of(progress.attempt).is_none() {
            return;
        }
        if !entry.output_started {
            entry.output_started = true;
            let elapsed = now.since(entry.arrived).as_secs_f64();
            let label = class_label(&entry.call.request);
            let histogram = &self.shared.counters.first_output;
            histogram.get_or_create(&label).observe(elapsed);
            self.shared
                .record(Some(progress.call), EventKind::FirstToken);
        }
        self.feed_pool(now, Input::Progress(progress));
    }

    /// Handles the end of a run.
    pub(super) fn handle_end(&mut self, now: Time, finished: &Finished) {
        let ended = finished.ended;
        self.shared.counters.running.dec();
        let state = endpoint_state(ended.end);
        self.endpoints.run_ended(&finished.endpoint, state);
        match self.calls.get_mut(ended.call) {
            Some(entry) if entry.run_of(ended.attempt).is_some() => {
                let stop_requested = entry.run.take().is_some_and(|run| run.stop.is_stopped());
                // Without a stop request, a run is stopped only because its caller has gone.
                let abandoned = entry.caller_left
                    || !stop_requested && matches!(ended.end, End::Stopped { .. });
                self.apply_end(now, ended.call, ended.end, abandoned);
            }
            _ => {
                self.shared.counters.late_ends.inc();
            }
        }
        self.feed_pool(now, Input::Ended(ended));
    }

    fn apply_end(&mut self, now: Time, call: CallId, end: End, abandoned: bool) {
        match end {
            End::Answered { tokens } => {
                self.shared.counters.tokens.inc_by(u64::from(tokens));
                self.answered(now, call, tokens);
            }
            End::Stopped { .. } | End::Failed { .. } if abandoned => {
                self.remove_call(call);
            }
            End::Stopped { .. } | End::Failed { .. } => {}
        }
    }

    fn answered(&mut self, now: Time, call: CallId, tokens: u32) {
        let outcome = Outcome::Answered;
        self.shared
            .record(Some(call), EventKind::Ended { outcome, tokens });
        let Some(entry) = self.remove_call(call) else {
            return;
        };
        match entry.keyed {
            None => self.count_answered(&entry.call.request),
            Some(mut keyed) => {
                let end = encode_answer(&mut keyed).map_or(RunEnd::InDoubt, RunEnd::Answered);
                self.end_keyed(now, keyed.call, end);
            }
        }
    }

    /// Counts a complete answer.
    pub(super) fn count_answered(&mut self, request: &scheduler::Request) {
        let answered = &self.shared.counters.answered;
        answered.get_or_create(&class_label(request)).inc();
        self.totals.answered += 1;
    }

    /// Ends a call that is not in the call table, and sends the error to its caller.
    pub(super) fn reject(&mut self, submission: Submission, error: ErrorInfo) {
        match error.ran {
            Ran::NotRun => self.totals.refused += 1,
            Ran::Ran => self.totals.failed += 1,
            Ran::InDoubt => self.totals.in_doubt += 1,
        }
        drop(submission.failure.send(error));
        self.close_call();
    }

    /// Counts the end of an open call.
    pub(super) fn close_call(&mut self) {
        self.shared.counters.open.dec();
        self.cluster.drain.end();
    }

    /// Removes a call from the table and counts its end.
    pub(super) fn remove_call(&mut self, call: CallId) -> Option<CallEntry> {
        let entry = self.calls.remove(call)?;
        self.close_call();
        Some(entry)
    }

    /// Handles the load report of an endpoint.
    pub(super) fn handle_load_report(&mut self, now: Time, report: LoadReport) {
        self.endpoints
            .load_reported(&report.endpoint, report.running);
        self.feed_pool(now, Input::Load(report));
    }
}

fn class_label(request: &poplarswitch_scheduler::Request) -> ClassLabel {
    ClassLabel {
        class: request.class.as_str().to_owned(),
    }
}

const fn endpoint_state(end: End) -> Option<EndpointState> {
    match end {
        End::Answered { .. } => Some(EndpointState::Up),
        End::Stopped { .. } => None,
        End::Failed { fault, .. } => match fault {
            Fault::Unreached | Fault::Lost => Some(EndpointState::Down),
            Fault::Declined | Fault::Errored => Some(EndpointState::Up),
        },
    }
}
