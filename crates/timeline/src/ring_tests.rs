use crate::{EventKind, Ring, Stamp};
use googletest::prelude::*;
use poplarswitch_entity::Incarnation;

fn ring_with_events(capacity: usize, events: u64) -> Ring {
    let mut ring = Ring::new("a".into(), Incarnation(1), capacity);
    for wall in 0..events {
        ring.record(wall, None, EventKind::PlatformUp);
    }
    ring
}

#[gtest]
fn overflow_drops_the_oldest_events_and_counts_them() {
    let ring = ring_with_events(3, 5);
    expect_that!(ring.len(), eq(3));
    let recording = ring.recording();
    expect_that!(recording.lost, eq(2));
    expect_that!(recording.events[0].at.wall_ms, eq(2));
}

#[gtest]
fn pages_cover_all_events_without_gap_or_repeat() {
    let ring = ring_with_events(10, 10);
    let mut stamp = Stamp::START;
    let mut seen = Vec::new();
    loop {
        let page = ring.after(stamp, 4);
        let Some(last) = page.events.last() else {
            break;
        };
        stamp = last.at;
        seen.extend(page.events);
    }
    expect_that!(seen, eq(&ring.recording().events));
}

#[gtest]
fn ring_of_capacity_zero_keeps_the_latest_event() {
    expect_that!(ring_with_events(0, 2).len(), eq(1));
}
