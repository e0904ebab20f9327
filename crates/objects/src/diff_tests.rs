use crate::{Change, ObjectSet, diff};
use googletest::prelude::*;

fn set(text: &str) -> ObjectSet {
    serde_json::from_str(text).expect("test set parses")
}

#[gtest]
fn changes_list_each_object_and_field_that_differs() {
    let old = set(
        r#"{"tiers": [{"name": "a", "rank": 0}, {"name": "b", "rank": 1}],
            "workspaces": [{"name": "w", "limits": {"rate": 5}}]}"#,
    );
    let new = set(
        r#"{"tiers": [{"name": "c", "rank": 2}, {"name": "b", "rank": 1}],
            "workspaces": [{"name": "w", "limits": {"rate": 6}}]}"#,
    );
    let lines: Vec<String> = diff(&old, &new).iter().map(Change::to_string).collect();
    expect_that!(
        lines,
        eq(&[
            "- tier a",
            "+ tier c",
            "~ workspace w\n    limits.rate: 5 -> 6"
        ])
    );
}

#[gtest]
fn order_of_objects_is_ignored() {
    let old = set(r#"{"tiers": [{"name": "a", "rank": 0}, {"name": "b", "rank": 1}]}"#);
    let new = set(r#"{"tiers": [{"name": "b", "rank": 1}, {"name": "a", "rank": 0}]}"#);
    expect_that!(diff(&old, &new), is_empty());
}

#[gtest]
fn change_of_variant_shows_removed_and_added_fields() {
    let old =
        set(r#"{"classes": [{"name": "a", "tier": "t", "target": {"answer": {"answer_ms": 5}}}]}"#);
    let new = set(r#"{"classes": [{"name": "a", "tier": "t",
            "target": {"stream": {"first_token_ms": 5, "inter_token_ms": 4}}}]}"#);
    let text = diff(&old, &new)[0].to_string();
    expect_that!(
        text,
        contains_substring("target.answer.answer_ms: 5 -> unset")
    );
    expect_that!(
        text,
        contains_substring("target.stream.first_token_ms: unset -> 5")
    );
}
