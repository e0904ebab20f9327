use crate::fixture::{Fixture, dispatched, refusals};
use crate::{Fault, RefusalReason};
use googletest::prelude::*;

fn overloads(fixture: &Fixture) -> u64 {
    let counters = fixture.scheduler.counters();
    counters.refused_for(RefusalReason::Overload)
}

#[gtest]
fn burst_of_a_class_without_samples_is_queued() {
    let mut fixture = Fixture::new(1, 8);
    (0..24).for_each(|seq| {
        fixture.submit(seq, "ask");
    });
    expect_that!(overloads(&fixture), eq(0));
    expect_that!(fixture.scheduler.queued(), eq(16));
}

#[gtest]
fn overload_is_refused_without_samples() {
    let mut fixture = Fixture::new(1, 1);
    (0..200).for_each(|seq| {
        fixture.submit(seq, "ask");
    });
    expect_that!(overloads(&fixture), gt(0));
}

#[gtest]
fn burst_is_queued_while_its_endpoint_is_temporarily_unavailable() {
    for fault in [Fault::Declined, Fault::Unreached] {
        let mut fixture = Fixture::new(1, 2_000);
        fixture.submit(0, "ask");
        fixture.fail(0, 0, fault);
        (10..1_010).for_each(|seq| {
            fixture.submit(seq, "ask");
        });
        expect_that!(overloads(&fixture), eq(0), "{fault:?}");
    }
}

#[gtest]
fn call_with_a_free_slot_is_not_refused() {
    let mut fixture = Fixture::new(1, 8);
    fixture.submit(0, "ask");
    fixture.advance(60_000);
    fixture.answer(0);
    // The workspace may run two calls at a time, so five calls are queued while six slots are
    // free.
    (10..17).for_each(|seq| {
        fixture.submit_as("abay", seq, "ask");
    });
    let out = fixture.submit(20, "ask");
    expect_that!(refusals(&out), is_empty());
    expect_that!(dispatched(&out), eq(&[20]));
}

#[gtest]
fn one_answer_suffices_for_a_wait_estimate() {
    let mut fixture = Fixture::new(1, 1);
    fixture.submit(0, "ask");
    fixture.advance(5_000);
    fixture.answer(0);
    (10..15).for_each(|seq| {
        fixture.submit(seq, "ask");
    });
    expect_that!(overloads(&fixture), eq(1));
}

#[gtest]
fn endpoint_that_declined_a_call_still_counts_in_the_wait_estimate() {
    let mut fixture = Fixture::new(1, 2_000);
    fixture.submit(0, "ask");
    fixture.advance(5_000);
    fixture.answer(0);
    fixture.submit(1, "ask");
    fixture.fail(1, 0, Fault::Declined);
    (10..1_010).for_each(|seq| {
        fixture.submit(seq, "ask");
    });
    expect_that!(overloads(&fixture), eq(0));
}
