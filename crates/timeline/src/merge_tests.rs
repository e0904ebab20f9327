use crate::{EventKind, Ring, fixture, merge};
use googletest::prelude::*;
use poplarswitch_entity::Incarnation;

#[gtest]
fn events_of_a_forwarded_call_are_in_causal_order() {
    let timeline = merge(fixture::forwarded_call());
    let of_call = timeline.events.iter().filter(|event| event.call.is_some());
    let vms: Vec<&str> = of_call.map(|event| event.vm.as_str()).collect();
    expect_that!(vms, eq(&["a", "a", "b", "b", "a", "a"]));
    expect_that!(timeline.gaps, is_empty());
}

#[gtest]
fn merge_does_not_depend_on_the_order_of_recordings() {
    let [a, b] = fixture::forwarded_call();
    expect_that!(merge([a.clone(), b.clone()]), eq(&merge([b, a])));
}

#[gtest]
fn recording_fetched_twice_counts_once() {
    let [a, b] = fixture::forwarded_call();
    let once = merge([a.clone(), b.clone()]);
    expect_that!(merge([a.clone(), b, a]), eq(&once));
}

#[gtest]
fn dropped_events_are_reported_as_one_gap() {
    let mut ring = Ring::new("a".into(), Incarnation(1), 1);
    ring.record(1, None, EventKind::PlatformDown);
    ring.record(2, None, EventKind::PlatformUp);
    let timeline = merge([ring.recording(), ring.recording()]);
    expect_that!(timeline.gaps.len(), eq(1));
    expect_that!(timeline.gaps[0].lost, eq(1));
}
