//! Membership and drain under crashes, pauses, one-way message loss and replacement of VMs.

use googletest::prelude::*;
use poplarswitch_members::Mutation;
use poplarswitch_oracle::{
    cluster_members::MembersSim,
    cluster_members_steps::Machine,
    cluster_search::{SearchConfig, search},
};

fn fuzz(config: SearchConfig, mutation: Option<Mutation>) -> std::result::Result<(), String> {
    search::<Machine, _>(config, |seed| MembersSim::new(*seed, mutation, None))
}

fn search_with(mutation: Mutation) -> std::result::Result<(), String> {
    fuzz(
        SearchConfig::from_env(200, 40, 11).without_shrinking(),
        Some(mutation),
    )
}

#[gtest]
fn answers_list_live_members_but_no_leaving_or_dead_ones() {
    let result = fuzz(SearchConfig::from_env(40, 40, 3), None);
    expect_that!(result, ok(eq(&())));
}

#[gtest]
fn unconfirmed_suspicion_is_detected() {
    expect_that!(search_with(Mutation::SuspectUnconfirmed), err(anything()));
}

#[gtest]
fn unannounced_leave_is_detected() {
    expect_that!(search_with(Mutation::LeaveSilently), err(anything()));
}

#[gtest]
fn dead_member_never_suspected_is_detected() {
    expect_that!(search_with(Mutation::NeverSuspect), err(anything()));
}

#[gtest]
fn calls_cut_by_a_drain_are_detected() {
    let fault = poplarswitch_discovery::Mutation::CutInFlight;
    let config = SearchConfig::from_env(200, 40, 11).without_shrinking();
    let result = search::<Machine, _>(config, |seed| MembersSim::new(*seed, None, Some(fault)));
    expect_that!(result, err(anything()));
}
