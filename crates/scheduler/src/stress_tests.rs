//! Checks with random inputs that a call ends only once, that no endpoint gets more calls than it
//! has slots, that a non-repeatable call runs at most once, and that a call that may have run is
//! not reported as not run.

use crate::fixture::{call_id, catalog, request, set};
use crate::{
    ConclusionKind, End, Ended, Fault, Input, Output, Policy, Progress, Request, Running,
    Scheduler, Tuning,
};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::{Attempt, EndpointName, Time};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const STEPS: u32 = 2_000;
const CLASSES: [&str; 4] = ["book", "ask", "chat", "sum"];
const SLOTS: u32 = 2;

#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag records one independent event of the call"
)]
#[derive(Clone, Debug, Default)]
struct CallRecord {
    class: usize,
    /// Endpoint and number of the current dispatch.
    dispatch: Option<(EndpointName, u32)>,
    /// Whether an ended dispatch may have run.
    ran: bool,
    /// Dispatches that may have run, including the current one.
    runs: u32,
    done: bool,
    adopted: bool,
    cancelled: bool,
}

struct Simulation {
    scheduler: Scheduler,
    random: Pcg64Mcg,
    now: Time,
    calls: BTreeMap<u64, CallRecord>,
}

impl Simulation {
    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(self.random.random_range(0..120));
        let mut out = Vec::new();
        match self.random.random_range(0..12) {
            0..4 => self.submit(&mut out),
            4..8 => self.end(&mut out),
            8 => self.progress(&mut out),
            9 => self.cancel(&mut out),
            10 => self.adopt(&mut out),
            _ => self.scheduler.tick(self.now, &mut out),
        }
        self.check(&out);
    }

    fn submit(&mut self, out: &mut Vec<Output>) {
        let seq = self.calls.len() as u64;
        let class = self.random.random_range(0..CLASSES.len());
        let workspace = ["atlas", "abay"][self.random.random_range(0..2)];
        let request = Request {
            workspace: workspace.into(),
            ..request(seq, CLASSES[class])
        };
        let record = CallRecord {
            class,
            ..CallRecord::default()
        };
        self.calls.insert(seq, record);
        self.scheduler.handle(self.now, Input::Submit(request), out);
    }

    fn adopt(&mut self, out: &mut Vec<Output>) {
        let seq = self.calls.len() as u64;
        let endpoint = EndpointName::new(format!("e{}", self.random.random_range(0..3)));
        let record = CallRecord {
            class: 1,
            dispatch: Some((endpoint.clone(), 3)),
            runs: 1,
            adopted: true,
            ..CallRecord::default()
        };
        self.calls.insert(seq, record);
        let running = Running {
            request: request(seq, "ask"),
            endpoint,
            attempt: Attempt(3),
            tokens: 0,
        };
        self.scheduler.handle(self.now, Input::Adopt(running), out);
    }

    fn random_running(&mut self) -> Option<u64> {
        let running: Vec<u64> = self
            .calls
            .iter()
            .filter_map(|(seq, record)| record.dispatch.is_some().then_some(*seq))
            .collect();
        let index = self.random.random_range(0..running.len().max(1));
        running.get(index).copied()
    }

    fn end(&mut self, out: &mut Vec<Output>) {
        let Some(seq) = self.random_running() else {
            return;
        };
        let record = self.calls.get_mut(&seq).expect("known call");
        let attempt = record.dispatch.as_ref().expect("running").1;
        let fault = |fault| End::Failed { fault, emitted: 0 };
        let end = match self.random.random_range(0..10) {
            0 => fault(Fault::Unreached),
            1 => fault(Fault::Declined),
            2 => fault(Fault::Lost),
            3 => fault(Fault::Errored),
            _ => End::Answered { tokens: 7 },
        };
        record.dispatch = None;
        record.done |= record.cancelled || matches!(end, End::Answered { .. });
        let not_run = |fault| matches!(fault, Fault::Unreached | Fault::Declined);
        match end {
            End::Failed { fault, .. } if not_run(fault) => record.runs -= 1,
            _ => record.ran = true,
        }
        let ended = Ended {
            call: call_id(seq),
            attempt: Attempt(attempt),
            end,
        };
        let stale = Ended {
            attempt: Attempt(attempt + 1),
            ..ended
        };
        self.scheduler.handle(self.now, Input::Ended(stale), out);
        self.scheduler.handle(self.now, Input::Ended(ended), out);
        let mut repeated = Vec::new();
        self.scheduler
            .handle(self.now, Input::Ended(ended), &mut repeated);
        out.append(&mut repeated);
    }

    fn progress(&mut self, out: &mut Vec<Output>) {
        let Some(seq) = self.random_running() else {
            return;
        };
        let attempt = self.calls[&seq].dispatch.as_ref().expect("running").1;
        let progress = Progress {
            call: call_id(seq),
            attempt: Attempt(attempt),
            tokens: self.random.next_u32() % 50,
        };
        self.scheduler
            .handle(self.now, Input::Progress(progress), out);
    }

    fn cancel(&mut self, out: &mut Vec<Output>) {
        let count = self.calls.len() as u64;
        let seq = self.random.random_range(0..count.max(1));
        if !self.calls.contains_key(&seq) {
            return;
        }
        self.scheduler
            .handle(self.now, Input::Cancel(call_id(seq)), out);
        self.check(out);
        out.clear();
        // A queued call ends with its cancellation, a running one with its dispatch.
        let record = self.calls.get_mut(&seq).expect("known call");
        record.done |= record.dispatch.is_none();
        record.cancelled = true;
    }

    fn check(&mut self, out: &[Output]) {
        for output in out {
            let record = self.calls.get_mut(&output.call().seq).expect("known call");
            match output {
                Output::Dispatch(dispatch) => {
                    assert_that!(record.done, eq(false));
                    assert_that!(record.dispatch, none());
                    record.dispatch = Some((dispatch.endpoint.clone(), dispatch.attempt.0));
                    record.runs += 1;
                    if CLASSES[record.class] == "book" {
                        assert_that!(record.runs, le(1));
                    }
                }
                Output::Refuse(_) => {
                    assert_that!(record.done, eq(false));
                    assert_that!(record.ran || record.dispatch.is_some(), eq(false));
                    record.done = true;
                }
                Output::Conclude(conclusion) => {
                    assert_that!(record.done, eq(false));
                    if conclusion.kind == ConclusionKind::InDoubt {
                        assert_that!(record.ran, eq(true));
                    }
                    record.done = true;
                }
                Output::Stop(_) => assert_that!(record.dispatch, some(anything())),
            }
        }
        self.check_slots();
    }

    fn check_slots(&self) {
        let mut taken: BTreeMap<&EndpointName, u32> = BTreeMap::new();
        for record in self.calls.values().filter(|record| !record.adopted) {
            if let Some((endpoint, _)) = &record.dispatch {
                *taken.entry(endpoint).or_default() += 1;
            }
        }
        assert_that!(taken.values().max().copied().unwrap_or(0), le(SLOTS));
        let running = self
            .calls
            .values()
            .filter(|record| record.dispatch.is_some());
        assert_that!(self.scheduler.in_flight(), eq(running.count()));
    }

    /// Lets all calls end and checks that no call that was not run is left without an end.
    fn finish(&mut self) {
        while self.scheduler.queued() + self.scheduler.in_flight() > 0 {
            self.now = self.now + Duration::from_millis(200);
            let mut out = Vec::new();
            self.scheduler.tick(self.now, &mut out);
            self.check(&out);
            if self.random_running().is_some() {
                let mut out = Vec::new();
                self.end(&mut out);
                self.check(&out);
            }
        }
        let open = self
            .calls
            .values()
            .filter(|record| !record.done && !record.ran);
        assert_that!(open.count(), eq(0));
    }
}

fn simulate(policy: Policy, seed: u64) {
    let catalog = catalog(set(3, SLOTS));
    let mut simulation = Simulation {
        scheduler: Scheduler::with_tuning(catalog, policy, seed, Tuning::default()),
        random: Pcg64Mcg::seed_from_u64(seed),
        now: Time::ZERO,
        calls: BTreeMap::new(),
    };
    (0..STEPS).for_each(|_| simulation.step());
    simulation.finish();
}

#[gtest]
fn every_call_ends_once_under_the_full_policy() {
    (0..6).for_each(|seed| simulate(Policy::Full, seed));
}

#[gtest]
fn every_call_ends_once_under_the_baseline_policies() {
    for policy in [
        Policy::FifoRoundRobin,
        Policy::FifoLeastOutstanding,
        Policy::StrictLeastOutstanding,
    ] {
        (0..3).for_each(|seed| simulate(policy, seed));
    }
}
