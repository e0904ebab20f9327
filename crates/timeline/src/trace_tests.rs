use crate::{Trace, fixture, merge};
use googletest::prelude::*;
use serde_json::Value;

fn trace_events() -> Vec<Value> {
    let trace = Trace::new(&merge(fixture::forwarded_call()));
    let json = serde_json::to_value(&trace).expect("trace serialises");
    json["traceEvents"]
        .as_array()
        .expect("a JSON array")
        .clone()
}

fn events_of_phase(phase: &str) -> Vec<Value> {
    let mut found = trace_events();
    found.retain(|event| event["ph"] == phase);
    found
}

#[gtest]
fn each_process_has_one_name_event() {
    expect_that!(events_of_phase("M").len(), eq(2));
}

#[gtest]
fn call_is_one_span_in_each_process_that_handled_it() {
    let (begins, ends) = (events_of_phase("b"), events_of_phase("e"));
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
fn events_without_a_call_are_instants_of_their_process() {
    let instants = events_of_phase("i");
    expect_that!(instants.len(), eq(1));
    expect_that!(instants[0]["name"], eq("platform down"));
}
