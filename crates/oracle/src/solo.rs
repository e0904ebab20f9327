//! One scheduler under the oracle.

use crate::{
    calls::Ending,
    fixture::{Kind, catalog, request},
    judge::Judge,
    mutation::Mutation,
    solo_machine::Step,
};
use core::time::Duration;
use poplarswitch_entity::{Attempt, CallId, EndpointName, Incarnation, Time};
use poplarswitch_scheduler::{
    End, Ended, Input, LoadReport, Output, Policy, Scheduler, Stop, StopReason,
};

/// Lateness of a wake-up in virtual time.
const SLACK: Duration = Duration::from_millis(1);
/// Time after which every wait must have ended.
const LONG: Duration = Duration::from_mins(2);
/// Time between two rounds of ends.
const ROUND: Duration = Duration::from_secs(1);

/// A scheduler, its clock and the oracle.
#[derive(Debug)]
pub struct Solo {
    /// The oracle.
    pub judge: Judge,
    scheduler: Scheduler,
    mutation: Option<Mutation>,
    now: Time,
    seq: u64,
    second: bool,
    last: Option<Ended>,
}

impl Solo {
    /// Starts without calls.
    pub fn new(mutation: Option<Mutation>) -> Self {
        Self {
            judge: Judge::default(),
            scheduler: Scheduler::new(catalog(false), Policy::Full, 1),
            mutation,
            now: Time::ZERO,
            seq: 0,
            second: false,
            last: None,
        }
    }

    /// Does one step.
    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Submit(kind) => self.submit(kind),
            Step::Burst(kind, count) => (0..count).for_each(|_| self.submit(kind)),
            Step::End(pick, ending) => self.end(pick, ending),
            Step::Cancel(pick) => self.cancel(pick),
            Step::Progress(pick, tokens) => self.progress(pick, tokens),
            Step::Repeat => self.repeat(),
            Step::Stale(pick) => self.stale(pick),
            Step::Load(site, age) => self.load(site, age),
            Step::Reload => self.reload(),
            Step::Wait(millis) => self.wait(Duration::from_millis(millis)),
        }
    }

    fn submit(&mut self, kind: Kind) {
        self.seq += 1;
        let call = CallId {
            origin: Incarnation(1),
            seq: self.seq,
        };
        self.judge.submitted(self.now, call, kind);
        self.feed(Input::Submit(request(call, kind)));
    }

    fn feed(&mut self, input: Input) {
        let mut out = Vec::new();
        self.scheduler.handle(self.now, input, &mut out);
        self.judge_orders(out);
    }

    fn judge_orders(&mut self, out: Vec<Output>) {
        let slots = self.slots();
        for order in out {
            let orders = self
                .mutation
                .map_or_else(|| vec![order.clone()], |m| m.apply(order.clone()));
            for order in orders {
                self.judge.ordered(self.now, &order, Some(&slots));
                if let Output::Stop(stop) = order {
                    self.stop(stop);
                }
            }
        }
    }

    /// The endpoint obeys a stop at once.
    fn stop(&mut self, stop: Stop) {
        if stop.reason != StopReason::Cancelled {
            return;
        }
        let ended = Ended {
            call: stop.call,
            attempt: stop.attempt,
            end: End::Stopped { emitted: 0 },
        };
        self.conclude(ended);
    }

    fn slots(&self) -> Vec<(EndpointName, u32)> {
        let catalog = catalog(self.second);
        let entries = catalog.endpoints.values();
        entries
            .map(|e| (e.endpoint.name.clone(), e.endpoint.slots))
            .collect()
    }

    fn end(&mut self, pick: usize, ending: Ending) {
        let live = self.judge.live();
        let Some(dispatch) = live.get(pick % live.len().max(1)) else {
            return;
        };
        let record = &self.judge.records[&dispatch.call];
        let (kind, emitted) = (record.kind, record.emitted);
        if ending != Ending::Answer {
            self.judge.faulted(self.now, kind);
        }
        self.conclude(ending.of(dispatch, emitted));
    }

    fn conclude(&mut self, ended: Ended) {
        self.judge.ended(self.now, &ended);
        self.last = Some(ended);
        self.feed(Input::Ended(ended));
    }

    fn cancel(&mut self, pick: usize) {
        let open = self.judge.open();
        if let Some(call) = open.get(pick % open.len().max(1)) {
            self.judge.left(*call);
            self.feed(Input::Cancel(*call));
        }
    }

    fn progress(&mut self, pick: usize, tokens: u32) {
        let live = self.judge.live();
        let Some(dispatch) = live.get(pick % live.len().max(1)) else {
            return;
        };
        let Some(progress) = self.judge.emitted(dispatch, tokens) else {
            return;
        };
        self.feed(Input::Progress(progress));
    }

    /// The last end comes once more.
    fn repeat(&mut self) {
        if let Some(ended) = self.last {
            let live = self
                .judge
                .records
                .get(&ended.call)
                .and_then(|r| r.live.as_ref());
            if live.is_none_or(|live| live.attempt != ended.attempt) {
                self.feed(Input::Ended(ended));
            }
        }
    }

    /// An end of an earlier attempt comes late.
    fn stale(&mut self, pick: usize) {
        let live = self.judge.live();
        let Some(dispatch) = live.get(pick % live.len().max(1)) else {
            return;
        };
        let Some(earlier) = dispatch.attempt.0.checked_sub(1) else {
            return;
        };
        let end = End::Answered { tokens: 5 };
        self.feed(Input::Ended(Ended {
            call: dispatch.call,
            attempt: Attempt(earlier),
            end,
        }));
    }

    fn load(&mut self, site: usize, age: u64) {
        let slots = self.slots();
        let (endpoint, running) = slots[site % slots.len()].clone();
        self.feed(Input::Load(LoadReport {
            endpoint,
            running,
            queued: 0,
            age: Duration::from_millis(age),
        }));
    }

    fn reload(&mut self) {
        self.second = !self.second;
        let slots = self.slots();
        self.judge.withdrawn(&slots);
        for kind in Kind::ALL {
            self.judge.faulted(self.now, kind);
        }
        let mut out = Vec::new();
        let catalog = catalog(self.second);
        self.scheduler.reload(self.now, catalog, &mut out);
        self.judge_orders(out);
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
        self.judge_orders(out);
        self.judge.check_waits(self.now, SLACK);
    }

    /// Ends everything and checks that nothing is left.
    pub fn finish(&mut self) {
        let end = self.now + LONG;
        while self.now < end {
            for dispatch in self.judge.live() {
                let emitted = self.judge.records[&dispatch.call].emitted;
                self.conclude(Ending::Answer.of(&dispatch, emitted));
            }
            self.wait(ROUND);
        }
        self.judge.check_all_over(self.now);
    }

    /// Calls that the scheduler still holds.
    pub fn held(&self) -> usize {
        self.scheduler.queued() + self.scheduler.in_flight()
    }
}
