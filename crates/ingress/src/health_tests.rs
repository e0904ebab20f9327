use crate::Health;
use googletest::prelude::*;
use poplarswitch_entity::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[gtest]
fn repeated_ejections_last_longer() {
    let mut health = Health::default();
    health.record_unreachable(at(0));
    expect_that!(health.is_ejected(at(400)), eq(true));
    expect_that!(health.is_ejected(at(600)), eq(false));
    health.record_unreachable(at(600));
    expect_that!(health.is_ejected(at(1_500)), eq(true));
}

#[gtest]
fn failures_of_calls_in_flight_do_not_prolong_an_ejection() {
    let mut health = Health::default();
    for _ in 0..20 {
        health.record_unreachable(at(0));
    }
    expect_that!(health.is_ejected(at(600)), eq(false));
}

#[gtest]
fn low_failure_rate_does_not_eject_an_endpoint() {
    let mut health = Health::default();
    for call in 0..1_000_u64 {
        if call % 7 == 0 {
            assert_that!(health.record_failure(at(call)), eq(false));
        } else {
            health.record_success();
        }
    }
}

#[gtest]
fn endpoint_that_fails_most_calls_is_ejected() {
    let mut health = Health::default();
    let ejected = (0..10).any(|call| health.record_failure(at(call)));
    expect_that!(ejected, eq(true));
}
