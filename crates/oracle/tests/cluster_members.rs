//! Membership and drain under crashes, pauses, one-way cuts and replacement.

use googletest::prelude::*;
use poplarswitch_members::Mutation;
use poplarswitch_oracle::{
    cluster_members::MembersWorld,
    cluster_members_steps::Machine,
    cluster_run::{Search, search},
};

fn fuzz(search_for: Search, mutation: Option<Mutation>) -> std::result::Result<(), String> {
    search::<Machine, _>(search_for, |seed| MembersWorld::new(*seed, mutation, None))
}

fn finds(mutation: Mutation) -> std::result::Result<(), String> {
    fuzz(Search::from_env(200, 40, 11).unshrunk(), Some(mutation))
}

#[gtest]
fn live_members_stay_listed_and_leaving_or_dead_ones_do_not() {
    let result = fuzz(Search::from_env(40, 40, 3), None);
    expect_that!(result, ok(eq(&())));
}

#[gtest]
fn finds_a_lone_suspicion() {
    expect_that!(finds(Mutation::SuspectUnconfirmed), err(anything()));
}

#[gtest]
fn finds_a_silent_leave() {
    expect_that!(finds(Mutation::LeaveSilently), err(anything()));
}

#[gtest]
fn finds_a_dead_member_kept() {
    expect_that!(finds(Mutation::NeverSuspect), err(anything()));
}

#[gtest]
fn finds_calls_cut_by_a_drain() {
    let fault = poplarswitch_discovery::Mutation::CutInFlight;
    let search_for = Search::from_env(200, 40, 11).unshrunk();
    let result = search::<Machine, _>(search_for, |seed| {
        MembersWorld::new(*seed, None, Some(fault))
    });
    expect_that!(result, err(anything()));
}
