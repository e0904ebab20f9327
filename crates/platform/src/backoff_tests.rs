use crate::Backoff;
use core::time::Duration;
use googletest::prelude::*;

#[gtest]
fn waits_grow_up_to_a_bound_until_a_reset() {
    let mut backoff = Backoff::new(3);
    let waits: Vec<Duration> = (0..12).map(|_| backoff.next_wait()).collect();
    expect_that!(waits[0], le(Duration::from_millis(100)));
    expect_that!(waits[11], ge(Duration::from_secs(5)));
    expect_that!(waits[11], le(Duration::from_secs(10)));
    backoff.reset();
    expect_that!(backoff.next_wait(), le(Duration::from_millis(100)));
}

#[gtest]
fn different_seeds_give_different_waits() {
    expect_that!(
        Backoff::new(1).next_wait(),
        not(eq(Backoff::new(2).next_wait()))
    );
}
