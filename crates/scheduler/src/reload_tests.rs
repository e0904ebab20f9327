use crate::fixture::{Fixture, catalog, dispatched, endpoints, refusals, set};
use crate::{Output, RefusalReason};
use googletest::prelude::*;
use serde_json::{Value, json};

fn reload(fixture: &mut Fixture, set: Value) -> Vec<Output> {
    let mut out = Vec::new();
    fixture
        .scheduler
        .reload(fixture.now, catalog(set), &mut out);
    out
}

#[gtest]
fn new_endpoint_serves_queued_calls() {
    let mut fixture = Fixture::new(1, 1);
    (0..3).for_each(|seq| {
        fixture.submit(seq, "ask");
    });
    let out = reload(&mut fixture, set(2, 1));
    expect_that!(endpoints(&out), eq(&["e1".into()]));
    expect_that!(dispatched(&fixture.answer(0)).len(), eq(1));
}

#[gtest]
fn removed_endpoint_keeps_running_calls_and_gets_no_new_ones() {
    let mut fixture = Fixture::new(2, 2);
    (0..4).for_each(|seq| {
        fixture.submit(seq, "ask");
    });
    expect_that!(reload(&mut fixture, set(1, 2)), is_empty());
    expect_that!(fixture.scheduler.in_flight(), eq(4));
    let next: Vec<_> = (0..4)
        .flat_map(|seq| {
            fixture.submit(seq + 10, "ask");
            endpoints(&fixture.answer(seq))
        })
        .collect();
    expect_that!(next, each(eq(&"e0".into())));
    expect_that!(fixture.scheduler.in_flight(), eq(2));
}

#[gtest]
fn endpoint_moved_to_another_route_keeps_its_slots_taken() {
    let mut fixture = Fixture::new(1, 1);
    fixture.submit(0, "ask");
    let mut moved = set(1, 1);
    moved["endpoints"][0]["serves"] = json!({"service": {"service": "seats"}});
    reload(&mut fixture, moved);
    (1..3).for_each(|seq| {
        fixture.submit(seq, "book");
    });
    expect_that!(dispatched(&fixture.submit(3, "book")), is_empty());
    expect_that!(endpoints(&fixture.answer(0)), eq(&["e0".into()]));
}

#[gtest]
fn queued_call_of_a_removed_class_is_refused() {
    let mut fixture = Fixture::new(1, 1);
    fixture.submit(0, "sum");
    fixture.submit(1, "sum");
    let mut reduced = set(1, 1);
    reduced["classes"].as_array_mut().expect("a list").pop();
    let out = reload(&mut fixture, reduced);
    expect_that!(refusals(&out)[0].reason, eq(RefusalReason::Unknown));
    expect_that!(fixture.scheduler.in_flight(), eq(1));
    fixture.answer(0);
    expect_that!(fixture.scheduler.in_flight(), eq(0));
}

#[gtest]
fn tiers_can_change_while_calls_are_running_and_queued() {
    let mut fixture = Fixture::new(1, 1);
    fixture.submit(0, "sum");
    fixture.submit(1, "chat");
    fixture.submit(2, "ask");
    let mut swapped = set(1, 1);
    swapped["tiers"] = json!([
        {"name": "low", "rank": 0}, {"name": "mid", "rank": 1}, {"name": "high", "rank": 9},
        {"name": "extra", "rank": 4}
    ]);
    reload(&mut fixture, swapped);
    expect_that!(dispatched(&fixture.answer(0)), eq(&[1]));
    let mut single = set(1, 1);
    single["tiers"] = json!([{"name": "one", "rank": 0}]);
    for class in single["classes"].as_array_mut().expect("a list") {
        class["tier"] = "one".into();
    }
    reload(&mut fixture, single);
    expect_that!(dispatched(&fixture.answer(1)), eq(&[2]));
    fixture.answer(2);
    expect_that!(
        fixture.scheduler.queued() + fixture.scheduler.in_flight(),
        eq(0)
    );
}

#[gtest]
fn endpoint_change_keeps_the_credit_of_floors() {
    let mut fixture = Fixture::new(1, 1);
    fixture.submit(0, "ask");
    fixture.submit(1, "chat");
    let mut last = 0;
    for seq in 2..20 {
        fixture.submit(seq, "ask");
        reload(&mut fixture, set(1, 1));
        last = dispatched(&fixture.answer(last))[0];
        if last == 1 {
            break;
        }
    }
    expect_that!(last, eq(1));
}

#[gtest]
fn raised_limit_dispatches_queued_calls_at_once() {
    let mut fixture = Fixture::new(1, 8);
    (0..4).for_each(|seq| {
        fixture.submit_as("abay", seq, "chat");
    });
    expect_that!(fixture.scheduler.in_flight(), eq(2));
    let mut raised = set(1, 8);
    raised["workspaces"][1]["limits"]["in_flight"] = 9.into();
    expect_that!(dispatched(&reload(&mut fixture, raised)), eq(&[2, 3]));
}

#[gtest]
fn queued_call_of_a_removed_workspace_is_refused() {
    let mut fixture = Fixture::new(1, 1);
    fixture.submit_as("abay", 0, "ask");
    fixture.submit_as("abay", 1, "ask");
    let mut reduced = set(1, 1);
    reduced["workspaces"].as_array_mut().expect("a list").pop();
    let out = reload(&mut fixture, reduced);
    expect_that!(refusals(&out)[0].reason, eq(RefusalReason::Unknown));
    fixture.answer(0);
    expect_that!(
        fixture.scheduler.queued() + fixture.scheduler.in_flight(),
        eq(0)
    );
}

#[gtest]
fn queued_call_of_a_removed_lane_is_refused_with_a_retry_time() {
    let mut fixture = Fixture::new(1, 1);
    fixture.submit(0, "ask");
    fixture.submit(1, "chat");
    fixture.submit(2, "sum");
    let mut reduced = set(1, 1);
    reduced["classes"].as_array_mut().expect("a list").pop();
    let out = reload(&mut fixture, reduced);
    expect_that!(refusals(&out)[0].call.seq, eq(2));
    expect_that!(refusals(&out)[0].retry_after.as_secs(), ge(1));
}
