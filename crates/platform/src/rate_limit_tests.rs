use crate::{CallKind, RateLimiter, Rates};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::Time;

const RATES: Rates = Rates {
    writes: 2,
    reads: 10,
};

#[gtest]
fn a_second_holds_no_more_calls_than_the_rate() {
    let mut limiter = RateLimiter::new(RATES);
    let calls = (0..100)
        .filter(|_| limiter.try_take(Time::ZERO, CallKind::Read).is_ok())
        .count();
    expect_that!(calls, eq(10));
}

#[gtest]
fn a_refused_call_is_told_when_the_next_fits() {
    let mut limiter = RateLimiter::new(RATES);
    while limiter.try_take(Time::ZERO, CallKind::Write).is_ok() {}
    let wait = limiter
        .try_take(Time::ZERO, CallKind::Write)
        .expect_err("bucket is empty");
    expect_that!(wait, eq(Duration::from_millis(500)));
    expect_that!(
        limiter.try_take(Time::ZERO + wait, CallKind::Write),
        ok(eq(()))
    );
}

#[gtest]
fn a_smaller_share_holds_at_once() {
    let mut limiter = RateLimiter::new(RATES);
    limiter.set_rates(Rates {
        writes: 1,
        reads: 3,
    });
    let calls = (0..100)
        .filter(|_| limiter.try_take(Time::ZERO, CallKind::Read).is_ok())
        .count();
    expect_that!(calls, eq(3));
}

#[gtest]
fn the_shares_of_a_fleet_stay_within_its_rates() {
    let fleet = Rates {
        writes: 400,
        reads: 2_000,
    };
    let share = Rates::share(fleet, 340);
    expect_that!(share.writes * 340, le(fleet.writes));
    expect_that!(share.reads * 340, le(fleet.reads));
}
