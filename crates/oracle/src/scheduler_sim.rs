//! Simulation of one scheduler, checked by the oracle of calls.

use crate::{
    call_oracle::CallOracle,
    calls::Ending,
    fixture::{Kind, catalog, request},
    mutation::Mutation,
    scheduler_machine::Step,
};
use core::time::Duration;
use poplarswitch_entity::{Attempt, CallId, EndpointName, Incarnation, Time};
use poplarswitch_scheduler::{
    End, Ended, Input, LoadReport, Output, Policy, Scheduler, Stop, StopReason,
};

/// Tolerated excess of a queue wait, because a wake-up may be late in virtual time.
const WAIT_TOLERANCE: Duration = Duration::from_millis(1);
/// Virtual time at the end of a case, after which every call has to have ended.
const FINISH_DURATION: Duration = Duration::from_mins(2);
/// Interval at which all live dispatches are ended at the end of a case.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// A scheduler, its virtual clock and the oracle.
#[derive(Debug)]
pub struct SchedulerSim {
    /// The oracle of calls.
    pub oracle: CallOracle,
    scheduler: Scheduler,
    mutation: Option<Mutation>,
    now: Time,
    call_seq: u64,
    alternate_set: bool,
    last_end: Option<Ended>,
}

impl SchedulerSim {
    /// Creates a scheduler without calls.
    pub fn new(mutation: Option<Mutation>) -> Self {
        Self {
            oracle: CallOracle::default(),
            scheduler: Scheduler::new(catalog(false), Policy::Full, 1),
            mutation,
            now: Time::ZERO,
            call_seq: 0,
            alternate_set: false,
            last_end: None,
        }
    }

