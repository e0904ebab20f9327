use crate::{Shutdown, ShutdownStage};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::Time;

const GRACE: Duration = Duration::from_secs(8);
const LINGER: Duration = Duration::from_millis(4_500);

fn shutdown() -> Shutdown {
    let mut shutdown = Shutdown::new(GRACE, LINGER);
    shutdown.start(Time::from_millis(1_000));
    shutdown
}

#[gtest]
fn vm_serves_until_the_shutdown_starts() {
    let stage = Shutdown::new(GRACE, LINGER).stage(Time::from_millis(60_000), 0);
    expect_that!(stage, eq(ShutdownStage::Serving));
}

#[gtest]
fn stages_follow_each_other_until_the_vm_is_closed() {
    let shutdown = shutdown();
    expect_that!(
        shutdown.stage(Time::from_millis(1_100), 0),
        eq(ShutdownStage::Lingering)
    );
    expect_that!(
        shutdown.stage(Time::from_millis(4_500), 3),
        eq(ShutdownStage::ShortOnly)
    );
    expect_that!(
        shutdown.stage(Time::from_millis(7_500), 3),
        eq(ShutdownStage::Closed)
    );
}

#[gtest]
fn idle_vm_exits_after_the_linger_time() {
    let shutdown = shutdown();
    expect_that!(
        shutdown.stage(Time::from_millis(5_400), 0),
        eq(ShutdownStage::ShortOnly)
    );
    expect_that!(
        shutdown.stage(Time::from_millis(5_600), 0),
        eq(ShutdownStage::Finished)
    );
}

#[gtest]
fn vm_exits_before_the_grace_period_ends() {
    expect_that!(
        shutdown().stage(Time::from_millis(8_750), 9),
        eq(ShutdownStage::Finished)
    );
}

#[gtest]
fn second_signal_does_not_extend_the_grace_period() {
    let mut shutdown = shutdown();
    shutdown.start(Time::from_millis(6_000));
    expect_that!(
        shutdown.stage(Time::from_millis(8_750), 9),
        eq(ShutdownStage::Finished)
    );
}
