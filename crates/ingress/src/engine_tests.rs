use crate::{CallAverages, EngineLoad, EngineReport, engine_work_ms};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::Time;

const SLOTS: u32 = 16;

fn averages() -> CallAverages {
    CallAverages {
        prefill_ms: 100.0,
        slot_ms: 3_700.0,
        correction: 1.0,
    }
}

fn engine(waiting: u32, running: u32) -> EngineLoad {
    let mut engine = EngineLoad::default();
    engine.record_report(
        Time::ZERO,
        EngineReport {
            waiting,
            running,
            start_ms: None,
        },
    );
    engine
}

fn first_event(engine: &EngineLoad, tokens: u64) -> Duration {
    engine
        .predict_first_event(Time::ZERO, SLOTS, tokens, &averages())
        .unwrap()
}

#[gtest]
fn idle_engine_starts_the_prefill_at_once() {
    let expected = first_event(&engine(0, 0), 8_190);
    expect_that!(expected.as_millis(), all![gt(130), lt(160)]);
}

#[gtest]
fn waiting_prompts_are_prefilled_first() {
    let expected = first_event(&engine(10, 2), 8_190);
    expect_that!(expected.as_millis(), all![gt(1_000), lt(1_300)]);
}

#[gtest]
fn call_waits_for_a_slot_of_a_full_batch() {
    let idle = first_event(&engine(0, 10), 819);
    let full = first_event(&engine(4, 16), 819);
    expect_that!(full, gt(idle + Duration::from_secs(1)));
}

#[gtest]
fn calls_sent_since_the_report_are_included() {
    let mut engine = engine(0, 0);
    engine.record_dispatch(40_950);
    expect_that!(first_event(&engine, 819), gt(Duration::from_millis(500)));
}

#[gtest]
fn old_report_gives_no_prediction() {
    let expected = engine(0, 0).predict_first_event(Time::from_millis(300), SLOTS, 1, &averages());
    expect_that!(expected, none());
}

#[gtest]
fn short_predictions_are_corrected() {
    let engine = engine(4, 2);
    let mut averages = averages();
    let before = first_event(&engine, 8_190);
    for _ in 0..40 {
        let predicted = engine
            .predict_first_event(Time::ZERO, SLOTS, 8_190, &averages)
            .unwrap();
        averages.record_first_event(predicted, before * 2);
    }
    let after = engine
        .predict_first_event(Time::ZERO, SLOTS, 8_190, &averages)
        .unwrap();
    expect_that!(after.as_secs_f64() / before.as_secs_f64(), near(2.0, 0.25));
}

/// Guards against an overestimate of output tokens: with large batches, the relaxed group of a
/// small cluster got 2 of 9 endpoints, because tokens were counted at their cost in a small batch.
#[gtest]
fn token_takes_less_time_in_a_large_batch() {
    expect_that!(engine_work_ms(8_190, 0, 16), near(100.0, 0.1));
    expect_that!(engine_work_ms(0, 300, 64), near(41.7, 1.0));
    expect_that!(engine_work_ms(0, 300, 16), near(94.3, 1.0));
}
