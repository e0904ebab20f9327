use crate::RunTimes;
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::Time;

#[gtest]
fn longest_time_of_the_last_minute_or_two_counts() {
    let mut times = RunTimes::default();
    let at = |secs: u64| Time::from_millis(600_000 + secs * 1_000);
    let (short, long) = (Duration::from_millis(20), Duration::from_secs(3));
    expect_that!(times.longest(at(0), "book"), none());
    times.record(at(0), "book", long);
    times.record(at(1), "book", short);
    times.record(at(1), "seats", short);
    expect_that!(times.longest(at(59), "book"), some(eq(long)));
    times.record(at(61), "book", short);
    expect_that!(times.longest(at(119), "book"), some(eq(long)));
    expect_that!(times.longest(at(121), "book"), some(eq(short)));
    expect_that!(times.longest(at(181), "book"), none());
    expect_that!(times.longest(at(1), "seats"), some(eq(short)));
}

/// Names of routes that were removed must not take memory for ever.
#[gtest]
fn number_of_routes_is_limited() {
    let mut times = RunTimes::default();
    let now = Time::from_millis(600_000);
    for n in 0..10_001 {
        times.record(now, &format!("route-{n}"), Duration::from_millis(20));
    }
    expect_that!(times.longest(now, "route-9999"), some(anything()));
    expect_that!(times.longest(now, "route-10000"), none());
    let later = now + Duration::from_mins(2);
    times.record(later, "route-10000", Duration::from_millis(20));
    expect_that!(times.longest(later, "route-10000"), some(anything()));
}
