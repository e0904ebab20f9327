use super::{
    audit::{KeyedOutcome, audit},
    report::Violation,
};
use googletest::prelude::*;
use poplarswitch_client::Outcome;
use poplarswitch_wire::ErrorCode;
use std::collections::BTreeMap;

fn keyed(key: &str, outcome: Outcome) -> KeyedOutcome {
    KeyedOutcome {
        key: key.to_owned(),
        outcome,
    }
}

#[gtest]
fn each_contradiction_is_a_violation() {
    let runs = BTreeMap::from([("a".to_owned(), 2), ("b".to_owned(), 1)]);
    let outcomes = [
        keyed("a", Outcome::Answered),
        keyed("b", Outcome::NotRun(ErrorCode::Overload)),
        keyed("c", Outcome::Answered),
    ];
    let expected = vec![
        Violation::RanTwice {
            key: "a".to_owned(),
            runs: 2,
        },
        Violation::RanAfterNotRun {
            key: "b".to_owned(),
        },
        Violation::AnsweredWithoutRun {
            key: "c".to_owned(),
        },
    ];
    expect_that!(audit(&outcomes, &runs), eq(&expected));
}

#[gtest]
fn outcome_in_doubt_agrees_with_a_run_and_with_none() {
    let runs = BTreeMap::from([("a".to_owned(), 1)]);
    let doubt = Outcome::InDoubt(ErrorCode::InDoubt);
    let outcomes = [
        keyed("a", doubt),
        keyed("b", doubt),
        keyed("a", Outcome::Lost),
    ];
    expect_that!(audit(&outcomes, &runs), is_empty());
}
