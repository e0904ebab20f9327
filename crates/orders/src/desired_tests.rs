use crate::desired::Group;
use googletest::prelude::*;
use poplarswitch_entity::DataCentre;
use poplarswitch_objects::{Endpoint, Model, ObjectSet, Serves};

fn set(min_ready: u32, data_centres: &[&str]) -> ObjectSet {
    let model = Model::builder()
        .name("m")
        .versions(vec!["1".into()])
        .default_class("c")
        .min_ready(min_ready)
        .build();
    let endpoints = data_centres.iter().enumerate().map(|(index, data_centre)| {
        Endpoint::builder()
            .name(format!("e-{index}").as_str())
            .address(([127, 0, 0, 1], 1).into())
            .data_centre(*data_centre)
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

fn share(set: &ObjectSet, data_centre: &str) -> u32 {
    let data_centre = DataCentre::from(data_centre);
    Group::from_set(set, Some(&data_centre)).min_ready["m"]
}

#[gtest]
fn shares_of_all_data_centres_add_up_to_min_ready() {
    let set = set(4, &["a", "a", "b", "b", "b", "c"]);
    let shares = ["a", "b", "c"].map(|data_centre| share(&set, data_centre));
    expect_that!(shares, eq([2, 1, 1]));
}

#[gtest]
fn group_of_all_data_centres_has_the_whole_min_ready() {
    let group = Group::from_set(&set(2, &["a", "b"]), None);
    expect_that!(group.min_ready["m"], eq(2));
    expect_that!(group.engines.len(), eq(2));
}
