use crate::{CallKind, RateLimiter, Rates};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::Time;

const RATES: Rates = Rates {
    writes: 2,
    reads: 10,
};

#[gtest]
fn full_bucket_allows_the_calls_of_one_second() {
    let mut limiter = RateLimiter::new(RATES);
    let calls = (0..100)
        .filter(|_| limiter.try_take(Time::ZERO, CallKind::Read).is_ok())
        .count();
    expect_that!(calls, eq(10));
}

#[gtest]
fn refused_call_gets_the_time_until_the_next_token() {
    let mut limiter = RateLimiter::new(RATES);
    while limiter.try_take(Time::ZERO, CallKind::Write).is_ok() {}
    let wait = limiter
        .try_take(Time::ZERO, CallKind::Write)
        .expect_err("the bucket is empty");
    expect_that!(wait, eq(Duration::from_millis(500)));
    expect_that!(
        limiter.try_take(Time::ZERO + wait, CallKind::Write),
        ok(eq(()))
    );
}

#[gtest]
fn lower_rate_takes_effect_at_once() {
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
fn shares_of_all_vms_stay_within_the_total_rates() {
    let total = Rates {
        writes: 400,
        reads: 2_000,
    };
    let share = Rates::share(total, 340);
    expect_that!(share.writes * 340, le(total.writes));
    expect_that!(share.reads * 340, le(total.reads));
}
