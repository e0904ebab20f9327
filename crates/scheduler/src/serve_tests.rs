use crate::fixture::{Fixture, call_id, dispatched, dispatches, endpoints, request, set};
use crate::{CacheEvent, Input, LoadReport, Output, Policy, Request, Tuning};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::PrefixHash;

#[gtest]
fn higher_tiers_are_served_first() {
    let mut fixture = Fixture::new(1, 1);
    expect_that!(dispatched(&fixture.submit(0, "chat")), eq(&[0]));
    fixture.submit(1, "sum");
    fixture.submit(2, "chat");
    fixture.submit(3, "ask");
    expect_that!(dispatched(&fixture.answer(0)), eq(&[3]));
    expect_that!(dispatched(&fixture.answer(3)), eq(&[2]));
    expect_that!(dispatched(&fixture.answer(2)), eq(&[1]));
}

#[gtest]
fn lower_tier_is_served_within_the_starvation_bound() {
    let mut fixture = Fixture::new(1, 1);
    fixture.submit(0, "ask");
    fixture.submit(1, "sum");
    let bound = crate::starvation_bound(&[0, 10, 0], 2);
    let mut passed = 0;
    let mut last = 0;
    for seq in 2..200 {
        fixture.advance(1);
        fixture.submit(seq, "ask");
        last = dispatched(&fixture.answer(last))[0];
        if last == 1 {
            break;
        }
        passed += 1;
    }
    expect_that!(last, eq(1));
    expect_that!(passed, le(bound));
    expect_that!(fixture.scheduler.counters().by_floor, eq(1));
}

#[gtest]
fn slots_are_never_exceeded() {
    let mut fixture = Fixture::new(2, 2);
    let out: Vec<Output> = (0..9).flat_map(|seq| fixture.submit(seq, "ask")).collect();
    expect_that!(dispatches(&out).len(), eq(4));
    expect_that!(fixture.scheduler.queued(), eq(5));
}

#[gtest]
fn workspace_at_its_limit_does_not_block_others() {
    let mut fixture = Fixture::new(1, 4);
    (0..4).for_each(|seq| {
        fixture.submit_as("abay", seq, "chat");
    });
    expect_that!(fixture.scheduler.in_flight(), eq(2));
    expect_that!(dispatched(&fixture.submit(5, "chat")), eq(&[5]));
    expect_that!(dispatched(&fixture.answer(0)), eq(&[2]));
}

#[gtest]
fn lower_tier_calls_of_a_workspace_leave_room_for_its_higher_tiers() {
    let mut fixture = Fixture::new(1, 8);
    (0..7).for_each(|seq| {
        fixture.submit_as("abay", seq, "chat");
    });
    expect_that!(dispatched(&fixture.submit_as("abay", 8, "book")), eq(&[8]));
}

#[gtest]
fn class_holds_at_most_its_share_of_each_endpoint() {
    let mut set = set(2, 4);
    set["classes"][3]["limits"] = serde_json::json!({"slot_percent": 50});
    let mut fixture = Fixture::with_set(set, Policy::Full, Tuning::default());
    (0..9).for_each(|seq| {
        fixture.submit(seq, "sum");
    });
    expect_that!(fixture.scheduler.in_flight(), eq(4));
    let out: Vec<Output> = (10..14)
        .flat_map(|seq| fixture.submit(seq, "ask"))
        .collect();
    expect_that!(dispatched(&out).len(), eq(4));
    expect_that!(dispatched(&fixture.answer(10)), is_empty());
    expect_that!(dispatched(&fixture.answer(0)).len(), eq(1));
}

/// Runs calls of a class that take ten seconds each, so that the class counts as long.
fn run_long_calls(fixture: &mut Fixture, class: &str, from: u64) {
    for seq in from..from + 4 {
        fixture.submit(seq, class);
        fixture.advance(10_000);
        fixture.answer(seq);
    }
}

