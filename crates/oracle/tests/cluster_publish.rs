//! Publication under racing operators, lost answers, outages, restarts and stale peers.

use googletest::prelude::*;
use poplarswitch_oracle::{
    cluster_publish::{Machine, PublishWorld},
    cluster_run::{Search, search},
};
use poplarswitch_publish::Mutation;

fn fuzz(search_for: Search, mutation: Option<Mutation>) -> std::result::Result<(), String> {
    search::<Machine, _>(search_for, |seed| PublishWorld::new(*seed, mutation))
}

fn finds(mutation: Mutation) -> std::result::Result<(), String> {
    fuzz(Search::from_env(400, 40, 11).unshrunk(), Some(mutation))
}

#[gtest]
fn accepted_sets_get_in_force_and_never_go_back() {
    let result = fuzz(Search::from_env(60, 40, 7), None);
    expect_that!(result, ok(eq(&())));
}

#[gtest]
fn finds_a_blind_update() {
    expect_that!(finds(Mutation::UnconditionalUpdate), err(anything()));
}

#[gtest]
fn finds_a_trusted_lost_answer() {
    expect_that!(finds(Mutation::AssumeWritten), err(anything()));
}

#[gtest]
fn finds_a_repeat_on_top() {
    expect_that!(finds(Mutation::RetryOnNewHead), err(anything()));
}

#[gtest]
fn finds_an_older_release_taken() {
    expect_that!(finds(Mutation::AcceptOlder), err(anything()));
}

#[gtest]
fn finds_news_ignored() {
    expect_that!(finds(Mutation::IgnoreReleases), err(anything()));
}
