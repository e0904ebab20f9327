//! Limits that endpoints name, while messages between VMs are lost, repeated and reordered and VMs start,
//! freeze, are cut off and are killed.

use googletest::prelude::*;
use poplarswitch_oracle::{
    cluster_search::{SearchConfig, search},
    limits_sim::LimitsSim,
    limits_steps::{Fault, Machine},
};

fn fuzz(config: SearchConfig, fault: Option<Fault>) -> std::result::Result<(), String> {
    search::<Machine, _>(config, |seed| LimitsSim::new(*seed, fault))
}

fn search_with(fault: Fault) -> std::result::Result<(), String> {
    let config = SearchConfig::from_env(200, 60, 11).without_shrinking();
    fuzz(config, Some(fault))
}

#[gtest]
fn requests_of_all_vms_keep_to_the_limits() {
    let result = fuzz(SearchConfig::from_env(30, 60, 4), None);
    expect_that!(result, ok(eq(&())));
}

#[gtest]
fn many_owners_are_detected() {
    let found = search_with(Fault::ManyOwners);
    expect_that!(found, err(contains_substring("are allowed")));
}

#[gtest]
fn limits_that_nobody_is_told_of_are_detected() {
    let found = search_with(Fault::NoNews);
    expect_that!(found, err(contains_substring("are allowed")));
}
