use crate::{End, Ended, Input, Output, Policy, Request, Scheduler};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_catalog::{Catalog, Route};
use poplarswitch_entity::{Attempt, CallId, Generation, Incarnation, PrefixHash, Time};
use std::sync::Arc;

const SET: &str = r#"{
    "tiers": [{"name": "high", "rank": 0}],
    "classes": [{"name": "ask", "tier": "high", "target": {"answer": {"answer_ms": 500}}}],
    "workspaces": [{"name": "atlas"}],
    "models": [{"name": "tiny", "versions": ["1"], "default_class": "ask"}],
    "endpoints": [{"name": "e1", "address": "127.0.0.1:1", "data_centre": "a", "slots": 1,
        "serves": {"model": {"model": "tiny", "version": "1"}}}]
}"#;

fn request(seq: u64) -> Request {
    Request {
        call: CallId {
            origin: Incarnation(1),
            seq,
        },
        class: "ask".into(),
        workspace: "atlas".into(),
        route: Route::Model("tiny".into()),
        adapter: None,
        prefix: PrefixHash(0),
        input_tokens: 10,
        max_tokens: 10,
        data_centre: "a".into(),
        waited: Duration::ZERO,
    }
}

#[gtest]
fn freed_slot_serves_the_next_call() {
    let set = serde_json::from_str(SET).expect("test set parses");
    let catalog = Arc::new(Catalog::build(&set, Generation(1)).expect("resolves"));
    let mut scheduler = Scheduler::new(catalog, Policy::Full, 1);
    let mut out = Vec::new();
    scheduler.handle(Time::ZERO, Input::Submit(request(1)), &mut out);
    scheduler.handle(Time::ZERO, Input::Submit(request(2)), &mut out);
    expect_that!(out.len(), eq(1));
    out.clear();
    let ended = Ended {
        call: request(1).call,
        attempt: Attempt(0),
        end: End::Answered { tokens: 3 },
    };
    scheduler.handle(Time::from_millis(10), Input::Ended(ended), &mut out);
    assert_that!(out.len(), eq(1));
    expect_that!(
        matches!(&out[0], Output::Dispatch(d) if d.call == request(2).call),
        eq(true)
    );
}