#[gtest]
fn long_calls_leave_the_reserve_free_and_use_all_other_slots() {
    let mut fixture = Fixture::new(4, 4);
    run_long_calls(&mut fixture, "sum", 0);
    // A burst of eight short calls sets the arrival peak that sizes the reserve.
    (100..108).for_each(|seq| {
        fixture.submit(seq, "ask");
    });
    (100..108).for_each(|seq| {
        fixture.answer(seq);
    });
    fixture.advance(5_000);
    (200..230).for_each(|seq| {
        fixture.submit(seq, "sum");
    });
    expect_that!(fixture.scheduler.in_flight(), eq(12));
    let out: Vec<Output> = (300..306)
        .flat_map(|seq| fixture.submit(seq, "ask"))
        .collect();
    expect_that!(dispatched(&out).len(), eq(4));
}

#[gtest]
fn long_calls_use_every_slot_without_a_recent_burst() {
    let mut fixture = Fixture::new(4, 4);
    run_long_calls(&mut fixture, "sum", 0);
    (200..230).for_each(|seq| {
        fixture.submit(seq, "sum");
    });
    expect_that!(fixture.scheduler.in_flight(), eq(16));
}

#[gtest]
fn calls_with_the_same_prefix_share_an_endpoint_until_it_is_busier() {
    let mut fixture = Fixture::new(4, 8);
    let submit = |fixture: &mut Fixture, seq| {
        let request = Request {
            prefix: PrefixHash(77),
            ..request(seq, "chat")
        };
        endpoints(&fixture.handle(Input::Submit(request)))[0].clone()
    };
    let first = submit(&mut fixture, 0);
    expect_that!(submit(&mut fixture, 1), eq(&first));
    let others: Vec<_> = (2..8).map(|seq| submit(&mut fixture, seq)).collect();
    expect_that!(others, contains(not(eq(&first))));
}

#[gtest]
fn callers_data_centre_is_preferred_at_similar_load() {
    let mut set = set(6, 8);
    for index in 0..3 {
        set["endpoints"][index]["data_centre"] = "b".into();
    }
    let tuning = Tuning::builder().affinity(false).build();
    let mut fixture = Fixture::with_set(set, Policy::Full, tuning);
    let far = ["e0", "e1", "e2"];
    for seq in 0..3 {
        let endpoint = endpoints(&fixture.submit(seq, "ask"))[0].clone();
        expect_that!(far.contains(&endpoint.as_str()), eq(false));
    }
    // With two calls each, the near endpoints are busier than the far ones by more than the
    // data centre allowance.
    let later: Vec<_> = (3..24)
        .flat_map(|seq| endpoints(&fixture.submit(seq, "ask")))
        .collect();
    expect_that!(
        later
            .iter()
            .any(|endpoint| far.contains(&endpoint.as_str())),
        eq(true)
    );
}

fn report(endpoint: &str, running: u32, age_ms: u64) -> Input {
    Input::Load(LoadReport {
        endpoint: endpoint.into(),
        running,
        queued: 0,
        age: Duration::from_millis(age_ms),
    })
}

#[gtest]
fn reported_load_is_avoided_while_the_report_is_recent() {
    let tuning = Tuning::builder().affinity(false).build();
    let mut fixture = Fixture::with_set(set(2, 8), Policy::Full, tuning);
    fixture.handle(report("e0", 6, 100));
    let early: Vec<_> = (0..4)
        .flat_map(|seq| endpoints(&fixture.submit(seq, "ask")))
        .collect();
    expect_that!(early, each(eq(&"e1".into())));
    fixture.advance(3_000);
    expect_that!(endpoints(&fixture.submit(9, "ask")), eq(&["e0".into()]));
}

#[gtest]
fn outdated_load_report_is_ignored() {
    let tuning = Tuning::builder().affinity(false).build();
    let mut fixture = Fixture::with_set(set(2, 8), Policy::Full, tuning);
    fixture.handle(report("e0", 6, 5_000));
    let endpoints: Vec<_> = (0..4)
        .flat_map(|seq| endpoints(&fixture.submit(seq, "ask")))
        .collect();
    expect_that!(endpoints, contains(eq(&"e0".into())));
}

