use crate::{Admission, AdmissionControl};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::Time;

const LEFT: Duration = Duration::from_secs(12);

#[gtest]
fn a_vm_holds_as_many_calls_as_its_memory_carries() {
    let mut gate = AdmissionControl::new(160 << 20);
    expect_that!(
        gate.admit(Time::ZERO, 1_000, "a", LEFT),
        eq(Admission::Admitted)
    );
    expect_that!(
        gate.admit(Time::ZERO, 2_000, "a", LEFT),
        matches_pattern!(Admission::Refused { .. })
    );
}

/// A crowd that is refused at once must not return at once.
#[gtest]
fn a_refused_crowd_returns_spread_over_time() {
    let mut gate = AdmissionControl::new(0);
    let mut waits: Vec<Duration> = (0..200)
        .map(|call: u32| gate.record_refusal(Time::ZERO, &call.to_string(), LEFT))
        .collect();
    waits.sort_unstable();
    expect_that!(waits[0], ge(Duration::from_millis(100)));
    expect_that!(
        waits[150].saturating_sub(waits[50]),
        gt(Duration::from_secs(1))
    );
}

#[gtest]
fn a_single_refusal_asks_for_a_short_wait() {
    let mut gate = AdmissionControl::new(0);
    expect_that!(
        gate.record_refusal(Time::ZERO, "x", LEFT),
        lt(Duration::from_millis(600))
    );
}

/// A caller with little time left must be able to come back within it.
#[gtest]
fn a_wait_leaves_the_caller_time() {
    let mut gate = AdmissionControl::new(0);
    let left = Duration::from_millis(800);
    let most = (0..100)
        .map(|call: u32| gate.record_refusal(Time::ZERO, &call.to_string(), left))
        .max();
    expect_that!(most, some(le(left / 4)));
}
