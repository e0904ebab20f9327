use crate::{CallAverages, EngineLoad, EngineReport, engine_work_ms};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::Time;

const SLOTS: u32 = 16;

fn usual() -> CallAverages {
    CallAverages {
        prefill_ms: 100.0,
        slot_ms: 3_700.0,
        correction: 1.0,
    }
}

fn engine(waiting: u32, running: u32) -> EngineLoad {
    let mut engine = EngineLoad::default();
    engine.record_report(Time::ZERO, EngineReport { waiting, running });
    engine
}

fn first(engine: &EngineLoad, tokens: u64) -> Duration {
    engine
        .predict_first_event(Time::ZERO, SLOTS, tokens, &usual())
        .unwrap()
}

#[gtest]
fn an_idle_engine_reads_the_prompt_at_once() {
    let expected = first(&engine(0, 0), 8_190);
    expect_that!(expected.as_millis(), all![gt(130), lt(160)]);
}

#[gtest]
fn prompts_that_wait_are_read_first() {
    let expected = first(&engine(10, 2), 8_190);
    expect_that!(expected.as_millis(), all![gt(1_000), lt(1_300)]);
}

#[gtest]
fn a_full_batch_makes_a_call_wait_for_a_place() {
    let idle = first(&engine(0, 10), 819);
    let full = first(&engine(4, 16), 819);
    expect_that!(full, gt(idle + Duration::from_secs(1)));
}

#[gtest]
fn calls_sent_since_the_report_count() {
    let mut engine = engine(0, 0);
    engine.record_dispatch(40_950);
    expect_that!(first(&engine, 819), gt(Duration::from_millis(500)));
}

#[gtest]
fn an_old_report_says_nothing() {
    let expected = engine(0, 0).predict_first_event(Time::from_millis(300), SLOTS, 1, &usual());
    expect_that!(expected, none());
}

#[gtest]
fn predictions_that_are_too_short_are_corrected() {
    let engine = engine(4, 2);
    let mut usual = usual();
    let before = first(&engine, 8_190);
    for _ in 0..40 {
        let predicted = engine
            .predict_first_event(Time::ZERO, SLOTS, 8_190, &usual)
            .unwrap();
        usual.record_first_event(predicted, before * 2);
    }
    let after = engine
        .predict_first_event(Time::ZERO, SLOTS, 8_190, &usual)
        .unwrap();
    expect_that!(after.as_secs_f64() / before.as_secs_f64(), near(2.0, 0.25));
}

/// The boundary of a small fleet with large batches gave patient calls 2 of 9 endpoints, because
/// tokens were counted at the cost of a small batch.
#[gtest]
fn a_token_costs_less_in_a_large_batch() {
    expect_that!(engine_work_ms(8_190, 0, 16), near(100.0, 0.1));
    expect_that!(engine_work_ms(0, 300, 64), near(41.7, 1.0));
    expect_that!(engine_work_ms(0, 300, 16), near(94.3, 1.0));
}
