//! Orders to engines under pauses, expired leases, lost replies and outages.

use googletest::prelude::*;
use poplarswitch_oracle::{
    cluster_orders::OrdersSim,
    cluster_orders_steps::Machine,
    cluster_search::{SearchConfig, search},
};
use poplarswitch_orders::Mutation;

fn fuzz(config: SearchConfig, mutation: Option<Mutation>) -> std::result::Result<(), String> {
    search::<Machine, _>(config, |(seed, fenced)| {
        OrdersSim::new(*seed, *fenced, mutation)
    })
}

fn search_with(mutation: Mutation) -> std::result::Result<(), String> {
    fuzz(
        SearchConfig::from_env(3_000, 50, 11).without_shrinking(),
        Some(mutation),
    )
}

#[gtest]
fn fencing_numbers_never_decrease_and_needed_replicas_stay_ready() {
    let result = fuzz(SearchConfig::from_env(100, 50, 9), None);
    expect_that!(result, ok(eq(&())));
}

#[gtest]
fn ignored_min_ready_is_detected() {
    expect_that!(search_with(Mutation::IgnoreMinReady), err(anything()));
}

#[gtest]
fn kept_expired_lease_is_detected() {
    expect_that!(search_with(Mutation::KeepExpired), err(anything()));
}

#[gtest]
fn orders_without_margin_around_a_lease_change_are_detected() {
    expect_that!(search_with(Mutation::NoMargin), err(anything()));
}

#[gtest]
fn unsealed_replicas_counted_as_ready_are_detected() {
    expect_that!(search_with(Mutation::NoSeal), err(anything()));
}
