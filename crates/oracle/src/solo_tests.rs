use crate::{
    hunt::{cases, hunt},
    judge::Property,
    mutation::Mutation,
    solo::Solo,
};
use googletest::prelude::*;

/// Cases in an ordinary run.
const CASES: u32 = 120;
/// Cases in which a deliberate fault must show.
const MUTANT_CASES: u32 = 100;

#[gtest]
fn one_scheduler_keeps_all_rules() {
    for seed in [1, 2] {
        expect_that!(hunt::<Solo>(seed, cases(CASES), None, 2_000), eq(&Ok(())));
    }
}

#[gtest]
fn the_oracle_catches_each_deliberate_fault() {
    let faults = [
        (Mutation::RefuseBooking, Property::BookingKept),
        (Mutation::PreemptBooking, Property::BookingKept),
        (Mutation::DropEnds, Property::WaitBound),
        (Mutation::DropDispatches, Property::WaitBound),
        (Mutation::RefuseAfterRun, Property::NotRun),
        (Mutation::RepeatAfterRun, Property::AtMostOnce),
        (Mutation::DispatchTwice, Property::OneLive),
        (Mutation::RepeatAttempt, Property::OwnOrder),
        (Mutation::RestartStream, Property::NoSplice),
        (Mutation::CrowdEndpoint, Property::Slots),
        (Mutation::DoubtIdle, Property::DoubtReal),
    ];
    for (mutation, property) in faults {
        let found = hunt::<Solo>(3, MUTANT_CASES, Some(mutation), 200);
        let message = found.err().unwrap_or_default();
        let name = format!("property: {property:?}");
        expect_that!(message, contains_substring(name.as_str()), "{mutation:?}");
    }
}
