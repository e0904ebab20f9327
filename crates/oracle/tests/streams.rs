//! Streams are never continued at another or unknown version than the one that sent their first event.

use googletest::prelude::*;
use poplarswitch_oracle::{
    cluster_search::{SearchConfig, search},
    streams_sim::{Fault, Machine, StreamsSim},
};

fn search_with(fault: Fault) -> std::result::Result<(), String> {
    let config = SearchConfig::from_env(200, 60, 11).without_shrinking();
    search::<Machine<true>, _>(config, |seed| StreamsSim::new(*seed, Some(fault)))
}

#[gtest]
fn streams_go_on_only_at_their_version() {
    let config = SearchConfig::from_env(300, 60, 4);
    let result = search::<Machine<false>, _>(config, |seed| StreamsSim::new(*seed, None));
    expect_that!(result, ok(eq(&())));
}

/// Guards against streams that pass for ones of the only version, though an endpoint began them that had
/// just been replaced.
#[gtest]
fn streams_without_a_name_go_on_only_at_their_version() {
    let config = SearchConfig::from_env(3_000, 60, 41);
    let result = search::<Machine<true>, _>(config, |seed| StreamsSim::new(*seed, None));
    expect_that!(result, ok(eq(&())));
}

#[gtest]
fn streams_that_go_on_at_any_version_are_detected() {
    let found = search_with(Fault::AnyVersion);
    expect_that!(found, err(contains_substring("went on at version")));
}

#[gtest]
fn versions_that_are_assumed_are_detected() {
    let found = search_with(Fault::AssumeFirst);
    expect_that!(found, err(contains_substring("went on at version")));
}
