use crate::{
    calls::Ending,
    cell::{Cell, VMS},
    cell_machine::Step,
    fixture::Kind,
    hunt::{cases, hunt},
    judge::Property,
    mutation::Mutation,
};
use googletest::prelude::*;
use poplarswitch_pool::Mutation as Fault;

/// Cases in an ordinary run.
const CASES: u32 = 100;
/// Cases in which a deliberate fault must show.
const MUTANT_CASES: u32 = 100;

#[gtest]
fn a_cell_keeps_all_rules() {
    for seed in [1, 2] {
        expect_that!(hunt::<Cell>(seed, cases(CASES), None, 500), eq(&Ok(())));
    }
}

#[gtest]
fn the_oracle_catches_each_deliberate_fault_in_a_cell() {
    let faults = [
        (Mutation::DropEnds, Property::AllEnd),
        (Mutation::RefuseAfterRun, Property::NotRun),
        (Mutation::RepeatAfterRun, Property::AtMostOnce),
        (Mutation::DispatchTwice, Property::OneLive),
        (Mutation::RepeatAttempt, Property::OwnOrder),
    ];
    for (mutation, property) in faults {
        let found = hunt::<Cell>(3, MUTANT_CASES, Some(mutation), 20);
        let message = found.err().unwrap_or_default();
        let name = format!("property: {property:?}");
        expect_that!(message, contains_substring(name.as_str()), "{mutation:?}");
    }
}

/// Runs steps that hurt each VM in turn; returns what the oracle says in the end.
fn hurt_each(fault: Fault, steps: impl Fn(usize, usize) -> Vec<Step>) -> Vec<String> {
    let mut found = Vec::new();
    for hurt in 0..VMS {
        let mut cell = Cell::new(None);
        cell.mutate(fault);
        for step in steps(hurt, (hurt + 1) % VMS) {
            cell.step(&step);
        }
        cell.finish();
        found.push(format!("{:?} held: {}", cell.judge.violation, cell.held()));
    }
    found
}

#[gtest]
fn a_home_that_forgets_runs_is_caught() {
    let found = hurt_each(Fault::IgnoreEarlierRuns, |hurt, origin| {
        vec![
            Step::Submit(origin, Kind::Check),
            Step::Wait(10),
            Step::End(0, Ending::Lost),
            Step::Wait(10),
            Step::Pause(hurt),
            Step::Wait(6_000),
            Step::End(0, Ending::Unreached),
            Step::Wait(500),
        ]
    });
    expect_that!(found, contains(contains_substring("property: NotRun")));
}

#[gtest]
fn slots_kept_for_a_dead_origin_are_caught() {
    let found = hurt_each(Fault::KeepExpiredOrigins, |hurt, _| {
        vec![
            Step::Submit(hurt, Kind::Check),
            Step::Wait(10),
            Step::Crash(hurt),
        ]
    });
    expect_that!(found, contains(contains_substring("None held: 2")));
}

#[gtest]
fn a_silent_home_that_is_followed_for_ever_is_caught() {
    let found = hurt_each(Fault::NeverSuspect, |hurt, origin| {
        vec![
            Step::Pause(hurt),
            Step::Submit(origin, Kind::Check),
            Step::Wait(8_000),
        ]
    });
    expect_that!(found, contains(contains_substring("property: WaitBound")));
}

#[gtest]
fn a_call_kept_by_its_old_home_is_caught() {
    let found = hurt_each(Fault::SkipRelease, |hurt, origin| {
        vec![
            Step::Submit(origin, Kind::Check),
            Step::Wait(10),
            Step::Leave(origin, hurt),
        ]
    });
    expect_that!(found, contains(contains_substring("None held: 1")));
}

#[gtest]
fn an_origin_that_wakes_after_its_lease_leaves_nothing_behind() {
    let mut cell = Cell::new(None);
    for step in [
        Step::Submit(1, Kind::BookingByModel),
        Step::Submit(1, Kind::ChatByService),
        Step::Pause(1),
        Step::Wait(5_001),
        Step::Leave(0, 1),
        Step::Burst(0, Kind::Booking, 6),
    ] {
        cell.step(&step);
    }
    cell.finish();
    expect_that!(cell.judge.violation, none());
    expect_that!(cell.held(), eq(0));
}
