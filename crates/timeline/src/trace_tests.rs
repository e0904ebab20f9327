use crate::{Trace, fixture, merge};
use googletest::prelude::*;
use serde_json::Value;

fn entries() -> Vec<Value> {
    let trace = Trace::new(&merge(fixture::crossing()));
    let json = serde_json::to_value(&trace).expect("trace serializes");
    json["traceEvents"].as_array().expect("a list").clone()
}

fn of_phase(phase: &str) -> Vec<Value> {
    let mut found = entries();
    found.retain(|entry| entry["ph"] == phase);
    found
}

#[gtest]
fn each_process_is_named_once() {
    expect_that!(of_phase("M").len(), eq(2));
}

#[gtest]
fn a_call_is_one_span_in_each_process_it_crossed() {
    let (begins, ends) = (of_phase("b"), of_phase("e"));
    expect_that!(begins.len(), eq(2));
    expect_that!(ends.len(), eq(2));
    for begin in &begins {
        let end = ends
            .iter()
            .find(|end| end["pid"] == begin["pid"])
            .expect("the span ends");
        expect_that!(end["id2"], eq(&begin["id2"]));
        expect_that!(end["ts"].as_u64(), ge(begin["ts"].as_u64()));
    }
}

#[gtest]
fn other_events_are_instants_of_their_process() {
    let instants = of_phase("i");
    expect_that!(instants.len(), eq(1));
    expect_that!(instants[0]["name"], eq("platform down"));
}
