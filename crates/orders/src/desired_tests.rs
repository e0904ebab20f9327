use crate::desired::Group;
use googletest::prelude::*;
use poplarswitch_entity::DataCentre;
use poplarswitch_objects::{Endpoint, Model, ObjectSet, Serves};

fn set(min_ready: u32, places: &[&str]) -> ObjectSet {
    let model = Model::builder()
        .name("m")
        .versions(vec!["1".into()])
        .default_class("c")
        .min_ready(min_ready)
        .build();
    let endpoints = places.iter().enumerate().map(|(index, place)| {
        Endpoint::builder()
            .name(format!("e-{index}").as_str())
            .address(([127, 0, 0, 1], 1).into())
            .data_centre(*place)
            .serves(Serves::Model {
                model: "m".into(),
                version: "1".into(),
                adapters: Vec::new(),
            })
            .slots(1)
            .build()
    });
    ObjectSet {
        models: vec![model],
        endpoints: endpoints.collect(),
        ..ObjectSet::default()
    }
}

fn share(set: &ObjectSet, place: &str) -> u32 {
    let place = DataCentre::from(place);
    Group::from_set(set, Some(&place)).min_ready["m"]
}

#[gtest]
fn shares_add_up_to_the_whole() {
    let set = set(4, &["a", "a", "b", "b", "b", "c"]);
    let shares = ["a", "b", "c"].map(|place| share(&set, place));
    expect_that!(shares, eq([2, 1, 1]));
}

#[gtest]
fn one_group_keeps_the_whole() {
    let group = Group::from_set(&set(2, &["a", "b"]), None);
    expect_that!(group.min_ready["m"], eq(2));
    expect_that!(group.engines.len(), eq(2));
}
