use crate::engine::{Engine, Kind, Sequence};
use googletest::prelude::*;
use poplarswitch_entity::{Attempt, Time};

fn sequence(call: usize, prefill: f64, tokens: f64) -> Sequence {
    Sequence {
        call,
        attempt: Attempt(0),
        prefill,
        left: tokens,
        done: 0.0,
        emitted: 0,
        told: None,
    }
}

fn run(engine: &mut Engine) -> Vec<(usize, Time)> {
    let mut ends = Vec::new();
    while let Some(at) = engine.next_event() {
        ends.extend(engine.finish(at).into_iter().map(|s| (s.call, at)));
    }
    ends
}

#[gtest]
fn a_call_alone_takes_its_prompt_and_its_tokens() {
    let mut engine = Engine::new(Kind::Model, 2);
    engine.start(Time::ZERO, sequence(0, 0.1, 101.0));
    let ends = run(&mut engine);
    expect_that!(ends[0].1.as_secs_f64(), near(0.1 + 100.0 * 0.0128, 0.001));
}

#[gtest]
fn a_fuller_batch_slows_each_call_and_raises_the_total() {
    let mut engine = Engine::new(Kind::Model, 2);
    engine.start(Time::ZERO, sequence(0, 0.0, 100.0));
    engine.start(Time::ZERO, sequence(1, 0.0, 100.0));
    let ends = run(&mut engine);
    expect_that!(ends[1].1.as_secs_f64(), near(100.0 * 0.0136, 0.001));
}

#[gtest]
fn a_call_over_the_batch_waits_in_the_endpoint() {
    let mut engine = Engine::new(Kind::Service, 1);
    engine.start(Time::ZERO, sequence(0, 0.0, 50.0));
    engine.start(Time::ZERO, sequence(1, 0.0, 50.0));
    expect_that!(engine.queue.len(), eq(1));
    let ends = run(&mut engine);
    expect_that!(ends[1].1.as_secs_f64(), near(0.1, 0.001));
}

#[gtest]
fn a_crash_returns_what_was_held() {
    let mut engine = Engine::new(Kind::Model, 1);
    engine.start(Time::ZERO, sequence(0, 0.0, 50.0));
    engine.start(Time::ZERO, sequence(1, 0.0, 50.0));
    let lost = engine.crash(Time::from_millis(128));
    expect_that!(lost.len(), eq(2));
    expect_that!(lost[0].done, near(10.0, 0.1));
    expect_that!(engine.up, eq(false));
}
