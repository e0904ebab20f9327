use crate::{ExpectedTimes, Shutdown, ShutdownStage};
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

/// Calls that came late in the grace period ran and got a failure at its end.
#[gtest]
fn call_is_accepted_only_if_it_has_time_to_end() {
    let (long, short) = (Duration::from_secs(15), Duration::from_millis(300));
    let run_time = Some(Duration::from_secs(2));
    let times = |longest, limit| ExpectedTimes {
        arrived: Time::from_millis(1_000),
        may_be_cut: false,
        longest,
        objective: None,
        limit,
    };
    let has_time = |millis: u64, longest, limit| {
        let now = Time::from_millis(1_000 + millis);
        shutdown().has_time(now, times(longest, limit))
    };
    // Answers have to be ready 600 ms before the end of the grace period.
    expect_that!(has_time(4_900, run_time, long), eq(true));
    expect_that!(has_time(4_901, run_time, long), eq(false));
    expect_that!(has_time(7_100, run_time, short), eq(true));
    expect_that!(has_time(7_101, run_time, short), eq(false));
    expect_that!(has_time(0, None, long), eq(false));
    expect_that!(has_time(7_100, None, short), eq(true));
    let serving = Shutdown::new(GRACE, LINGER);
    expect_that!(
        serving.has_time(Time::ZERO, times(run_time, long)),
        eq(true)
    );
    let unknown = ExpectedTimes {
        objective: Some(Duration::from_millis(500)),
        ..times(None, long)
    };
    let begins = |millis: u64| shutdown().has_time(Time::from_millis(1_000 + millis), unknown);
    expect_that!(begins(5_400), eq(true));
    expect_that!(begins(5_401), eq(false));
}

/// Calls of unknown length were accepted late in the grace period, since shorter ones had been seen, and
/// cut at its end.
#[gtest]
fn call_that_arrives_late_is_accepted_only_if_its_limit_ends_in_time() {
    let may_begin = |arrived: u64, may_be_cut, limit| {
        let arrived = Time::from_millis(1_000 + arrived);
        let times = ExpectedTimes {
            arrived,
            may_be_cut,
            longest: Some(Duration::from_millis(10)),
            objective: Some(Duration::from_millis(10)),
            limit,
        };
        shutdown().has_time(arrived.max(Time::from_millis(4_200)), times)
    };
    let limit = Duration::from_millis(4_200);
    for may_be_cut in [false, true] {
        expect_that!(may_begin(2_799, may_be_cut, Duration::MAX), eq(true));
        expect_that!(may_begin(2_800, may_be_cut, Duration::MAX), eq(false));
        expect_that!(may_begin(3_200, may_be_cut, limit), eq(true));
        expect_that!(may_begin(3_201, may_be_cut, limit), eq(false));
    }
}
