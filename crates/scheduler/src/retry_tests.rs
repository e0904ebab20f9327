use crate::fixture::{Fixture, conclusions, dispatched, dispatches, endpoints, refusals, set};
use crate::{ConclusionKind, End, Fault, Mode, Policy, RefusalReason, Tuning};
use googletest::prelude::*;

#[gtest]
fn call_that_was_not_run_is_redispatched_even_if_non_repeatable() {
    for fault in [Fault::Unreached, Fault::Declined] {
        let mut fixture = Fixture::new(1, 1);
        let first = endpoints(&fixture.submit(0, "book"))[0].clone();
        let out = fixture.fail(0, 0, fault);
        expect_that!(dispatches(&out)[0].attempt.0, eq(1));
        expect_that!(dispatches(&out)[0].endpoint, not(eq(&first)));
    }
}

#[gtest]
fn lost_non_repeatable_call_is_in_doubt() {
    let mut fixture = Fixture::new(1, 1);
    fixture.submit(0, "book");
    let out = fixture.fail(0, 0, Fault::Lost);
    expect_that!(dispatched(&out), is_empty());
    expect_that!(conclusions(&out)[0].kind, eq(ConclusionKind::InDoubt));
}

#[gtest]
fn lost_call_is_retried_a_bounded_number_of_times() {
    let mut fixture = Fixture::new(4, 1);
    let first = endpoints(&fixture.submit(0, "ask"));
    let second = fixture.fail(0, 0, Fault::Lost);
    expect_that!(endpoints(&second), not(eq(&first)));
    expect_that!(dispatched(&fixture.fail(0, 1, Fault::Lost)), eq(&[0]));
    let last = fixture.fail(0, 2, Fault::Lost);
    expect_that!(conclusions(&last)[0].kind, eq(ConclusionKind::InDoubt));
}

#[gtest]
fn retries_stay_within_the_budget() {
    let tuning = Tuning::builder().retry_reserve(3).build();
    let mut fixture = Fixture::with_set(set(9, 9), Policy::Full, tuning);
    (0..9).for_each(|seq| {
        fixture.submit(seq, "ask");
    });
    let retried = (0..9).filter(|seq| !dispatched(&fixture.fail(*seq, 0, Fault::Lost)).is_empty());
    expect_that!(retried.count(), eq(3));
    expect_that!(fixture.scheduler.counters().budget_exhausted, eq(6));
}

#[gtest]
fn call_with_a_lost_dispatch_is_not_reported_as_not_run() {
    let mut fixture = Fixture::new(2, 1);
    fixture.submit(0, "ask");
    fixture.fail(0, 0, Fault::Lost);
    fixture.submit(5, "ask");
    fixture.fail(0, 1, Fault::Unreached);
    fixture.submit(6, "ask");
    let out = fixture.advance(10_000);
    let doubtful: Vec<u64> = conclusions(&out)
        .iter()
        .map(|conclusion| conclusion.call.seq)
        .collect();
    expect_that!(doubtful, contains(eq(&0)));
    expect_that!(
        refusals(&out).iter().any(|refusal| refusal.call.seq == 0),
        eq(false)
    );
}

#[gtest]
fn call_that_every_endpoint_declines_is_refused_as_not_run() {
    let mut fixture = Fixture::new(1, 1);
    fixture.submit(0, "ask");
    let mut refused = Vec::new();
    for attempt in 0..20 {
        refused.extend(refusals(&fixture.fail(0, attempt, Fault::Declined)));
        fixture.advance(2_000);
        if !refused.is_empty() {
            break;
        }
    }
    let reasons = [RefusalReason::NoEndpoint, RefusalReason::WaitExpired];
    expect_that!(
        fixture.scheduler.queued() + fixture.scheduler.in_flight(),
        eq(0)
    );
    let counters = fixture.scheduler.counters();
    let refused: u64 = reasons
        .iter()
        .map(|reason| counters.refused_for(*reason))
        .sum();
    expect_that!(refused, eq(1));
}

fn lose_connection(fixture: &mut Fixture, attempt: u32, emitted: u32) -> Vec<crate::Output> {
    let fault = Fault::Lost;
    fixture.end(0, attempt, End::Failed { fault, emitted })
}

