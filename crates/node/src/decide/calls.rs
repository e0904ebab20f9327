//! What happens to calls and endpoints, told to the pool.

use super::{Decider, keyed::answer_form, table::Entry};
use crate::{
    callers::leaving,
    counters::ClassLabel,
    event::{Finished, Submission},
};
use poplarswitch_entity::{CallId, Time};
use poplarswitch_keys::RunEnd;
use poplarswitch_scheduler::{self as scheduler, End, Fault, Input, LoadReport, Progress};
use poplarswitch_timeline::{EventKind, Outcome};
use poplarswitch_wire::{EndpointState, ErrorCode, ErrorInfo, Ran};

impl Decider {
    /// Takes a new call.
    pub(super) fn submit(&mut self, now: Time, submission: Submission) {
        let request = submission.call.request.clone();
        let counters = &self.shared.counters;
        counters.received.get_or_create(&label(&request)).inc();
        self.totals.received += 1;
        self.shared.record(
            Some(request.call),
            EventKind::Arrived {
                class: request.class.clone(),
                workspace: request.workspace.clone(),
            },
        );
        if !self.cluster.drain.admit() {
            let error = leaving(&self.shared);
            self.cluster.drain.begin();
            return self.turn_away(submission, error);
        }
        if self.pool.is_none() {
            let error = self.shared.error(ErrorCode::NoSet);
            return self.turn_away(submission, error);
        }
        if !submission.call.repeatable {
            return self.submit_keyed(now, submission);
        }
        self.calls.insert(Entry {
            call: submission.call,
            verdict: Some(submission.verdict),
            keyed: None,
            arrived: now,
            run: None,
            answering: false,
            left: false,
            last: None,
        });
        self.feed(now, Input::Submit(request));
    }

    /// The caller left: nothing more is owed to it.
    ///
    /// A run that may not be repeated goes on, so that its outcome is known.
    pub(super) fn left(&mut self, now: Time, call: CallId) {
        if self.waiters.contains_key(&call) {
            self.shared.counters.cancelled.inc();
            self.shared.record(Some(call), EventKind::Cancelled);
            return;
        }
        let Some(entry) = self.calls.get_mut(call) else {
            return;
        };
        if entry.left {
            return;
        }
        entry.left = true;
        self.shared.counters.cancelled.inc();
        self.shared.record(Some(call), EventKind::Cancelled);
        let running = entry.run.is_some();
        if running && entry.call.outlives_caller() {
            return;
        }
        if !running {
            self.forget(call);
        }
        self.feed(now, Input::Cancel(call));
    }

    /// A run produced output.
    pub(super) fn progress(&mut self, now: Time, progress: Progress) {
        let Some(entry) = self.calls.get_mut(progress.call) else {
            return;
        };
        if entry.run_of(progress.attempt).is_none() {
            return;
        }
        if !entry.answering {
            entry.answering = true;
            let waited = now.since(entry.arrived).as_secs_f64();
            let label = label(&entry.call.request);
            let histogram = &self.shared.counters.first_output;
            histogram.get_or_create(&label).observe(waited);
            self.shared
                .record(Some(progress.call), EventKind::FirstToken);
        }
        self.feed(now, Input::Progress(progress));
    }

    /// A run ended.
    pub(super) fn finished(&mut self, now: Time, finished: &Finished) {
        let ended = finished.ended;
        self.shared.counters.running.dec();
        let state = endpoint_state(ended.end);
        self.endpoints.ended(&finished.endpoint, state);
        match self.calls.get_mut(ended.call) {
            Some(entry) if entry.run_of(ended.attempt).is_some() => {
                let ordered = entry.run.take().is_some_and(|run| run.stop.is_stopped());
                let gone = entry.left || !ordered && matches!(ended.end, End::Stopped { .. });
                self.settle(now, ended.call, ended.end, gone);
            }
            _ => {
                self.shared.counters.late_ends.inc();
            }
        }
        self.feed(now, Input::Ended(ended));
    }

    fn settle(&mut self, now: Time, call: CallId, end: End, gone: bool) {
        match end {
            End::Answered { tokens } => {
                self.shared.counters.tokens.inc_by(u64::from(tokens));
                self.answered(now, call, tokens);
            }
            End::Stopped { .. } | End::Failed { .. } if gone => {
                self.forget(call);
            }
            End::Stopped { .. } | End::Failed { .. } => {}
        }
    }

    fn answered(&mut self, now: Time, call: CallId, tokens: u32) {
        let outcome = Outcome::Answered;
        self.shared
            .record(Some(call), EventKind::Ended { outcome, tokens });
        let Some(entry) = self.forget(call) else {
            return;
        };
        match entry.keyed {
            None => self.count_answered(&entry.call.request),
            Some(mut keyed) => {
                let end = answer_form(&mut keyed).map_or(RunEnd::InDoubt, RunEnd::Answered);
                self.end_keyed(now, keyed.call, end);
            }
        }
    }

    /// Counts a whole answer.
    pub(super) fn count_answered(&mut self, request: &scheduler::Request) {
        let answered = &self.shared.counters.answered;
        answered.get_or_create(&label(request)).inc();
        self.totals.answered += 1;
    }

    /// Tells a caller that its call goes no further.
    pub(super) fn turn_away(&mut self, submission: Submission, error: ErrorInfo) {
        match error.ran {
            Ran::NotRun => self.totals.refused += 1,
            Ran::Ran => self.totals.failed += 1,
            Ran::InDoubt => self.totals.in_doubt += 1,
        }
        drop(submission.verdict.send(error));
        self.close_call();
    }

    /// Counts the end of a call whose caller this VM holds.
    pub(super) fn close_call(&mut self) {
        self.shared.counters.open.dec();
        self.cluster.drain.end();
    }

    /// Ends the care for a call.
    pub(super) fn forget(&mut self, call: CallId) -> Option<Entry> {
        let entry = self.calls.remove(call)?;
        self.close_call();
        Some(entry)
    }

    /// An endpoint reported its load.
    pub(super) fn load(&mut self, now: Time, report: LoadReport) {
        self.endpoints.reported(&report.endpoint, report.running);
        self.feed(now, Input::Load(report));
    }
}

fn label(request: &poplarswitch_scheduler::Request) -> ClassLabel {
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
