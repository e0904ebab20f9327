use crate::{
    call_oracle::Property,
    fixture::Kind,
    mutation::Mutation,
    runner::{case_count, find_violation},
    scheduler_machine::Step,
    scheduler_sim::SchedulerSim,
};
use googletest::prelude::*;

/// Default number of cases without a deliberate fault.
const CASES: u32 = 120;
/// Number of cases in which the oracle has to detect a deliberate fault.
const MUTANT_CASES: u32 = 100;

#[gtest]
fn one_scheduler_keeps_all_properties() {
    for seed in [1, 2] {
        expect_that!(
            find_violation::<SchedulerSim>(seed, case_count(CASES), None, 2_000),
            eq(&Ok(()))
        );
    }
}

#[gtest]
fn top_tier_call_gets_a_slot_despite_earlier_lower_tier_calls() {
    for (lower_tier, top_tier) in [
        (Kind::Check, Kind::NonRepeatableAtModel),
        (Kind::ChatAtService, Kind::NonRepeatable),
    ] {
        let mut sim = SchedulerSim::new(None);
        sim.step(&Step::Burst(lower_tier, 10));
        sim.step(&Step::Submit(top_tier));
        sim.step(&Step::Wait(8_000));
        expect_that!(sim.oracle.violation, none(), "{top_tier:?}");
    }
}

#[gtest]
fn oracle_detects_each_deliberate_fault_of_a_scheduler() {
    let faults = [
        (Mutation::RefuseFirstAttempt, Property::TopTierPriority),
        (Mutation::PreemptImmediately, Property::TopTierPriority),
        (Mutation::DropCallEnds, Property::WaitBound),
        (Mutation::DropFirstDispatches, Property::WaitBound),
        (Mutation::RefuseAfterRun, Property::NotRun),
        (Mutation::RepeatAfterRun, Property::AtMostOnce),
        (Mutation::DispatchTwice, Property::OneLiveDispatch),
        (Mutation::RepeatAttemptNumber, Property::ValidOutput),
        (Mutation::RestartStream, Property::StreamContinuity),
        (Mutation::OverloadEndpoint, Property::SlotLimit),
        (Mutation::DoubtRefused, Property::DoubtJustified),
    ];
    for (mutation, property) in faults {
        let result = find_violation::<SchedulerSim>(3, MUTANT_CASES, Some(mutation), 200);
        let message = result.err().unwrap_or_default();
        let name = format!("property: {property:?}");
        expect_that!(message, contains_substring(name.as_str()), "{mutation:?}");
    }
}
