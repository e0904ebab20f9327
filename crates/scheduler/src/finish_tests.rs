use crate::fixture::{Fixture, call_id, conclusions, dispatched, endpoints, request};
use crate::{End, Fault, Input, Output, Running, Stop, StopReason};
use googletest::prelude::*;
use poplarswitch_entity::Attempt;

#[gtest]
fn late_and_repeated_ends_are_dropped_and_counted() {
    let mut fixture = Fixture::new(2, 1);
    fixture.submit(0, "ask");
    fixture.fail(0, 0, Fault::Unreached);
    expect_that!(fixture.answer(0), is_empty());
    expect_that!(fixture.progress(0, 0, 5), is_empty());
    expect_that!(fixture.answer(42), is_empty());
    expect_that!(fixture.scheduler.counters().stale, eq(3));
    expect_that!(fixture.scheduler.in_flight(), eq(1));
    fixture.end(0, 1, End::Answered { tokens: 1 });
    expect_that!(fixture.end(0, 1, End::Answered { tokens: 1 }), is_empty());
    expect_that!(fixture.scheduler.counters().answered, eq(1));
}

#[gtest]
fn cancelled_queued_call_is_not_dispatched() {
    let mut fixture = Fixture::new(1, 1);
    fixture.submit(0, "ask");
    fixture.submit(1, "ask");
    expect_that!(fixture.handle(Input::Cancel(call_id(1))), is_empty());
    expect_that!(dispatched(&fixture.answer(0)), is_empty());
    expect_that!(fixture.advance(60_000), is_empty());
}

#[gtest]
fn cancelled_running_call_is_stopped_once_and_not_retried() {
    let mut fixture = Fixture::new(2, 1);
    fixture.submit(0, "ask");
    let stop = Output::Stop(Stop {
        call: call_id(0),
        attempt: Attempt(0),
        reason: StopReason::Cancelled,
    });
    expect_that!(fixture.handle(Input::Cancel(call_id(0))), eq(&[stop]));
    expect_that!(fixture.handle(Input::Cancel(call_id(0))), is_empty());
    expect_that!(fixture.scheduler.in_flight(), eq(1));
    expect_that!(fixture.fail(0, 0, Fault::Lost), is_empty());
    expect_that!(fixture.scheduler.in_flight(), eq(0));
    expect_that!(fixture.scheduler.counters().cancelled, eq(1));
}

fn running(seq: u64, class: &str, endpoint: &str) -> Input {
    Input::Adopt(Running {
        request: request(seq, class),
        endpoint: endpoint.into(),
        attempt: Attempt(2),
        tokens: 3,
    })
}

#[gtest]
fn adopted_call_holds_its_slot_until_it_ends() {
    let mut fixture = Fixture::new(1, 1);
    expect_that!(fixture.handle(running(0, "ask", "e0")), is_empty());
    expect_that!(dispatched(&fixture.submit(1, "ask")), is_empty());
    let out = fixture.end(0, 2, End::Answered { tokens: 9 });
    expect_that!(dispatched(&out), eq(&[1]));
}

#[gtest]
fn adopted_call_replaces_its_queued_entry() {
    let mut fixture = Fixture::new(1, 1);
    fixture.submit(0, "ask");
    fixture.submit(1, "ask");
    fixture.handle(running(1, "ask", "e0"));
    expect_that!(fixture.scheduler.queued(), eq(0));
    expect_that!(dispatched(&fixture.answer(0)), is_empty());
    fixture.handle(running(1, "ask", "e0"));
    expect_that!(fixture.scheduler.counters().duplicates, eq(1));
    expect_that!(fixture.scheduler.in_flight(), eq(1));
}

#[gtest]
fn adopted_call_of_an_unknown_class_is_not_repeated() {
    let mut fixture = Fixture::new(2, 1);
    fixture.handle(running(0, "gone", "e0"));
    let fault = Fault::Lost;
    let out = fixture.end(0, 2, End::Failed { fault, emitted: 0 });
    expect_that!(dispatched(&out), is_empty());
    expect_that!(conclusions(&out).len(), eq(1));
}

/// Serves `count` calls one after another. Calls at the `slow` endpoints take much longer;
/// returns their numbers.
fn serve_sequentially(fixture: &mut Fixture, slow: &[&str], count: u64) -> Vec<u64> {
    let mut at_slow = Vec::new();
    for seq in 0..count {
        let endpoint = endpoints(&fixture.submit(seq, "ask"))[0].clone();
        let is_slow = slow.contains(&endpoint.as_str());
        if is_slow {
            at_slow.push(seq);
        }
        fixture.advance(100);
        fixture.progress(seq, 0, 1);
        fixture.advance(if is_slow { 900 } else { 100 });
        fixture.answer(seq);
    }
    at_slow
}

#[gtest]
fn slow_endpoint_is_ejected_and_rarely_probed() {
    let mut fixture = Fixture::new(5, 2);
    let at_slow = serve_sequentially(&mut fixture, &["e2"], 300);
    expect_that!(fixture.scheduler.counters().ejected, ge(1));
    expect_that!(at_slow.len(), all![ge(8), le(20)]);
}

#[gtest]
fn equally_fast_endpoints_are_not_ejected() {
    let mut fixture = Fixture::new(5, 2);
    let at_slow = serve_sequentially(&mut fixture, &[], 300);
    expect_that!(at_slow, is_empty());
    expect_that!(fixture.scheduler.counters().ejected, eq(0));
}

#[gtest]
fn ejections_are_limited_to_a_share_of_the_endpoints() {
    let mut fixture = Fixture::new(5, 2);
    // Two of five endpoints are slow, but at most one of five may be ejected at a time.
    serve_sequentially(&mut fixture, &["e1", "e2"], 150);
    expect_that!(fixture.scheduler.counters().ejected, eq(1));
}
