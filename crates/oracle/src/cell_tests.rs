use crate::{
    cell::Cell,
    hunt::{cases, hunt},
    judge::Property,
    mutation::Mutation,
};
use googletest::prelude::*;

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
