use crate::{
    fixture::Kind,
    hunt::{cases, hunt},
    judge::Property,
    mutation::Mutation,
    solo::Solo,
    solo_machine::Step,
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
fn a_booking_finds_a_slot_although_lower_tier_calls_came_first() {
    for (crowd, booking) in [
        (Kind::Check, Kind::BookingByModel),
        (Kind::ChatByService, Kind::Booking),
    ] {
        let mut solo = Solo::new(None);
        solo.step(&Step::Burst(crowd, 10));
        solo.step(&Step::Submit(booking));
        solo.step(&Step::Wait(8_000));
        expect_that!(solo.judge.violation, none(), "{booking:?}");
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
