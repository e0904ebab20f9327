use super::stats::{ClassStats, meets_target};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_client::{CallReport, Outcome};
use poplarswitch_objects::{Class, Target};
use poplarswitch_wire::ErrorCode;

const TARGET: Target = Target::Stream {
    first_token_ms: 100,
    inter_token_ms: 10,
};

fn report(outcome: Outcome, first_ms: u64, total_ms: u64) -> CallReport {
    CallReport {
        outcome,
        first_output: Some(Duration::from_millis(first_ms)),
        total: Duration::from_millis(total_ms),
        longest_pause: None,
        text_events: 11,
        text: String::new(),
        retry_after: None,
    }
}

#[gtest]
fn stream_target_bounds_first_token_and_mean_gap() {
    let is_met = |first, total| meets_target(TARGET, &report(Outcome::Answered, first, total));
    expect_that!(is_met(100, 200), eq(true));
    expect_that!(is_met(101, 200), eq(false));
    expect_that!(is_met(100, 211), eq(false));
}

#[gtest]
fn only_answers_that_meet_the_target_count_as_goodput() {
    let class = Class::builder()
        .name("ask")
        .tier("high")
        .target(TARGET)
        .build();
    let mut stats = ClassStats::new(&class);
    stats.add(&report(Outcome::Answered, 50, 100), true);
    stats.add(&report(Outcome::Answered, 500, 600), true);
    stats.add(&report(Outcome::NotRun(ErrorCode::Overload), 0, 0), true);
    let results = stats.report();
    expect_that!(results.calls, eq(3));
    expect_that!(results.answered, eq(2));
    expect_that!(results.attained, eq(1));
    expect_that!(results.goodput, eq(11));
    expect_that!(results.not_run, eq(1));
}
