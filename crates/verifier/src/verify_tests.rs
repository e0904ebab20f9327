use crate::{VerifiedSet, fixture, verify_located};
use googletest::prelude::*;
use poplarswitch_objects::read_dir;
use serde_json::json;
use std::fs;

#[gtest]
fn only_set_without_errors_is_verified() {
    let valid = fixture::set(fixture::tree());
    let verified = VerifiedSet::new(&valid).expect("the set is valid");
    expect_that!(verified.set(), eq(&valid));
    let invalid = fixture::set(fixture::tree_with("/endpoints/0/slots", json!(0)));
    expect_that!(VerifiedSet::new(&invalid).is_err(), eq(true));
}

#[gtest]
fn set_with_warnings_only_is_verified() {
    let set = fixture::set(fixture::tree_with("/workspaces/0/keys", json!([])));
    expect_that!(VerifiedSet::new(&set).is_ok(), eq(true));
}

#[gtest]
fn finding_gives_location_in_file() {
    let root = tempfile::TempDir::new().expect("a directory");
    let tiers =
        r#"[{"kind": "tier", "name": "a", "rank": 0}, {"kind": "tier", "name": "b", "rank": 0}]"#;
    fs::write(root.path().join("tiers.json"), tiers).expect("a file");
    let located = read_dir(root.path()).expect("the file is valid");
    expect_that!(
        verify_located(&located).to_string(),
        starts_with("tiers.json[1]: error: tier \"b\" field `rank`: tier a also has rank 0")
    );
}
