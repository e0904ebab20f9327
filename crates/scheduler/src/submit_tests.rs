use crate::fixture::{Fixture, catalog, dispatched, refusals, request, set};
use crate::{Input, Policy, RefusalReason, Request, Tuning};
use core::time::Duration;
use googletest::prelude::*;

fn reason(out: &[crate::Output]) -> Option<RefusalReason> {
    refusals(out).first().map(|refusal| refusal.reason)
}

#[gtest]
fn unknown_names_are_refused() {
    let mut fixture = Fixture::new(1, 1);
    for request in [
        Request {
            class: "gone".into(),
            ..request(0, "ask")
        },
        Request {
            workspace: "gone".into(),
            ..request(0, "ask")
        },
        Request {
            route: poplarswitch_catalog::Route::Model("gone".into()),
            ..request(0, "ask")
        },
    ] {
        let out = fixture.handle(Input::Submit(request));
        expect_that!(reason(&out), some(eq(RefusalReason::Unknown)));
    }
}

#[gtest]
fn call_without_an_endpoint_for_its_route_or_adapter_is_refused() {
    let mut fixture = Fixture::new(0, 1);
    expect_that!(
        reason(&fixture.submit(0, "ask")),
        some(eq(RefusalReason::NoEndpoint))
    );
    let mut fixture = Fixture::new(1, 1);
    let request = Request {
        adapter: Some("gone".into()),
        ..request(0, "ask")
    };
    let out = fixture.handle(Input::Submit(request));
    expect_that!(reason(&out), some(eq(RefusalReason::NoEndpoint)));
}

#[gtest]
fn call_with_an_adapter_goes_to_an_endpoint_that_holds_it() {
    let mut set = set(3, 1);
    set["endpoints"][1]["serves"] = serde_json::json!(
        {"model": {"model": "tiny", "version": "1", "adapters": ["snow"]}});
    let mut fixture = Fixture::with_set(set, Policy::Full, Tuning::default());
    let adapted = |seq| {
        Input::Submit(Request {
            adapter: Some("snow".into()),
            ..request(seq, "ask")
        })
    };
    let out = fixture.handle(adapted(0));
    expect_that!(crate::fixture::endpoints(&out), eq(&["e1".into()]));
    // The next call with the adapter is queued, but does not delay calls without an adapter.
    expect_that!(dispatched(&fixture.handle(adapted(1))), is_empty());
    expect_that!(dispatched(&fixture.submit(2, "ask")), eq(&[2]));
    expect_that!(dispatched(&fixture.answer(0)), eq(&[1]));
}

#[gtest]
fn full_queue_refuses_calls_of_its_tier_only() {
    let tuning = Tuning::builder().admission(false).build();
    let mut fixture = Fixture::with_set(set(1, 1), Policy::Full, tuning);
    fixture.submit(100, "ask");
    (0..5).for_each(|seq| {
        fixture.submit_as("abay", seq, "sum");
    });
    let out = fixture.submit_as("abay", 6, "sum");
    expect_that!(reason(&out), some(eq(RefusalReason::QueueFull)));
    expect_that!(refusals(&out)[0].retry_after, ge(Duration::from_secs(1)));
    expect_that!(reason(&fixture.submit_as("abay", 7, "ask")), none());
    expect_that!(reason(&fixture.submit(8, "sum")), none());
}

#[gtest]
fn class_limit_of_queued_calls_is_enforced() {
    let mut set = set(1, 1);
    set["classes"][3]["limits"] = serde_json::json!({"queued": 2});
    let mut fixture = Fixture::with_set(set, Policy::Full, Tuning::default());
    (0..3).for_each(|seq| {
        fixture.submit(seq, "sum");
    });
    expect_that!(
        reason(&fixture.submit(3, "sum")),
        some(eq(RefusalReason::QueueFull))
    );
    expect_that!(reason(&fixture.submit(4, "chat")), none());
}

