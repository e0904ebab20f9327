use super::tally::{Tally, attains};
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
        text_events: 11,
        text: String::new(),
        retry_after: None,
    }
}

#[gtest]
fn a_stream_must_keep_both_of_its_times() {
    let attained = |first, total| attains(TARGET, &report(Outcome::Answered, first, total));
    expect_that!(attained(100, 200), eq(true));
    expect_that!(attained(101, 200), eq(false));
    expect_that!(attained(100, 211), eq(false));
}

#[gtest]
fn only_answers_in_time_count_as_goodput() {
    let class = Class::builder()
        .name("ask")
        .tier("high")
        .target(TARGET)
        .build();
    let mut tally = Tally::new(&class);
    tally.count(&report(Outcome::Answered, 50, 100), true);
    tally.count(&report(Outcome::Answered, 500, 600), true);
    tally.count(&report(Outcome::NotRun(ErrorCode::Overload), 0, 0), true);
    let line = tally.line();
    expect_that!(line.calls, eq(3));
    expect_that!(line.answered, eq(2));
    expect_that!(line.attained, eq(1));
    expect_that!(line.goodput, eq(11));
    expect_that!(line.not_run, eq(1));
}
