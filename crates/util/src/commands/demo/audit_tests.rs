use super::{
    audit::{Told, audit},
    report::Broken,
};
use googletest::prelude::*;
use poplarswitch_client::Outcome;
use poplarswitch_wire::ErrorCode;
use std::collections::BTreeMap;

fn told(key: &str, outcome: Outcome) -> Told {
    Told {
        key: key.to_owned(),
        outcome,
    }
}

#[gtest]
fn finds_each_contradiction() {
    let runs = BTreeMap::from([("a".to_owned(), 2), ("b".to_owned(), 1)]);
    let told = [
        told("a", Outcome::Answered),
        told("b", Outcome::NotRun(ErrorCode::Overload)),
        told("c", Outcome::Answered),
    ];
    let expected = vec![
        Broken::RanTwice {
            key: "a".to_owned(),
            runs: 2,
        },
        Broken::RanAfterNotRun {
            key: "b".to_owned(),
        },
        Broken::AnsweredWithoutRun {
            key: "c".to_owned(),
        },
    ];
    expect_that!(audit(&told, &runs), eq(&expected));
}

#[gtest]
fn doubt_allows_either() {
    let runs = BTreeMap::from([("a".to_owned(), 1)]);
    let doubt = Outcome::InDoubt(ErrorCode::InDoubt);
    let told = [told("a", doubt), told("b", doubt), told("a", Outcome::Lost)];
    expect_that!(audit(&told, &runs), is_empty());
}
