//! Requests that crash endpoints, while messages between VMs are lost, repeated and reordered and VMs
//! start, freeze, are cut off and are killed.

use googletest::prelude::*;
use poplarswitch_oracle::{
    cluster_search::{SearchConfig, search},
    quarantine_inputs::{InputFault, InputMachine, InputSim},
    quarantine_sim::QuarantineSim,
    quarantine_steps::{Fault, Machine},
};

fn fuzz<const TURNS: bool>(
    config: SearchConfig,
    fault: Option<Fault>,
) -> std::result::Result<(), String> {
    search::<Machine<TURNS>, _>(config, |seed| QuarantineSim::new(*seed, fault))
}

fn search_with(fault: Fault) -> std::result::Result<(), String> {
    fuzz::<false>(
        SearchConfig::from_env(200, 60, 11).without_shrinking(),
        Some(fault),
    )
}

#[gtest]
fn bad_requests_are_stopped_and_sound_ones_released() {
    let result = fuzz::<false>(SearchConfig::from_env(30, 60, 4), None);
    expect_that!(result, ok(eq(&())));
}

/// Guards against requests that go on to crash endpoints because answers from before they turned bad
/// clear their first crashes.
#[gtest]
fn requests_that_turn_bad_are_stopped() {
    let result = fuzz::<true>(SearchConfig::from_env(30, 60, 4), None);
    expect_that!(result, ok(eq(&())));
}

#[gtest]
fn vms_that_count_alone_are_detected() {
    let found = search_with(Fault::CountAlone);
    expect_that!(found, err(contains_substring("was sent late")));
}

#[gtest]
fn ignored_answers_are_detected() {
    let found = search_with(Fault::IgnoreAnswers);
    expect_that!(found, err(contains_substring("holds request")));
}

#[gtest]
fn many_homes_are_detected() {
    let found = search_with(Fault::ManyHomes);
    expect_that!(found, err(contains_substring("let two trials run")));
}

fn fuzz_inputs(config: SearchConfig, fault: Option<InputFault>) -> std::result::Result<(), String> {
    search::<InputMachine, _>(config, |()| InputSim::new(fault))
}

fn search_inputs(fault: InputFault) -> std::result::Result<(), String> {
    let config = SearchConfig::from_env(60, 60, 6).without_shrinking();
    fuzz_inputs(config, Some(fault))
}

#[gtest]
fn any_inputs_keep_the_sizes_within_bounds() {
    let result = fuzz_inputs(SearchConfig::from_env(10, 60, 9), None);
    expect_that!(result, ok(eq(&())));
}

#[gtest]
fn bounds_on_parts_of_the_subjects_are_detected() {
    let found = search_inputs(InputFault::SplitSubjects);
    expect_that!(found, err(contains_substring("are allowed")));
}

#[gtest]
fn trusted_ages_are_detected() {
    let found = search_inputs(InputFault::TrustAges);
    expect_that!(found, err(contains_substring("not longer than the clock")));
}

#[gtest]
fn digests_of_double_size_are_detected() {
    let found = search_inputs(InputFault::JoinDigests);
    expect_that!(found, err(contains_substring("a digest has")));
}
