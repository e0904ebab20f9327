use crate::Freshness;
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::Time;

const BOUND: Duration = Duration::from_secs(5);

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[gtest]
fn nothing_holds_before_the_first_proof() {
    expect_that!(Freshness::new(Some(BOUND)).is_usable(at(0)), eq(false));
    expect_that!(Freshness::new(None).is_usable(at(0)), eq(false));
}

#[gtest]
fn a_revoked_key_is_useless_within_the_bound_on_a_vm_that_is_cut_off() {
    let mut freshness = Freshness::new(Some(BOUND));
    freshness.confirm(at(1_000));
    // A key may have been revoked right after the proof was sent for.
    expect_that!(freshness.is_usable(at(5_400)), eq(true));
    expect_that!(freshness.is_usable(at(6_000)), eq(false));
}

#[gtest]
fn a_late_reply_proves_only_the_moment_at_which_it_was_asked_for() {
    let mut freshness = Freshness::new(Some(BOUND));
    freshness.confirm(at(4_000));
    expect_that!(freshness.confirm(at(2_000)), eq(false));
    expect_that!(freshness.age(at(5_000)), some(eq(Duration::from_secs(1))));
}

#[gtest]
fn without_a_bound_a_configuration_holds_for_ever() {
    let mut freshness = Freshness::new(None);
    freshness.confirm(at(0));
    expect_that!(freshness.is_usable(at(3_600_000)), eq(true));
}
