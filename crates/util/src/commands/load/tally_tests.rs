use super::tally::Tally;
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_client::{CallReport, Outcome};
use poplarswitch_wire::ErrorCode;

fn report(outcome: Outcome, millis: u64) -> CallReport {
    CallReport {
        outcome,
        first_output: Some(Duration::from_millis(millis / 2)),
        total: Duration::from_millis(millis),
        text_events: 2,
        text: String::new(),
        retry_after: None,
    }
}

#[gtest]
fn outcomes_are_kept_apart_and_add_up() {
    let mut tally = Tally::default();
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
        tally.add(&report(outcome, 100), Duration::ZERO);
    }
    let mut sum = Tally::default();
    sum.merge(&tally);
    sum.merge(&tally);
    let figures = sum.figures(Duration::from_secs(1), 5);
    let form = serde_json::to_value(&figures).expect("JSON");
    expect_that!(form["answered"].as_u64(), some(eq(2)));
    expect_that!(form["not_run"]["overload"].as_u64(), some(eq(4)));
    expect_that!(form["failed"]["failed"].as_u64(), some(eq(2)));
    expect_that!(form["in_doubt"]["in_doubt"].as_u64(), some(eq(2)));
    expect_that!(form["lost"].as_u64(), some(eq(2)));
    expect_that!(form["not_started"].as_u64(), some(eq(5)));
    expect_that!(
        figures.to_string(),
        contains_substring("not run 4; the call could not be served in time: 4")
    );
}

#[gtest]
fn a_late_start_counts_into_the_latency() {
    let mut tally = Tally::default();
    tally.add(&report(Outcome::Answered, 100), Duration::from_millis(900));
    let form = serde_json::to_value(tally.figures(Duration::from_secs(1), 0)).expect("JSON");
    expect_that!(form["total_ms"]["p50"].as_f64(), some(near(1_000.0, 2.0)));
    expect_that!(form["first_ms"]["p50"].as_f64(), some(near(950.0, 2.0)));
}
