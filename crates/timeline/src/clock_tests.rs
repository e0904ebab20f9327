use crate::{Clock, MAX_AHEAD_MS, Stamp};
use googletest::prelude::*;

#[gtest]
fn stamps_increase_when_the_wall_clock_steps_back() {
    let mut clock = Clock::new();
    let first = clock.tick(1_000);
    let second = clock.tick(400);
    let third = clock.tick(400);
    expect_that!(second, gt(first));
    expect_that!(third, gt(second));
}

#[gtest]
fn event_after_a_received_stamp_is_later_despite_a_slow_wall_clock() {
    let mut sender = Clock::new();
    let cause = sender.tick(5_000);
    let mut receiver = Clock::new();
    receiver.observe(2_000, cause);
    expect_that!(receiver.tick(2_000), gt(cause));
}

#[gtest]
fn stamp_too_far_ahead_is_ignored_and_counted() {
    let mut clock = Clock::new();
    let too_far = Stamp {
        wall_ms: 1_000 + MAX_AHEAD_MS + 1,
        count: 0,
    };
    clock.observe(1_000, too_far);
    expect_that!(clock.tick(1_000).wall_ms, eq(1_000));
    expect_that!(clock.ignored(), eq(1));
}

#[gtest]
fn full_counter_carries_into_the_milliseconds() {
    let stamp = Stamp {
        wall_ms: 7,
        count: u32::MAX,
    };
    expect_that!(stamp.next(), gt(stamp));
}
