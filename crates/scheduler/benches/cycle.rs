//! Measures the time that the scheduler takes for one call from submission to end, for several
//! numbers of endpoints and workspaces.
//!
//! `idle` submits a call that is dispatched at once, and ends it. `busy` keeps all slots taken
//! and calls queued: each cycle submits a call that is queued, and ends one whose slot goes to
//! another queued call.

use core::time::Duration;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use poplarswitch_catalog::{Catalog, Route};
use poplarswitch_entity::{
    Attempt, CallId, DataCentre, Generation, Incarnation, PrefixHash, Time, WorkspaceName,
};
use poplarswitch_scheduler::{Dispatch, End, Ended, Input, Output, Policy, Request, Scheduler};
use serde_json::{Value, json};
use std::{collections::VecDeque, sync::Arc};

const ENDPOINTS: [usize; 3] = [18, 500, 6_500];
const WORKSPACES: [usize; 2] = [20, 900];
const CLASSES: [&str; 3] = ["ask", "chat", "sum"];
const SLOTS: usize = 8;
const DATA_CENTRES: usize = 28;
/// Time between two submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_micros(200);

fn set(endpoints: usize, workspaces: usize) -> Value {
    let endpoint = |index: usize| {
        json!({"name": format!("e{index}"), "address": "127.0.0.1:1",
            "data_centre": format!("d{}", index % DATA_CENTRES), "slots": SLOTS,
            "serves": {"model": {"model": "tiny", "version": "1"}}})
    };
    let workspace = |index: usize| {
        json!({"name": format!("w{index}"),
            "limits": {"rate": 1_000_000, "in_flight": 100_000, "queued": 100_000}})
    };
    let class = |name: &str, tier: &str, first_ms: u32, percent: u8| {
        json!({"name": name, "tier": tier, "max_wait_ms": 3_600_000,
            "limits": {"slot_percent": percent, "queued": 1_000_000},
            "target": {"stream": {"first_token_ms": first_ms, "inter_token_ms": 30}}})
    };
    json!({
        "tiers": [{"name": "high", "rank": 0}, {"name": "mid", "rank": 1},
            {"name": "low", "rank": 2}],
        "classes": [class("ask", "high", 1_500, 100), class("chat", "mid", 3_000, 100),
            class("sum", "low", 10_000, 75)],
        "workspaces": (0..workspaces).map(workspace).collect::<Vec<_>>(),
        "models": [{"name": "tiny", "versions": ["1"], "default_class": "ask"}],
        "endpoints": (0..endpoints).map(endpoint).collect::<Vec<_>>(),
    })
}

struct Workload {
    scheduler: Scheduler,
    workspaces: Vec<WorkspaceName>,
    data_centres: Vec<DataCentre>,
    now: Time,
    seq: u64,
    out: Vec<Output>,
    running: VecDeque<Dispatch>,
}

impl Workload {
    fn new(endpoints: usize, workspaces: usize) -> Self {
        let set = serde_json::from_value(set(endpoints, workspaces)).expect("set parses");
        let catalog = Catalog::build(&set, Generation(1)).expect("set resolves");
        let name = |index| WorkspaceName::new(format!("w{index}"));
        let centre = |index| DataCentre::new(format!("d{index}"));
        Self {
            scheduler: Scheduler::new(Arc::new(catalog), Policy::Full, 1),
            workspaces: (0..workspaces).map(name).collect(),
            data_centres: (0..DATA_CENTRES).map(centre).collect(),
            now: Time::ZERO,
            seq: 0,
            out: Vec::new(),
            running: VecDeque::new(),
        }
    }

    /// Submits twice as many calls as there are slots, so that half of them are queued.
    fn fill(&mut self, endpoints: usize) {
        for _ in 0..endpoints * SLOTS * 2 {
            self.submit();
        }
    }

    fn submit(&mut self) {
        self.seq += 1;
        self.now = self.now + SUBMIT_INTERVAL;
        let pick = self.seq as usize;
        let request = Request {
            call: CallId {
                origin: Incarnation(1),
                seq: self.seq,
            },
            class: CLASSES[pick % CLASSES.len()].into(),
            workspace: self.workspaces[pick * 7 % self.workspaces.len()].clone(),
            route: Route::Model("tiny".into()),
            adapter: None,
            prefix: PrefixHash(self.seq % 10_000),
            input_tokens: 500,
            max_tokens: 300,
            data_centre: self.data_centres[pick % DATA_CENTRES].clone(),
            waited: Duration::ZERO,
        };
        self.handle(Input::Submit(request));
    }

    fn end(&mut self) {
        let Some(dispatch) = self.running.pop_front() else {
            return;
        };
        self.handle(Input::Ended(Ended {
            call: dispatch.call,
            attempt: Attempt(0),
            end: End::Answered { tokens: 200 },
        }));
    }

    fn handle(&mut self, input: Input) {
        self.scheduler.handle(self.now, input, &mut self.out);
        for output in self.out.drain(..) {
            if let Output::Dispatch(dispatch) = output {
                self.running.push_back(dispatch);
            }
        }
    }

    fn cycle(&mut self) {
        self.submit();
        self.end();
    }
}

fn cycle(c: &mut Criterion) {
    let mut group = c.benchmark_group("cycle");
    group.sample_size(30);
    for endpoints in ENDPOINTS {
        for workspaces in WORKSPACES {
            let size = format!("{endpoints}x{workspaces}");
            let mut workload = Workload::new(endpoints, workspaces);
            group.bench_function(BenchmarkId::new("idle", &size), |b| {
                b.iter(|| workload.cycle());
            });
            workload.fill(endpoints);
            group.bench_function(BenchmarkId::new("busy", &size), |b| {
                b.iter(|| workload.cycle());
            });
        }
    }
    group.finish();
}

criterion_group!(benches, cycle);
criterion_main!(benches);
