use crate::{Shutdown, ShutdownStage};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::Time;

const GRACE: Duration = Duration::from_secs(8);
const LINGER: Duration = Duration::from_millis(4_500);

fn leaving() -> Shutdown {
    let mut leaving = Shutdown::new(GRACE, LINGER);
    leaving.start(Time::from_millis(1_000));
    leaving
}

#[gtest]
fn a_vm_serves_until_it_is_told_to_leave() {
    let stage = Shutdown::new(GRACE, LINGER).stage(Time::from_millis(60_000), 0);
    expect_that!(stage, eq(ShutdownStage::Serving));
}

#[gtest]
fn callers_with_an_old_address_are_served_before_long_calls_are_refused() {
    let leaving = leaving();
    expect_that!(
        leaving.stage(Time::from_millis(1_100), 0),
        eq(ShutdownStage::Lingering)
    );
    expect_that!(
        leaving.stage(Time::from_millis(4_500), 3),
        eq(ShutdownStage::ShortOnly)
    );
    expect_that!(
        leaving.stage(Time::from_millis(7_500), 3),
        eq(ShutdownStage::Closed)
    );
}

#[gtest]
fn it_ends_when_it_is_idle_and_no_caller_can_hold_its_address() {
    let leaving = leaving();
    expect_that!(
        leaving.stage(Time::from_millis(5_400), 0),
        eq(ShutdownStage::ShortOnly)
    );
    expect_that!(
        leaving.stage(Time::from_millis(5_600), 0),
        eq(ShutdownStage::Finished)
    );
}

#[gtest]
fn it_ends_before_it_is_killed() {
    expect_that!(
        leaving().stage(Time::from_millis(8_750), 9),
        eq(ShutdownStage::Finished)
    );
}

#[gtest]
fn a_second_signal_gives_no_more_time() {
    let mut leaving = leaving();
    leaving.start(Time::from_millis(6_000));
    expect_that!(
        leaving.stage(Time::from_millis(8_750), 9),
        eq(ShutdownStage::Finished)
    );
}
