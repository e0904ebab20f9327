//! Keyed calls under message loss and duplication, crashes, pauses, drains and outages.

use googletest::prelude::*;
use poplarswitch_keys::Mutation;
use poplarswitch_oracle::{
    cluster_keys::KeysSim,
    cluster_keys_steps::Machine,
    cluster_search::{SearchConfig, search},
};

fn fuzz(config: SearchConfig, mutation: Option<Mutation>) -> std::result::Result<(), String> {
    search::<Machine, _>(config, |seed| KeysSim::new(*seed, mutation))
}

fn search_with(mutation: Mutation) -> std::result::Result<(), String> {
    fuzz(
        SearchConfig::from_env(8_000, 80, 11).without_shrinking(),
        Some(mutation),
    )
}

#[gtest]
fn keyed_calls_run_at_most_once_and_get_true_outcomes() {
    let result = fuzz(SearchConfig::from_env(300, 60, 5), None);
    expect_that!(result, ok(eq(&())));
}

#[gtest]
fn run_without_home_is_detected() {
    expect_that!(search_with(Mutation::RunWithoutHome), err(anything()));
}

#[gtest]
fn forgotten_refused_call_is_detected() {
    expect_that!(search_with(Mutation::ForgetRefused), err(anything()));
}

#[gtest]
fn second_successor_is_detected() {
    expect_that!(search_with(Mutation::SecondSuccessor), err(anything()));
}

#[gtest]
fn claim_assumed_granted_is_detected() {
    expect_that!(search_with(Mutation::AssumeClaimGranted), err(anything()));
}

#[gtest]
fn doubt_reported_as_not_run_is_detected() {
    expect_that!(search_with(Mutation::ReportDoubtAsNotRun), err(anything()));
}

#[gtest]
fn forgotten_key_is_detected() {
    expect_that!(search_with(Mutation::ForgetKeys), err(anything()));
}
