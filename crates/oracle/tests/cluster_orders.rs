//! Orders to engines under pauses, lapsed leases, lost answers and outages.

use googletest::prelude::*;
use poplarswitch_oracle::{
    cluster_orders::OrdersWorld,
    cluster_orders_steps::Machine,
    cluster_run::{Search, search},
};
use poplarswitch_orders::Mutation;

fn fuzz(search_for: Search, mutation: Option<Mutation>) -> std::result::Result<(), String> {
    search::<Machine, _>(search_for, |(seed, fenced)| {
        OrdersWorld::new(*seed, *fenced, mutation)
    })
}

fn finds(mutation: Mutation) -> std::result::Result<(), String> {
    fuzz(Search::from_env(3_000, 50, 11).unshrunk(), Some(mutation))
}

#[gtest]
fn orders_never_go_back_and_never_take_needed_replicas() {
    let result = fuzz(Search::from_env(100, 50, 9), None);
    expect_that!(result, ok(eq(&())));
}

#[gtest]
fn finds_the_floor_ignored() {
    expect_that!(finds(Mutation::IgnoreMinReady), err(anything()));
}

#[gtest]
fn finds_a_lapsed_lease_kept() {
    expect_that!(finds(Mutation::KeepExpired), err(anything()));
}

#[gtest]
fn finds_orders_without_margin() {
    expect_that!(finds(Mutation::NoMargin), err(anything()));
}

#[gtest]
fn finds_replicas_not_sealed() {
    expect_that!(finds(Mutation::NoSeal), err(anything()));
}
