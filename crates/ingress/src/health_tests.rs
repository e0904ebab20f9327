use crate::Health;
use googletest::prelude::*;
use poplarswitch_entity::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[gtest]
fn an_endpoint_that_cant_be_reached_rests_longer_each_time() {
    let mut health = Health::default();
    health.record_unreachable(at(0));
    expect_that!(health.is_ejected(at(400)), eq(true));
    expect_that!(health.is_ejected(at(600)), eq(false));
    health.record_unreachable(at(600));
    expect_that!(health.is_ejected(at(1_500)), eq(true));
}

#[gtest]
fn failures_of_calls_that_were_under_way_do_not_prolong_a_rest() {
    let mut health = Health::default();
    for _ in 0..20 {
        health.record_unreachable(at(0));
    }
    expect_that!(health.is_ejected(at(600)), eq(false));
}

#[gtest]
fn the_usual_failures_of_a_service_do_not_rest_its_endpoints() {
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
fn an_endpoint_that_fails_most_of_its_calls_rests() {
    let mut health = Health::default();
    let rested = (0..10).any(|call| health.record_failure(at(call)));
    expect_that!(rested, eq(true));
}
