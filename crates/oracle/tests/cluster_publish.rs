//! Publication under concurrent operators, lost replies, outages, restarts and stale peers.

use googletest::prelude::*;
use poplarswitch_oracle::{
    cluster_publish::{Machine, PublishSim},
    cluster_search::{SearchConfig, search},
};
use poplarswitch_publish::Mutation;

fn fuzz(config: SearchConfig, mutation: Option<Mutation>) -> std::result::Result<(), String> {
    search::<Machine, _>(config, |seed| PublishSim::new(*seed, mutation))
}

fn search_with(mutation: Mutation) -> std::result::Result<(), String> {
    fuzz(
        SearchConfig::from_env(400, 40, 11).without_shrinking(),
        Some(mutation),
    )
}

#[gtest]
fn accepted_sets_come_into_force_and_generations_never_decrease() {
    let result = fuzz(SearchConfig::from_env(60, 40, 7), None);
    expect_that!(result, ok(eq(&())));
}

#[gtest]
fn unconditional_update_is_detected() {
    expect_that!(search_with(Mutation::UnconditionalUpdate), err(anything()));
}

#[gtest]
fn update_assumed_written_is_detected() {
    expect_that!(search_with(Mutation::AssumeWritten), err(anything()));
}

#[gtest]
fn retry_on_new_head_is_detected() {
    expect_that!(search_with(Mutation::RetryOnNewHead), err(anything()));
}

#[gtest]
fn accepted_older_release_is_detected() {
    expect_that!(search_with(Mutation::AcceptOlder), err(anything()));
}

#[gtest]
fn ignored_releases_are_detected() {
    expect_that!(search_with(Mutation::IgnoreReleases), err(anything()));
}
