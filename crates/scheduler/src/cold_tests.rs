use crate::stand::{Stand, refusals, sent};
use crate::{Fault, RefusalReason};
use googletest::prelude::*;

fn overloads(stand: &Stand) -> u64 {
    let counters = stand.scheduler.counters();
    counters.refused_for(RefusalReason::Overload)
}

#[gtest]
fn a_burst_without_evidence_waits() {
    let mut stand = Stand::new(1, 8);
    (0..24).for_each(|seq| {
        stand.submit(seq, "ask");
    });
    expect_that!(overloads(&stand), eq(0));
    expect_that!(stand.scheduler.queued(), eq(16));
}

#[gtest]
fn a_queue_without_hope_is_refused_without_evidence() {
    let mut stand = Stand::new(1, 1);
    (0..200).for_each(|seq| {
        stand.submit(seq, "ask");
    });
    expect_that!(overloads(&stand), gt(0));
}

#[gtest]
fn a_burst_outlasts_the_rest_of_its_endpoint() {
    for fault in [Fault::Declined, Fault::Unreached] {
        let mut stand = Stand::new(1, 2_000);
        stand.submit(0, "ask");
        stand.fail(0, 0, fault);
        (10..1_010).for_each(|seq| {
            stand.submit(seq, "ask");
        });
        expect_that!(overloads(&stand), eq(0), "{fault:?}");
    }
}

#[gtest]
fn a_call_that_finds_a_free_slot_is_never_refused() {
    let mut stand = Stand::new(1, 8);
    stand.submit(0, "ask");
    stand.pass(60_000);
    stand.answer(0);
    // The in-flight limit of a workspace holds five calls back while six slots are free.
    (10..17).for_each(|seq| {
        stand.submit_as("abay", seq, "ask");
    });
    let out = stand.submit(20, "ask");
    expect_that!(refusals(&out), is_empty());
    expect_that!(sent(&out), eq(&[20]));
}

#[gtest]
fn one_answer_is_evidence() {
    let mut stand = Stand::new(1, 1);
    stand.submit(0, "ask");
    stand.pass(5_000);
    stand.answer(0);
    (10..15).for_each(|seq| {
        stand.submit(seq, "ask");
    });
    expect_that!(overloads(&stand), eq(1));
}

#[gtest]
fn a_declined_call_takes_no_slots_away_from_a_known_class() {
    let mut stand = Stand::new(1, 2_000);
    stand.submit(0, "ask");
    stand.pass(5_000);
    stand.answer(0);
    stand.submit(1, "ask");
    stand.fail(1, 0, Fault::Declined);
    (10..1_010).for_each(|seq| {
        stand.submit(seq, "ask");
    });
    expect_that!(overloads(&stand), eq(0));
}
