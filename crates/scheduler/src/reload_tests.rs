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
fn new_endpoints_serve_calls_that_wait() {
    let mut fixture = Fixture::new(1, 1);
    (0..3).for_each(|seq| {
        fixture.submit(seq, "ask");
    });
    let out = reload(&mut fixture, set(2, 1));
    expect_that!(endpoints(&out), eq(&["e1".into()]));
    expect_that!(dispatched(&fixture.answer(0)).len(), eq(1));
}

#[gtest]
fn an_endpoint_that_is_gone_gets_no_more_calls_and_keeps_those_it_has() {
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
fn an_endpoint_that_moves_to_another_route_keeps_its_slots_taken() {
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
fn waiting_calls_whose_class_is_gone_are_refused() {
    let mut fixture = Fixture::new(1, 1);
    fixture.submit(0, "sum");
    fixture.submit(1, "sum");
    let mut less = set(1, 1);
    less["classes"].as_array_mut().expect("a list").pop();
    let out = reload(&mut fixture, less);
    expect_that!(refusals(&out)[0].reason, eq(RefusalReason::Unknown));
    expect_that!(fixture.scheduler.in_flight(), eq(1));
    fixture.answer(0);
    expect_that!(fixture.scheduler.in_flight(), eq(0));
}

#[gtest]
fn tiers_may_change_while_calls_run_and_wait() {
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
fn a_change_of_endpoints_keeps_the_floors_credit() {
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
fn a_raised_limit_lets_waiting_calls_go_at_once() {
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
fn waiting_calls_whose_workspace_is_gone_are_refused() {
    let mut fixture = Fixture::new(1, 1);
    fixture.submit_as("abay", 0, "ask");
    fixture.submit_as("abay", 1, "ask");
    let mut less = set(1, 1);
    less["workspaces"].as_array_mut().expect("a list").pop();
    let out = reload(&mut fixture, less);
    expect_that!(refusals(&out)[0].reason, eq(RefusalReason::Unknown));
    fixture.answer(0);
    expect_that!(
        fixture.scheduler.queued() + fixture.scheduler.in_flight(),
        eq(0)
    );
}

#[gtest]
fn a_waiting_call_whose_lane_is_gone_is_refused_with_a_retry_time() {
    let mut fixture = Fixture::new(1, 1);
    fixture.submit(0, "ask");
    fixture.submit(1, "chat");
    fixture.submit(2, "sum");
    let mut less = set(1, 1);
    less["classes"].as_array_mut().expect("a list").pop();
    let out = reload(&mut fixture, less);
    expect_that!(refusals(&out)[0].call.seq, eq(2));
    expect_that!(refusals(&out)[0].retry_after.as_secs(), ge(1));
}
