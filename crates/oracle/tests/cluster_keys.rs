//! Keyed calls under lost and doubled messages, crashes, pauses, drains and outages.

use googletest::prelude::*;
use poplarswitch_keys::Mutation;
use poplarswitch_oracle::{
    cluster_keys::KeysWorld,
    cluster_keys_steps::Machine,
    cluster_run::{Search, search},
};

fn fuzz(search_for: Search, mutation: Option<Mutation>) -> std::result::Result<(), String> {
    search::<Machine, _>(search_for, |seed| KeysWorld::new(*seed, mutation))
}

fn finds(mutation: Mutation) -> std::result::Result<(), String> {
    fuzz(Search::from_env(8_000, 80, 11).unshrunk(), Some(mutation))
}

#[gtest]
fn keyed_calls_run_at_most_once_and_are_told_the_truth() {
    let result = fuzz(Search::from_env(300, 60, 5), None);
    expect_that!(result, ok(eq(&())));
}

#[gtest]
fn finds_a_run_without_the_home() {
    expect_that!(finds(Mutation::RunWithoutHome), err(anything()));
}

#[gtest]
fn finds_refused_calls_forgotten() {
    expect_that!(finds(Mutation::ForgetRefused), err(anything()));
}

#[gtest]
fn finds_a_second_successor() {
    expect_that!(finds(Mutation::SecondSuccessor), err(anything()));
}

#[gtest]
fn finds_a_trusted_lost_claim() {
    expect_that!(finds(Mutation::AssumeClaimGranted), err(anything()));
}

#[gtest]
fn finds_doubt_told_as_not_run() {
    expect_that!(finds(Mutation::ReportDoubtAsNotRun), err(anything()));
}

#[gtest]
fn finds_forgotten_keys() {
    expect_that!(finds(Mutation::ForgetKeys), err(anything()));
}
