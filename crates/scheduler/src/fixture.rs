//! A small set and helper functions for tests.

use crate::{
    Conclusion, Dispatch, End, Ended, Fault, Input, Output, Policy, Progress, Refusal, Request,
    Scheduler, Tuning,
};
use core::time::Duration;
use poplarswitch_catalog::{Catalog, Route};
use poplarswitch_entity::{
    Attempt, CallId, EndpointName, Generation, Incarnation, PrefixHash, Time,
};
use serde_json::{Value, json};
use std::sync::Arc;

/// A set with three tiers, four classes, two workspaces, one model and one service. The model is
/// served by `engines` endpoints with `slots` slots each, the service by two with one slot each.
pub(crate) fn set(engines: usize, slots: u32) -> Value {
    let endpoint = |name: String, slots: u32, serves: Value| {
        json!({"name": name, "address": "127.0.0.1:1", "data_centre": "a", "slots": slots,
            "serves": serves})
    };
    let model = json!({"model": {"model": "tiny", "version": "1"}});
    let mut endpoints: Vec<Value> = (0..engines)
        .map(|index| endpoint(format!("e{index}"), slots, model.clone()))
        .collect();
    let service = json!({"service": {"service": "seats"}});
    endpoints.extend((0..2).map(|index| endpoint(format!("s{index}"), 1, service.clone())));
    json!({
        "tiers": [
            {"name": "high", "rank": 0},
            {"name": "mid", "rank": 1, "floor_percent": 10},
            {"name": "low", "rank": 2, "preemptible": true},
        ],
        "classes": [
            {"name": "book", "tier": "high", "repeatable": false, "max_wait_ms": 10_000,
                "target": {"answer": {"answer_ms": 1_000}}},
            {"name": "ask", "tier": "high", "max_wait_ms": 10_000,
                "target": {"stream": {"first_token_ms": 500, "inter_token_ms": 50}}},
            {"name": "chat", "tier": "mid", "max_wait_ms": 60_000,
                "target": {"stream": {"first_token_ms": 2_000, "inter_token_ms": 50}}},
            {"name": "sum", "tier": "low", "max_wait_ms": 60_000,
                "target": {"stream": {"first_token_ms": 9_000, "inter_token_ms": 50}}},
        ],
        "workspaces": [
            {"name": "atlas"},
            {"name": "abay", "limits": {"rate": 1_000, "in_flight": 2, "queued": 5}},
        ],
        "models": [{"name": "tiny", "versions": ["1"], "default_class": "ask"}],
        "services": [{"name": "seats", "default_class": "book"}],
        "endpoints": endpoints,
    })
}

pub(crate) fn catalog(set: Value) -> Arc<Catalog> {
    let set = serde_json::from_value(set).expect("test set parses");
    Arc::new(Catalog::build(&set, Generation(1)).expect("resolves"))
}

pub(crate) fn call_id(seq: u64) -> CallId {
    CallId {
        origin: Incarnation(1),
        seq,
    }
}

pub(crate) fn request(seq: u64, class: &str) -> Request {
    let route = match class {
        "book" => Route::Service("seats".into()),
        _ => Route::Model("tiny".into()),
    };
    Request {
        call: call_id(seq),
        class: class.into(),
        workspace: "atlas".into(),
        route,
        adapter: None,
        prefix: PrefixHash(seq),
        input_tokens: 10,
        max_tokens: 100,
        data_centre: "a".into(),
        waited: Duration::ZERO,
    }
}

/// A scheduler and its clock.
pub(crate) struct Fixture {
    pub scheduler: Scheduler,
    pub now: Time,
}

impl Fixture {
    pub(crate) fn new(engines: usize, slots: u32) -> Self {
        Self::with_set(set(engines, slots), Policy::Full, Tuning::default())
    }

    pub(crate) fn with_set(set: Value, policy: Policy, tuning: Tuning) -> Self {
        Self {
            scheduler: Scheduler::with_tuning(catalog(set), policy, 1, tuning),
            now: Time::ZERO,
        }
    }

    pub(crate) fn advance(&mut self, millis: u64) -> Vec<Output> {
        self.now = self.now + Duration::from_millis(millis);
        let mut out = Vec::new();
        self.scheduler.tick(self.now, &mut out);
        out
    }

    pub(crate) fn handle(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.scheduler.handle(self.now, input, &mut out);
        out
    }

    pub(crate) fn submit(&mut self, seq: u64, class: &str) -> Vec<Output> {
        self.handle(Input::Submit(request(seq, class)))
    }

    pub(crate) fn submit_as(&mut self, workspace: &str, seq: u64, class: &str) -> Vec<Output> {
        let request = Request {
            workspace: workspace.into(),
            ..request(seq, class)
        };
        self.handle(Input::Submit(request))
    }

    pub(crate) fn end(&mut self, seq: u64, attempt: u32, end: End) -> Vec<Output> {
        self.handle(Input::Ended(Ended {
            call: call_id(seq),
            attempt: Attempt(attempt),
            end,
        }))
    }

    pub(crate) fn answer(&mut self, seq: u64) -> Vec<Output> {
        self.end(seq, 0, End::Answered { tokens: 5 })
    }

    pub(crate) fn fail(&mut self, seq: u64, attempt: u32, fault: Fault) -> Vec<Output> {
        self.end(seq, attempt, End::Failed { fault, emitted: 0 })
    }

    pub(crate) fn progress(&mut self, seq: u64, attempt: u32, tokens: u32) -> Vec<Output> {
        self.handle(Input::Progress(Progress {
            call: call_id(seq),
            attempt: Attempt(attempt),
            tokens,
        }))
    }
}

pub(crate) fn dispatches(out: &[Output]) -> Vec<&Dispatch> {
    out.iter()
        .filter_map(|output| match output {
            Output::Dispatch(dispatch) => Some(dispatch),
            _ => None,
        })
        .collect()
}

pub(crate) fn dispatched(out: &[Output]) -> Vec<u64> {
    let dispatches = dispatches(out);
    dispatches
        .iter()
        .map(|dispatch| dispatch.call.seq)
        .collect()
}

pub(crate) fn endpoints(out: &[Output]) -> Vec<EndpointName> {
    let dispatches = dispatches(out);
    dispatches
        .iter()
        .map(|dispatch| dispatch.endpoint.clone())
        .collect()
}

pub(crate) fn refusals(out: &[Output]) -> Vec<Refusal> {
    let refusal = |output: &Output| match output {
        Output::Refuse(refusal) => Some(*refusal),
        _ => None,
    };
    out.iter().filter_map(refusal).collect()
}

pub(crate) fn conclusions(out: &[Output]) -> Vec<Conclusion> {
    let conclusion = |output: &Output| match output {
        Output::Conclude(conclusion) => Some(*conclusion),
        _ => None,
    };
    out.iter().filter_map(conclusion).collect()
}