#[gtest]
fn own_calls_in_a_late_load_report_are_not_counted_twice() {
    let tuning = Tuning::builder().affinity(false).build();
    let mut fixture = Fixture::with_set(set(2, 8), Policy::Full, tuning);
    (0..8).for_each(|seq| {
        fixture.submit(seq, "ask");
    });
    // The report dates from a time when four calls of this scheduler were running; they have
    // ended since.
    (0..8).for_each(|seq| {
        fixture.answer(seq);
    });
    fixture.handle(report("e0", 4, 1_000));
    let endpoints: Vec<_> = (10..14)
        .flat_map(|seq| endpoints(&fixture.submit(seq, "ask")))
        .collect();
    let first = endpoints
        .iter()
        .filter(|endpoint| endpoint.as_str() == "e0");
    expect_that!(first.count(), eq(2));
}

#[gtest]
fn class_with_a_small_share_gets_one_slot_of_each_endpoint() {
    let mut set = set(2, 4);
    set["classes"][3]["limits"] = serde_json::json!({"slot_percent": 10});
    let mut fixture = Fixture::with_set(set, Policy::Full, Tuning::default());
    (0..5).for_each(|seq| {
        fixture.submit(seq, "sum");
    });
    expect_that!(fixture.scheduler.in_flight(), eq(2));
}

#[gtest]
fn baseline_policies_keep_arrival_or_tier_order() {
    for (policy, first) in [
        (Policy::FifoRoundRobin, 1),
        (Policy::FifoLeastOutstanding, 1),
        (Policy::StrictLeastOutstanding, 3),
    ] {
        let mut fixture = Fixture::with_set(set(1, 1), policy, Tuning::default());
        fixture.submit(0, "chat");
        for (seq, class) in [(1, "sum"), (2, "chat"), (3, "ask")] {
            fixture.advance(1);
            fixture.submit(seq, class);
        }
        expect_that!(dispatched(&fixture.answer(0)), eq(&[first]));
    }
}

#[gtest]
fn round_robin_takes_turns_and_least_outstanding_takes_the_least_loaded() {
    let mut fixture = Fixture::with_set(set(3, 4), Policy::FifoRoundRobin, Tuning::default());
    let turns: Vec<_> = (0..4)
        .flat_map(|seq| endpoints(&fixture.submit(seq, "ask")))
        .collect();
    expect_that!(
        turns,
        eq(&["e0".into(), "e1".into(), "e2".into(), "e0".into()])
    );
    let mut fixture = Fixture::with_set(set(3, 4), Policy::FifoLeastOutstanding, Tuning::default());
    let mut least: Vec<_> = (0..3)
        .flat_map(|seq| endpoints(&fixture.submit(seq, "ask")))
        .collect();
    least.sort();
    expect_that!(least, eq(&["e0".into(), "e1".into(), "e2".into()]));
}

#[gtest]
fn same_inputs_give_same_outputs() {
    let run = || {
        let mut fixture = Fixture::new(5, 2);
        let out: Vec<Output> = (0..30).flat_map(|seq| fixture.submit(seq, "ask")).collect();
        let more: Vec<Output> = (0..5).flat_map(|seq| fixture.answer(seq)).collect();
        (out, more)
    };
    expect_that!(run(), eq(&run()));
    expect_that!(
        run().0.iter().all(|output| output.call() != call_id(99)),
        eq(true)
    );
}

#[gtest]
fn cache_event_changes_the_endpoint_of_a_prefix() {
    let mut fixture = Fixture::new(4, 8);
    let cache = |endpoint: &str, held| {
        Input::Cache(CacheEvent {
            endpoint: endpoint.into(),
            prefix: PrefixHash(5),
            held,
        })
    };
    let first = endpoints(&fixture.submit(5, "chat"))[0].clone();
    let other = if first.as_str() == "e0" { "e1" } else { "e0" };
    fixture.handle(cache(other, true));
    let submit = |fixture: &mut Fixture, seq| {
        let request = Request {
            prefix: PrefixHash(5),
            ..request(seq, "chat")
        };
        endpoints(&fixture.handle(Input::Submit(request)))[0].clone()
    };
    expect_that!(submit(&mut fixture, 6).as_str(), eq(other));
    fixture.handle(cache(other, false));
    expect_that!(submit(&mut fixture, 7), eq(&first));
}
