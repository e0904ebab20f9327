use crate::{EventKind, Ring, fixture, merge};
use googletest::prelude::*;
use poplarswitch_entity::Incarnation;

#[gtest]
fn a_call_across_vms_reads_in_causal_order() {
    let view = merge(fixture::crossing());
    let of_call = view.events.iter().filter(|event| event.call.is_some());
    let vms: Vec<&str> = of_call.map(|event| event.vm.as_str()).collect();
    expect_that!(vms, eq(&["a", "a", "b", "b", "a", "a"]));
    expect_that!(view.gaps, is_empty());
}

#[gtest]
fn the_order_of_the_recordings_does_not_matter() {
    let [a, b] = fixture::crossing();
    expect_that!(merge([a.clone(), b.clone()]), eq(&merge([b, a])));
}

#[gtest]
fn a_recording_fetched_twice_counts_once() {
    let [a, b] = fixture::crossing();
    let once = merge([a.clone(), b.clone()]);
    expect_that!(merge([a.clone(), b, a]), eq(&once));
}

#[gtest]
fn dropped_events_are_named() {
    let mut ring = Ring::new("a".into(), Incarnation(1), 1);
    ring.record(1, None, EventKind::PlatformDown);
    ring.record(2, None, EventKind::PlatformUp);
    let view = merge([ring.recording(), ring.recording()]);
    expect_that!(view.gaps.len(), eq(1));
    expect_that!(view.gaps[0].lost, eq(1));
}
