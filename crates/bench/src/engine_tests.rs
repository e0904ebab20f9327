use crate::engine::{EndpointKind, Engine, Sequence};
use googletest::prelude::*;
use poplarswitch_entity::{Attempt, Time};

fn sequence(call: usize, prefill: f64, tokens: f64) -> Sequence {
    Sequence {
        call,
        attempt: Attempt(0),
        prefill,
        tokens_left: tokens,
        generated: 0.0,
        emitted: 0,
        last_report: None,
    }
}

/// Runs the engine until it is idle; returns the index and the end time of each call.
fn run(engine: &mut Engine) -> Vec<(usize, Time)> {
    let mut completions = Vec::new();
    while let Some(at) = engine.next_update() {
        completions.extend(engine.take_finished(at).into_iter().map(|s| (s.call, at)));
    }
    completions
}

#[gtest]
fn single_call_takes_its_prefill_and_token_times() {
    let mut engine = Engine::new(EndpointKind::Model, 2);
    engine.enqueue(Time::ZERO, sequence(0, 0.1, 101.0));
    let completions = run(&mut engine);
    expect_that!(
        completions[0].1.as_secs_f64(),
        near(0.1 + 100.0 * 0.0128, 0.001)
    );
}

#[gtest]
fn fuller_batch_slows_each_call_but_raises_throughput() {
    let mut engine = Engine::new(EndpointKind::Model, 2);
    engine.enqueue(Time::ZERO, sequence(0, 0.0, 100.0));
    engine.enqueue(Time::ZERO, sequence(1, 0.0, 100.0));
    let completions = run(&mut engine);
    expect_that!(completions[1].1.as_secs_f64(), near(100.0 * 0.0136, 0.001));
}

#[gtest]
fn call_beyond_the_slots_waits_in_the_queue_of_the_endpoint() {
    let mut engine = Engine::new(EndpointKind::Service, 1);
    engine.enqueue(Time::ZERO, sequence(0, 0.0, 50.0));
    engine.enqueue(Time::ZERO, sequence(1, 0.0, 50.0));
    expect_that!(engine.queue.len(), eq(1));
    let completions = run(&mut engine);
    expect_that!(completions[1].1.as_secs_f64(), near(0.1, 0.001));
}

#[gtest]
fn crash_returns_the_calls_of_the_batch_and_the_queue() {
    let mut engine = Engine::new(EndpointKind::Model, 1);
    engine.enqueue(Time::ZERO, sequence(0, 0.0, 50.0));
    engine.enqueue(Time::ZERO, sequence(1, 0.0, 50.0));
    let lost = engine.crash(Time::from_millis(128));
    expect_that!(lost.len(), eq(2));
    expect_that!(lost[0].generated, near(10.0, 0.1));
    expect_that!(engine.up, eq(false));
}
