use crate::{Options, Report, Scenario, Sharing, run};
use googletest::prelude::*;
use poplarswitch_scheduler::Policy;

fn run_full_policy(scenario: Scenario, vms: u32) -> Report {
    let options = Options::builder()
        .scenarios(vec![scenario])
        .vms(vec![vms])
        .policies(vec![Policy::Full])
        .sharing(vec![Sharing::Cell])
        .seeds(vec![1])
        .threads(1)
        .build();
    run(&options)
}

#[gtest]
fn same_seed_gives_the_same_figures() {
    let first = run_full_policy(Scenario::AtlasBriefing, 6);
    let second = run_full_policy(Scenario::AtlasBriefing, 6);
    expect_that!(first, eq(&second));
}

#[gtest]
fn every_call_ends_despite_a_crash() {
    for scenario in [Scenario::AtlasCrash, Scenario::AbayCrash] {
        let report = run_full_policy(scenario, 6);
        let open: u32 = report.rows[0]
            .classes
            .iter()
            .map(|class| class.unended)
            .sum();
        expect_that!(open, eq(0), "{scenario}");
    }
}

#[gtest]
fn report_is_unchanged_by_json() {
    let report = run_full_policy(Scenario::AtlasStraggle, 1);
    let text = serde_json::to_string(&report).expect("a report is JSON");
    let parsed: Report = serde_json::from_str(&text).expect("the JSON is a report");
    expect_that!(parsed, eq(&report));
}
