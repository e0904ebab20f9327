use crate::verify_located;
use googletest::prelude::*;
use poplarswitch_objects::{KeyHash, LocatedSet, Serves, read_dir};
use std::path::Path;

fn example(name: &str) -> LocatedSet {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../sets");
    read_dir(&root.join(name)).expect("every file is valid")
}

#[gtest]
fn example_sets_have_no_findings() {
    for name in ["atlas", "abay"] {
        expect_that!(verify_located(&example(name)).to_string(), eq(""));
    }
}

#[gtest]
fn example_sets_have_expected_sizes() {
    for (name, models, services) in [("atlas", 9, 3), ("abay", 18, 3)] {
        let set = example(name).set;
        let is_engine = |serves: &Serves| matches!(serves, Serves::Model { .. });
        let (engines, instances): (Vec<_>, Vec<_>) = set
            .endpoints
            .iter()
            .partition(|endpoint| is_engine(&endpoint.serves));
        expect_that!((engines.len(), instances.len()), eq((models, services)));
        expect_that!(set.workspaces.len(), eq(10));
    }
}

#[gtest]
fn example_keys_contain_workspace_names() {
    for workspace in example("atlas").set.workspaces {
        let key = KeyHash::from_key(&format!("example-{}", workspace.name));
        expect_that!(workspace.keys, eq(&[key]));
    }
}