#[gtest]
fn rate_limit_is_enforced_with_its_wait_as_retry_time() {
    let mut set = set(1, 8);
    set["workspaces"][1]["limits"] = serde_json::json!({"rate": 2, "in_flight": 9, "queued": 9});
    let mut fixture = Fixture::with_set(set, Policy::Full, Tuning::default());
    (0..2).for_each(|seq| {
        fixture.submit_as("abay", seq, "sum");
    });
    let refusal = refusals(&fixture.submit_as("abay", 2, "sum"))[0];
    expect_that!(refusal.reason, eq(RefusalReason::RateLimit));
    expect_that!(refusal.retry_after, eq(Duration::from_millis(500)));
    expect_that!(dispatched(&fixture.submit_as("abay", 3, "ask")), eq(&[3]));
    fixture.advance(500);
    expect_that!(dispatched(&fixture.submit_as("abay", 4, "sum")), eq(&[4]));
}

/// One slot that is taken, after answered calls that took five seconds each.
fn fixture_with_samples() -> Fixture {
    let mut fixture = Fixture::new(1, 1);
    for (seq, class) in [(0, "sum"), (1, "ask")] {
        fixture.submit(seq, class);
        fixture.advance(5_000);
        fixture.answer(seq);
    }
    fixture.submit(2, "ask");
    fixture
}

#[gtest]
fn call_that_cannot_be_served_in_time_is_refused() {
    let mut fixture = fixture_with_samples();
    (10..13).for_each(|seq| {
        expect_that!(reason(&fixture.submit(seq, "ask")), none());
    });
    let refusal = refusals(&fixture.submit(13, "ask"))[0];
    expect_that!(refusal.reason, eq(RefusalReason::Overload));
    expect_that!(refusal.retry_after, ge(Duration::from_secs(10)));
}

#[gtest]
fn lower_tier_calls_do_not_cause_a_refusal() {
    let mut fixture = fixture_with_samples();
    (10..40).for_each(|seq| {
        fixture.submit(seq, "sum");
    });
    expect_that!(
        fixture
            .scheduler
            .counters()
            .refused_for(RefusalReason::Overload),
        gt(0)
    );
    expect_that!(reason(&fixture.submit(50, "ask")), none());
}

#[gtest]
fn class_with_a_longer_target_does_not_cause_a_refusal_in_its_tier() {
    let mut set = set(1, 1);
    set["classes"][3]["tier"] = "mid".into();
    let mut fixture = Fixture::with_set(set, Policy::Full, Tuning::default());
    (0..60).for_each(|seq| {
        fixture.submit(seq, "sum");
    });
    let counters = fixture.scheduler.counters();
    expect_that!(counters.refused_for(RefusalReason::Overload), gt(0));
    expect_that!(reason(&fixture.submit(90, "chat")), none());
}

#[gtest]
fn expired_wait_ends_with_a_refusal_and_no_dispatch() {
    let mut fixture = Fixture::new(1, 1);
    fixture.submit(0, "ask");
    let request = Request {
        waited: Duration::from_secs(8),
        ..request(1, "ask")
    };
    fixture.handle(Input::Submit(request));
    expect_that!(
        fixture.scheduler.next_wake(),
        some(eq(fixture.now + Duration::from_secs(2)))
    );
    fixture.advance(1_999);
    // The slot becomes free at the moment at which the wait expires.
    fixture.now = fixture.now + Duration::from_millis(1);
    let out = fixture.answer(0);
    expect_that!(reason(&out), some(eq(RefusalReason::WaitExpired)));
    expect_that!(dispatched(&out), is_empty());
}

#[gtest]
fn call_that_waited_too_long_elsewhere_is_refused() {
    let mut fixture = Fixture::new(1, 1);
    let request = Request {
        waited: Duration::from_secs(10),
        ..request(1, "ask")
    };
    let out = fixture.handle(Input::Submit(request));
    expect_that!(reason(&out), some(eq(RefusalReason::WaitExpired)));
}

#[gtest]
fn call_submitted_twice_runs_once() {
    let mut fixture = Fixture::new(2, 2);
    expect_that!(dispatched(&fixture.submit(0, "ask")), eq(&[0]));
    expect_that!(fixture.submit(0, "ask"), is_empty());
    expect_that!(fixture.scheduler.counters().duplicates, eq(1));
    expect_that!(catalog(set(1, 1)).tier_order.len(), eq(3));
}
