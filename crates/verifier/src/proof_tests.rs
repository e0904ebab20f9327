use crate::{VerifiedSet, fixture, verify_located};
use googletest::prelude::*;
use poplarswitch_objects::read_dir;
use serde_json::json;
use std::fs;

#[gtest]
fn only_a_set_without_errors_is_verified() {
    let good = fixture::set(fixture::tree());
    let verified = VerifiedSet::new(&good).expect("the set is good");
    expect_that!(verified.set(), eq(&good));
    let bad = fixture::set(fixture::with("/endpoints/0/slots", json!(0)));
    expect_that!(VerifiedSet::new(&bad).is_err(), eq(true));
}

#[gtest]
fn a_warning_does_not_stop_publication() {
    let set = fixture::set(fixture::with("/workspaces/0/keys", json!([])));
    expect_that!(VerifiedSet::new(&set).is_ok(), eq(true));
}

#[gtest]
fn a_finding_of_a_file_names_it() {
    let root = tempfile::TempDir::new().expect("a directory");
    let tiers =
        r#"[{"kind": "tier", "name": "a", "rank": 0}, {"kind": "tier", "name": "b", "rank": 0}]"#;
    fs::write(root.path().join("tiers.json"), tiers).expect("a file");
    let located = read_dir(root.path()).expect("the file is good");
    expect_that!(
        verify_located(&located).to_string(),
        starts_with("tiers.json[1]: error: tier \"b\" field `rank`: tier a has rank 0 too")
    );
}
