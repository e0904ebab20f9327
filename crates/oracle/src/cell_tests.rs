use crate::{
    call_oracle::Property,
    calls::Ending,
    cell_machine::Step,
    cell_sim::{CellSim, VM_COUNT},
    fixture::Kind,
    mutation::Mutation,
    runner::{case_count, find_violation},
};
use googletest::prelude::*;
use poplarswitch_pool::Mutation as PoolMutation;

/// Default number of cases without a deliberate fault.
const CASES: u32 = 100;
/// Number of cases in which the oracle has to detect a deliberate fault.
const MUTANT_CASES: u32 = 100;

#[gtest]
fn a_cell_keeps_all_properties() {
    for seed in [1, 2] {
        expect_that!(
            find_violation::<CellSim>(seed, case_count(CASES), None, 500),
            eq(&Ok(()))
        );
    }
}

#[gtest]
fn oracle_detects_each_deliberate_fault_of_a_cell() {
    let faults = [
        (Mutation::DropCallEnds, Property::AllCallsEnd),
        (Mutation::RefuseAfterRun, Property::NotRun),
        (Mutation::RepeatAfterRun, Property::AtMostOnce),
        (Mutation::DispatchTwice, Property::OneLiveDispatch),
        (Mutation::RepeatAttemptNumber, Property::ValidOutput),
    ];
    for (mutation, property) in faults {
        let result = find_violation::<CellSim>(3, MUTANT_CASES, Some(mutation), 20);
        let message = result.err().unwrap_or_default();
        let name = format!("property: {property:?}");
        expect_that!(message, contains_substring(name.as_str()), "{mutation:?}");
    }
}

/// Runs the steps once for each VM, which fails in them; returns the violation and the number of
/// held calls of each run.
///
/// The arguments of `steps` are the index of the failing VM and that of another VM.
fn results_per_failing_vm(
    mutation: PoolMutation,
    steps: impl Fn(usize, usize) -> Vec<Step>,
) -> Vec<String> {
    let mut results = Vec::new();
    for failing in 0..VM_COUNT {
        let mut sim = CellSim::new(None);
        sim.mutate(mutation);
        for step in steps(failing, (failing + 1) % VM_COUNT) {
            sim.step(&step);
        }
        sim.finish();
        results.push(format!(
            "{:?} held: {}",
            sim.oracle.violation,
            sim.held_calls()
        ));
    }
    results
}

#[gtest]
fn ignored_earlier_run_is_detected() {
    let results = results_per_failing_vm(PoolMutation::IgnoreEarlierRuns, |failing, origin| {
        vec![
            Step::Submit(origin, Kind::Check),
            Step::Wait(10),
            Step::End(0, Ending::Lost),
            Step::Wait(10),
            Step::Pause(failing),
            Step::Wait(6_000),
            Step::End(0, Ending::Unreached),
            Step::Wait(500),
        ]
    });
    expect_that!(results, contains(contains_substring("property: NotRun")));
}

#[gtest]
fn slots_kept_for_a_crashed_origin_are_detected() {
    let results = results_per_failing_vm(PoolMutation::KeepExpiredOrigins, |failing, _| {
        vec![
            Step::Submit(failing, Kind::Check),
            Step::Wait(10),
            Step::Crash(failing),
        ]
    });
    expect_that!(results, contains(contains_substring("None held: 2")));
}

#[gtest]
fn home_that_is_never_suspected_is_detected() {
    let results = results_per_failing_vm(PoolMutation::NeverSuspect, |failing, origin| {
        vec![
            Step::Pause(failing),
            Step::Submit(origin, Kind::Check),
            Step::Wait(8_000),
        ]
    });
    expect_that!(results, contains(contains_substring("property: WaitBound")));
}

#[gtest]
fn call_not_released_at_its_old_home_is_detected() {
    let results = results_per_failing_vm(PoolMutation::SkipRelease, |failing, origin| {
        vec![
            Step::Submit(origin, Kind::Check),
            Step::Wait(10),
            Step::RemoveMember(origin, failing),
        ]
    });
    expect_that!(results, contains(contains_substring("None held: 1")));
}

#[gtest]
fn origin_unpaused_after_its_lease_expires_leaves_no_held_calls() {
    let mut sim = CellSim::new(None);
    for step in [
        Step::Submit(1, Kind::NonRepeatableAtModel),
        Step::Submit(1, Kind::ChatAtService),
        Step::Pause(1),
        Step::Wait(5_001),
        Step::RemoveMember(0, 1),
        Step::Burst(0, Kind::NonRepeatable, 6),
    ] {
        sim.step(&step);
    }
    sim.finish();
    expect_that!(sim.oracle.violation, none());
    expect_that!(sim.held_calls(), eq(0));
}
