use crate::{Health, Outcome, Phase};
use googletest::prelude::*;
use poplarswitch_entity::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Records a call that starts and ends at a time.
fn record(health: &mut Health, millis: u64, outcome: Outcome) -> bool {
    health.record(at(millis), at(millis), outcome)
}

#[gtest]
fn one_lost_call_is_no_crash_but_two_in_a_row_are() {
    let mut health = Health::default();
    record(&mut health, 0, Outcome::Lost);
    record(&mut health, 1, Outcome::Good);
    record(&mut health, 2, Outcome::Lost);
    expect_that!(health.is_up(), eq(true));
    expect_that!(record(&mut health, 3, Outcome::Lost), eq(true));
    expect_that!(health.phase(), eq(Phase::Out(at(253))));
}

#[gtest]
fn a_refused_connection_puts_out_at_once_and_probes_bring_back() {
    let mut health = Health::default();
    record(&mut health, 0, Outcome::Unreached);
    expect_that!(health.wake(at(249)), eq(false));
    expect_that!(health.wake(at(250)), eq(true));
    record(&mut health, 260, Outcome::Good);
    expect_that!(health.phase(), eq(Phase::Probing));
    record(&mut health, 270, Outcome::Good);
    expect_that!(health.is_up(), eq(true));
}

#[gtest]
fn each_time_out_is_twice_as_long_up_to_a_bound() {
    let mut health = Health::default();
    let mut now = 0;
    let mut lengths = Vec::new();
    for _ in 0..9 {
        record(&mut health, now, Outcome::Unreached);
        let Phase::Out(until) = health.phase() else {
            panic!("is out");
        };
        lengths.push(until.since(at(now)).as_millis());
        now = until.0 / 1_000;
        health.wake(at(now));
    }
    expect_that!(
        lengths,
        eq(&[250, 500, 1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000])
    );
}

#[gtest]
fn faults_of_calls_from_before_the_time_out_are_not_counted_again() {
    let mut health = Health::default();
    record(&mut health, 100, Outcome::Unreached);
    health.wake(at(350));
    expect_that!(health.record(at(360), at(90), Outcome::Lost), eq(false));
    expect_that!(health.phase(), eq(Phase::Probing));
}

#[gtest]
fn an_endpoint_that_declines_rests_and_is_used_as_before() {
    let mut health = Health::default();
    record(&mut health, 0, Outcome::Declined);
    expect_that!(health.phase(), eq(Phase::Out(at(50))));
    health.wake(at(50));
    expect_that!(health.is_up(), eq(true));
    record(&mut health, 60, Outcome::Declined);
    expect_that!(health.phase(), eq(Phase::Out(at(160))));
    health.wake(at(160));
    record(&mut health, 170, Outcome::Good);
    record(&mut health, 180, Outcome::Declined);
    expect_that!(health.phase(), eq(Phase::Out(at(230))));
}

#[gtest]
fn a_slow_probe_puts_a_straggler_out_for_longer() {
    let mut health = Health::default();
    health.eject(at(0));
    expect_that!(health.is_ejected(), eq(true));
    health.wake(at(10_000));
    record(&mut health, 10_001, Outcome::Slow);
    expect_that!(health.phase(), eq(Phase::Out(at(30_001))));
    health.wake(at(30_001));
    record(&mut health, 30_002, Outcome::Good);
    record(&mut health, 30_003, Outcome::Good);
    expect_that!(health.is_ejected(), eq(false));
}
