use crate::{BuildError, Catalog, Route};
use googletest::prelude::*;
use poplarswitch_entity::Generation;
use poplarswitch_objects::ObjectSet;

fn set(text: &str) -> ObjectSet {
    serde_json::from_str(text).expect("test set parses")
}

#[gtest]
fn names_and_routes_are_resolved() {
    let set = set(r#"{
        "tiers": [{"name": "low", "rank": 3}, {"name": "high", "rank": 0}],
        "classes": [{"name": "ask", "tier": "low",
            "target": {"stream": {"first_token_ms": 900, "inter_token_ms": 40}}}],
        "models": [{"name": "tiny", "versions": ["1"], "default_class": "ask"}],
        "endpoints": [{"name": "e1", "address": "127.0.0.1:1", "data_centre": "a", "slots": 4,
            "serves": {"model": {"model": "tiny", "version": "1"}}}]
    }"#);
    let catalog = Catalog::build(&set, Generation(7)).expect("set resolves");
    let class = catalog.class("ask").expect("class exists");
    expect_that!(catalog.classes[class].rank, eq(3));
    expect_that!(
        catalog.tiers[catalog.tier_order[0]].tier.name.as_str(),
        eq("high")
    );
    let route = catalog
        .route(&Route::Model("tiny".into()))
        .expect("route exists");
    expect_that!(catalog.endpoints_of(route).len(), eq(1));
}

#[gtest]
fn endpoints_of_other_data_centres_are_left_out() {
    let set = set(r#"{
        "models": [{"name": "tiny", "versions": ["1"], "default_class": "ask"}],
        "endpoints": [
            {"name": "e1", "address": "127.0.0.1:1", "data_centre": "a", "slots": 4,
                "serves": {"model": {"model": "tiny", "version": "1"}}},
            {"name": "e2", "address": "127.0.0.1:2", "data_centre": "b", "slots": 4,
                "serves": {"model": {"model": "tiny", "version": "1"}}}]
    }"#);
    let catalog = Catalog::build_within(&set, Generation(1), &["b".into()]).expect("set resolves");
    expect_that!(catalog.endpoint("e1"), none());
    expect_that!(catalog.endpoint("e2"), some(anything()));
    let whole = Catalog::build(&set, Generation(1)).expect("set resolves");
    expect_that!(whole.endpoints.len(), eq(2));
}

#[gtest]
fn missing_tier_is_reported() {
    let set = set(
        r#"{"classes": [{"name": "ask", "tier": "gone", "target": {"answer": {"answer_ms": 5}}}]}"#,
    );
    let error = Catalog::build(&set, Generation(1)).expect_err("tier is missing");
    expect_that!(
        error,
        eq(&BuildError::UnknownTier {
            class: "ask".into(),
            tier: "gone".into()
        })
    );
}
