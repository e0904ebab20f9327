use crate::{EventKind, Ring, Stamp};
use googletest::prelude::*;
use poplarswitch_entity::Incarnation;

fn filled(capacity: usize, events: u64) -> Ring {
    let mut ring = Ring::new("a".into(), Incarnation(1), capacity);
    for wall in 0..events {
        ring.record(wall, None, EventKind::PlatformUp);
    }
    ring
}

#[gtest]
fn an_overflow_drops_the_oldest_and_counts_it() {
    let ring = filled(3, 5);
    expect_that!(ring.len(), eq(3));
    let recording = ring.recording();
    expect_that!(recording.lost, eq(2));
    expect_that!(recording.events[0].at.wall_ms, eq(2));
}

#[gtest]
fn pages_follow_one_another_without_gap_or_repeat() {
    let ring = filled(10, 10);
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
fn a_ring_without_room_keeps_the_latest_event() {
    expect_that!(filled(0, 2).len(), eq(1));
}