    /// Carries out one step.
    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Submit(kind) => self.submit(kind),
            Step::Burst(kind, count) => (0..count).for_each(|_| self.submit(kind)),
            Step::End(pick, ending) => self.end_dispatch(pick, ending),
            Step::Cancel(pick) => self.cancel(pick),
            Step::Progress(pick, tokens) => self.progress(pick, tokens),
            Step::RepeatEnd => self.repeat_end(),
            Step::EndEarlierAttempt(pick) => self.end_earlier_attempt(pick),
            Step::Load(index, age) => self.report_load(index, age),
            Step::Reload => self.reload(),
            Step::Wait(millis) => self.wait(Duration::from_millis(millis)),
        }
    }

    fn submit(&mut self, kind: Kind) {
        self.call_seq += 1;
        let call = CallId {
            origin: Incarnation(1),
            seq: self.call_seq,
        };
        self.oracle.record_submission(self.now, call, kind);
        self.feed(Input::Submit(request(call, kind)));
    }

    fn feed(&mut self, input: Input) {
        let mut out = Vec::new();
        self.scheduler.handle(self.now, input, &mut out);
        self.apply_outputs(out);
    }

    fn apply_outputs(&mut self, out: Vec<Output>) {
        let slots = self.slots();
        for output in out {
            let outputs = self
                .mutation
                .map_or_else(|| vec![output.clone()], |m| m.apply(output.clone()));
            for output in outputs {
                self.oracle.check_output(self.now, &output, Some(&slots));
                if let Output::Stop(stop) = output {
                    self.end_stopped(stop);
                }
            }
        }
    }

    /// Ends a cancelled dispatch immediately, as if its endpoint stopped without delay.
    fn end_stopped(&mut self, stop: Stop) {
        if stop.reason != StopReason::Cancelled {
            return;
        }
        let ended = Ended {
            call: stop.call,
            attempt: stop.attempt,
            end: End::Stopped { emitted: 0 },
        };
        self.finish_dispatch(ended);
    }

    fn slots(&self) -> Vec<(EndpointName, u32)> {
        let catalog = catalog(self.alternate_set);
        let entries = catalog.endpoints.values();
        entries
            .map(|e| (e.endpoint.name.clone(), e.endpoint.slots))
            .collect()
    }

    fn end_dispatch(&mut self, pick: usize, ending: Ending) {
        let live = self.oracle.live_dispatches();
        let Some(dispatch) = live.get(pick % live.len().max(1)) else {
            return;
        };
        let record = &self.oracle.records[&dispatch.call];
        let (kind, emitted) = (record.kind, record.emitted);
        if ending != Ending::Answer {
            self.oracle.record_fault(self.now, kind);
        }
        self.finish_dispatch(ending.to_ended(dispatch, emitted));
    }

    fn finish_dispatch(&mut self, ended: Ended) {
        self.oracle.record_end(self.now, &ended);
        self.last_end = Some(ended);
        self.feed(Input::Ended(ended));
    }

    fn cancel(&mut self, pick: usize) {
        let open = self.oracle.open_calls();
        if let Some(call) = open.get(pick % open.len().max(1)) {
            self.oracle.record_cancellation(*call);
            self.feed(Input::Cancel(*call));
        }
    }

    fn progress(&mut self, pick: usize, tokens: u32) {
        let live = self.oracle.live_dispatches();
        let Some(dispatch) = live.get(pick % live.len().max(1)) else {
            return;
        };
        let Some(progress) = self.oracle.record_progress(dispatch, tokens) else {
            return;
        };
        self.feed(Input::Progress(progress));
    }

    /// Passes the last end again, unless its dispatch is live.
    fn repeat_end(&mut self) {
        if let Some(ended) = self.last_end {
            let live = self
                .oracle
                .records
                .get(&ended.call)
                .and_then(|r| r.live.as_ref());
            if live.is_none_or(|live| live.attempt != ended.attempt) {
                self.feed(Input::Ended(ended));
            }
        }
    }

    /// Passes an end of the attempt before a live one.
    fn end_earlier_attempt(&mut self, pick: usize) {
        let live = self.oracle.live_dispatches();
        let Some(dispatch) = live.get(pick % live.len().max(1)) else {
            return;
        };
        let Some(previous) = dispatch.attempt.0.checked_sub(1) else {
            return;
        };
        let end = End::Answered { tokens: 5 };
        self.feed(Input::Ended(Ended {
            call: dispatch.call,
            attempt: Attempt(previous),
            end,
        }));
    }

    fn report_load(&mut self, index: usize, age: u64) {
        let slots = self.slots();
        let (endpoint, running) = slots[index % slots.len()].clone();
        self.feed(Input::Load(LoadReport {
            endpoint,
            running,
            queued: 0,
            age: Duration::from_millis(age),
        }));
    }

    fn reload(&mut self) {
        self.alternate_set = !self.alternate_set;
        let slots = self.slots();
        self.oracle.record_removal(&slots);
        for kind in Kind::ALL {
            self.oracle.record_fault(self.now, kind);
        }
        let mut out = Vec::new();
        let catalog = catalog(self.alternate_set);
        self.scheduler.reload(self.now, catalog, &mut out);
        self.apply_outputs(out);
    }

    fn wait(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(wake) = self.scheduler.next_wake().filter(|wake| *wake <= end) {
            self.now = wake.max(self.now + Duration::from_micros(1));
            self.tick();
        }
        self.now = end;
        self.tick();
    }

    fn tick(&mut self) {
        let mut out = Vec::new();
        self.scheduler.tick(self.now, &mut out);
        self.apply_outputs(out);
        self.oracle.check_waits(self.now, WAIT_TOLERANCE);
    }

    /// Ends all dispatches for some time and checks that every call ends.
    pub fn finish(&mut self) {
        let end = self.now + FINISH_DURATION;
        while self.now < end {
            for dispatch in self.oracle.live_dispatches() {
                let emitted = self.oracle.records[&dispatch.call].emitted;
                self.finish_dispatch(Ending::Answer.to_ended(&dispatch, emitted));
            }
            self.wait(ROUND_INTERVAL);
        }
        self.oracle.check_all_ended(self.now);
    }

    /// Number of calls that the scheduler still holds.
    pub fn held_calls(&self) -> usize {
        self.scheduler.queued() + self.scheduler.in_flight()
    }
}
