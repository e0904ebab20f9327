use super::{run::is_among, stats::CallStats};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_client::{CallReport, Outcome};
use poplarswitch_wire::ErrorCode;

fn report(outcome: Outcome, millis: u64) -> CallReport {
    CallReport {
        outcome,
        first_output: Some(Duration::from_millis(millis / 2)),
        total: Duration::from_millis(millis),
        longest_pause: None,
        text_events: 2,
        text: String::new(),
        retry_after: None,
    }
}

#[gtest]
fn outcomes_are_counted_separately_and_merged() {
    let mut stats = CallStats::default();
    let outcomes = [
        Outcome::Answered,
        Outcome::NotRun(ErrorCode::Overload),
        Outcome::NotRun(ErrorCode::Overload),
        Outcome::Failed(ErrorCode::Failed),
        Outcome::InDoubt(ErrorCode::InDoubt),
        Outcome::Unreached,
        Outcome::Lost,
    ];
    for outcome in outcomes {
        stats.add(&report(outcome, 100), Duration::ZERO);
    }
    let mut sum = CallStats::default();
    sum.merge(&stats);
    sum.merge(&stats);
    let summary = sum.report(Duration::from_secs(1), 5);
    let json = serde_json::to_value(&summary).expect("JSON");
    expect_that!(json["answered"].as_u64(), some(eq(2)));
    expect_that!(json["not_run"]["overload"].as_u64(), some(eq(4)));
    expect_that!(json["failed"]["failed"].as_u64(), some(eq(2)));
    expect_that!(json["in_doubt"]["in_doubt"].as_u64(), some(eq(2)));
    expect_that!(json["lost"].as_u64(), some(eq(2)));
    expect_that!(json["not_started"].as_u64(), some(eq(5)));
    expect_that!(
        summary.to_string(),
        contains_substring("not run 4; the call could not be served in time: 4")
    );
}

#[gtest]
fn latency_includes_the_delay_of_the_start() {
    let mut stats = CallStats::default();
    stats.add(&report(Outcome::Answered, 100), Duration::from_millis(900));
    let json = serde_json::to_value(stats.report(Duration::from_secs(1), 0)).expect("JSON");
    expect_that!(json["total_ms"]["p50"].as_f64(), some(near(1_000.0, 2.0)));
    expect_that!(json["first_ms"]["p50"].as_f64(), some(near(950.0, 2.0)));
}

#[gtest]
fn broken_streams_and_held_calls_are_reported() {
    let mut stats = CallStats::default();
    let broken = CallReport {
        longest_pause: Some(Duration::from_millis(700)),
        ..report(Outcome::Lost, 1_000)
    };
    stats.add(&broken, Duration::ZERO);
    stats.add(&report(Outcome::Answered, 100), Duration::ZERO);
    for code in [
        ErrorCode::RequestHeld,
        ErrorCode::PromptHeld,
        ErrorCode::Overload,
    ] {
        let refused = CallReport {
            text_events: 0,
            ..report(Outcome::NotRun(code), 10)
        };
        stats.add(&refused, Duration::ZERO);
    }
    let mut sum = CallStats::default();
    sum.merge(&stats);
    let summary = sum.report(Duration::from_secs(1), 0);
    let json = serde_json::to_value(&summary).expect("JSON");
    expect_that!(json["broken_off"].as_u64(), some(eq(1)));
    expect_that!(
        json["broken_pause_ms"]["max"].as_f64(),
        some(near(700.0, 2.0))
    );
    expect_that!(json["held"].as_u64(), some(eq(2)));
    expect_that!(
        summary.to_string(),
        contains_substring("refused for a held request or section 2; streams broken off 1")
    );
}

#[gtest]
fn shares_of_calls_are_spread_evenly() {
    for percent in [0, 1, 30, 100] {
        let count = |from: u64| (from..from + 100).filter(|n| is_among(*n, percent)).count();
        expect_that!(count(0), eq(usize::from(percent)));
        expect_that!(count(250), eq(usize::from(percent)));
    }
}
