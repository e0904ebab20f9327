use crate::Freshness;
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::Time;

const BOUND: Duration = Duration::from_secs(5);

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[gtest]
fn configuration_is_unusable_before_the_first_confirmation() {
    expect_that!(Freshness::new(Some(BOUND)).is_usable(at(0)), eq(false));
    expect_that!(Freshness::new(None).is_usable(at(0)), eq(false));
}

#[gtest]
fn configuration_expires_within_the_revocation_bound() {
    let mut freshness = Freshness::new(Some(BOUND));
    freshness.confirm(at(1_000));
    // A key may have been revoked right after the confirming request was sent.
    expect_that!(freshness.is_usable(at(5_400)), eq(true));
    expect_that!(freshness.is_usable(at(6_000)), eq(false));
}

#[gtest]
fn delayed_reply_does_not_advance_the_confirmation() {
    let mut freshness = Freshness::new(Some(BOUND));
    freshness.confirm(at(4_000));
    expect_that!(freshness.confirm(at(2_000)), eq(false));
    expect_that!(freshness.age(at(5_000)), some(eq(Duration::from_secs(1))));
}

#[gtest]
fn configuration_never_expires_without_a_bound() {
    let mut freshness = Freshness::new(None);
    freshness.confirm(at(0));
    expect_that!(freshness.is_usable(at(3_600_000)), eq(true));
}
