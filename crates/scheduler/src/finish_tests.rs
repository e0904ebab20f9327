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
fn a_cancelled_call_that_waits_is_never_sent() {
    let mut fixture = Fixture::new(1, 1);
    fixture.submit(0, "ask");
    fixture.submit(1, "ask");
    expect_that!(fixture.handle(Input::Cancel(call_id(1))), is_empty());
    expect_that!(dispatched(&fixture.answer(0)), is_empty());
    expect_that!(fixture.advance(60_000), is_empty());
}

#[gtest]
fn a_cancelled_call_that_runs_is_stopped_once_and_never_retried() {
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
fn an_adopted_call_holds_its_slot_until_it_ends() {
    let mut fixture = Fixture::new(1, 1);
    expect_that!(fixture.handle(running(0, "ask", "e0")), is_empty());
    expect_that!(dispatched(&fixture.submit(1, "ask")), is_empty());
    let out = fixture.end(0, 2, End::Answered { tokens: 9 });
    expect_that!(dispatched(&out), eq(&[1]));
}

#[gtest]
fn an_adopted_call_replaces_the_same_call_in_the_queue() {
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
fn an_adopted_call_of_an_unknown_class_is_never_repeated() {
    let mut fixture = Fixture::new(2, 1);
    fixture.handle(running(0, "gone", "e0"));
    let fault = Fault::Lost;
    let out = fixture.end(0, 2, End::Failed { fault, emitted: 0 });
    expect_that!(dispatched(&out), is_empty());
    expect_that!(conclusions(&out).len(), eq(1));
}

/// Serves calls one after the other; those of one endpoint take much longer.
fn straggle(fixture: &mut Fixture, slow: &[&str], count: u64) -> Vec<u64> {
    let mut at_slow = Vec::new();
    for seq in 0..count {
        let place = endpoints(&fixture.submit(seq, "ask"))[0].clone();
        let is_slow = slow.contains(&place.as_str());
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
fn a_straggler_is_put_out_and_probed_slowly() {
    let mut fixture = Fixture::new(5, 2);
    let at_slow = straggle(&mut fixture, &["e2"], 300);
    expect_that!(fixture.scheduler.counters().ejected, ge(1));
    expect_that!(at_slow.len(), all![ge(8), le(20)]);
}

#[gtest]
fn equal_endpoints_are_not_put_out() {
    let mut fixture = Fixture::new(5, 2);
    let at_one = straggle(&mut fixture, &[], 300);
    expect_that!(at_one, is_empty());
    expect_that!(fixture.scheduler.counters().ejected, eq(0));
}

#[gtest]
fn stragglers_are_put_out_up_to_a_share_of_their_siblings() {
    let mut fixture = Fixture::new(5, 2);
    // Two of five are slow, but only one of five may be out at a time.
    straggle(&mut fixture, &["e1", "e2"], 150);
    expect_that!(fixture.scheduler.counters().ejected, eq(1));
}