#[gtest]
fn stream_is_resumed_at_the_same_endpoint_or_fails() {
    let mut fixture = Fixture::new(3, 2);
    let first = endpoints(&fixture.submit(0, "chat"));
    fixture.progress(0, 0, 12);
    let out = lose_connection(&mut fixture, 0, 12);
    expect_that!(endpoints(&out), eq(&first));
    expect_that!(dispatches(&out)[0].mode, eq(Mode::Resume { emitted: 12 }));
    // After a second consecutive loss the endpoint counts as crashed.
    let out = lose_connection(&mut fixture, 1, 15);
    expect_that!(dispatched(&out), is_empty());
    expect_that!(conclusions(&out)[0].kind, eq(ConclusionKind::Failed));
}

#[gtest]
fn stream_fails_if_its_resumption_is_declined() {
    let mut fixture = Fixture::new(3, 2);
    fixture.submit(0, "chat");
    lose_connection(&mut fixture, 0, 12);
    let out = fixture.fail(0, 1, Fault::Declined);
    expect_that!(dispatched(&out), is_empty());
    expect_that!(conclusions(&out)[0].kind, eq(ConclusionKind::Failed));
}

#[gtest]
fn output_reported_as_progress_counts_as_received() {
    let mut fixture = Fixture::new(3, 2);
    fixture.submit(0, "chat");
    fixture.progress(0, 0, 4);
    let out = lose_connection(&mut fixture, 0, 0);
    expect_that!(dispatches(&out)[0].mode, eq(Mode::Resume { emitted: 4 }));
}

#[gtest]
fn call_with_an_endpoint_error_fails() {
    let mut fixture = Fixture::new(3, 2);
    fixture.submit(0, "ask");
    let out = fixture.fail(0, 0, Fault::Errored);
    expect_that!(dispatched(&out), is_empty());
    expect_that!(conclusions(&out)[0].kind, eq(ConclusionKind::Failed));
}

#[gtest]
fn crashed_endpoint_gets_no_calls_until_a_single_probe() {
    let mut fixture = Fixture::new(2, 8);
    let crashed = endpoints(&fixture.submit(0, "ask"))[0].clone();
    fixture.fail(0, 0, Fault::Unreached);
    let next: Vec<_> = (1..4)
        .flat_map(|seq| endpoints(&fixture.submit(seq, "ask")))
        .collect();
    expect_that!(next, each(not(eq(&crashed))));
    fixture.advance(250);
    let later: Vec<_> = (4..6)
        .flat_map(|seq| endpoints(&fixture.submit(seq, "ask")))
        .collect();
    let probes = later.iter().filter(|endpoint| **endpoint == crashed);
    expect_that!(probes.count(), eq(1));
}

#[gtest]
fn higher_tier_calls_do_not_probe_while_lower_tiers_can() {
    let mut fixture = Fixture::new(2, 8);
    fixture.submit(0, "chat");
    let crashed = endpoints(&fixture.submit(1, "ask"))[0].clone();
    fixture.fail(1, 0, Fault::Unreached);
    fixture.advance(250);
    expect_that!(
        endpoints(&fixture.submit(2, "ask")),
        each(not(eq(&crashed)))
    );
    expect_that!(endpoints(&fixture.submit(3, "chat")), eq(&[crashed]));
}

#[gtest]
fn non_repeatable_call_probes_only_after_the_grace_period() {
    let mut fixture = Fixture::new(1, 1);
    let crashed = endpoints(&fixture.submit(0, "book"))[0].clone();
    // The call is sent to the other replica, which has no free slot after that.
    fixture.fail(0, 0, Fault::Unreached);
    fixture.advance(250);
    expect_that!(dispatched(&fixture.submit(1, "book")), is_empty());
    expect_that!(fixture.advance(2_999), is_empty());
    expect_that!(endpoints(&fixture.advance(1)), eq(&[crashed]));
}

#[gtest]
fn non_repeatable_call_probes_at_once_if_no_endpoint_is_up() {
    let mut fixture = Fixture::new(1, 1);
    fixture.submit(0, "book");
    fixture.fail(0, 0, Fault::Unreached);
    expect_that!(
        dispatched(&fixture.fail(0, 1, Fault::Unreached)),
        is_empty()
    );
    expect_that!(dispatched(&fixture.advance(250)), eq(&[0]));
}
