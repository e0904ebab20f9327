use crate::{Health, Outcome, Phase};
use googletest::prelude::*;
use poplarswitch_entity::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Records a call that starts and ends at the same time.
fn record(health: &mut Health, millis: u64, outcome: Outcome) -> bool {
    health.record(at(millis), at(millis), outcome)
}

#[gtest]
fn two_consecutive_lost_calls_suspend_the_endpoint() {
    let mut health = Health::default();
    record(&mut health, 0, Outcome::Lost);
    record(&mut health, 1, Outcome::Good);
    record(&mut health, 2, Outcome::Lost);
    expect_that!(health.is_up(), eq(true));
    expect_that!(record(&mut health, 3, Outcome::Lost), eq(true));
    expect_that!(health.phase(), eq(Phase::Suspended(at(253))));
}

#[gtest]
fn refused_connection_suspends_at_once_and_two_good_probes_end_probation() {
    let mut health = Health::default();
    record(&mut health, 0, Outcome::Unreached);
    expect_that!(health.end_suspension(at(249)), eq(false));
    expect_that!(health.end_suspension(at(250)), eq(true));
    record(&mut health, 260, Outcome::Good);
    expect_that!(health.phase(), eq(Phase::Probing));
    record(&mut health, 270, Outcome::Good);
    expect_that!(health.is_up(), eq(true));
}

#[gtest]
fn suspension_doubles_up_to_the_limit() {
    let mut health = Health::default();
    let mut now = 0;
    let mut lengths = Vec::new();
    for _ in 0..9 {
        record(&mut health, now, Outcome::Unreached);
        let Phase::Suspended(until) = health.phase() else {
            panic!("endpoint is not suspended");
        };
        lengths.push(until.since(at(now)).as_millis());
        now = until.0 / 1_000;
        health.end_suspension(at(now));
    }
    expect_that!(
        lengths,
        eq(&[250, 500, 1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000])
    );
}

#[gtest]
fn outcome_of_call_started_before_the_suspension_is_ignored() {
    let mut health = Health::default();
    record(&mut health, 100, Outcome::Unreached);
    health.end_suspension(at(350));
    expect_that!(health.record(at(360), at(90), Outcome::Lost), eq(false));
    expect_that!(health.phase(), eq(Phase::Probing));
}

#[gtest]
fn declined_call_suspends_briefly_without_probation() {
    let mut health = Health::default();
    record(&mut health, 0, Outcome::Declined);
    expect_that!(health.phase(), eq(Phase::Suspended(at(50))));
    health.end_suspension(at(50));
    expect_that!(health.is_up(), eq(true));
    record(&mut health, 60, Outcome::Declined);
    expect_that!(health.phase(), eq(Phase::Suspended(at(160))));
    health.end_suspension(at(160));
    record(&mut health, 170, Outcome::Good);
    record(&mut health, 180, Outcome::Declined);
    expect_that!(health.phase(), eq(Phase::Suspended(at(230))));
}

#[gtest]
fn slow_probe_suspends_a_slow_endpoint_for_longer() {
    let mut health = Health::default();
    health.eject(at(0));
    expect_that!(health.is_ejected(), eq(true));
    health.end_suspension(at(10_000));
    record(&mut health, 10_001, Outcome::Slow);
    expect_that!(health.phase(), eq(Phase::Suspended(at(30_001))));
    health.end_suspension(at(30_001));
    record(&mut health, 30_002, Outcome::Good);
    record(&mut health, 30_003, Outcome::Good);
    expect_that!(health.is_ejected(), eq(false));
}
