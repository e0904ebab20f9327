use crate::{Core, Input, ModelLoad, Observation, OrderOutcome, Output, Settings};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::{EndpointName, Incarnation, Time};
use poplarswitch_objects::{Endpoint, Model, ObjectSet, Serves};
use poplarswitch_store::MemoryStore;
use std::sync::Arc;

const NAME: &str = "e-0";

fn load(version: &str) -> ModelLoad {
    ModelLoad {
        model: "m".into(),
        version: version.into(),
        adapters: Vec::new(),
    }
}

/// A set with one engine that should serve version 2.
fn set() -> ObjectSet {
    let model = Model::builder()
        .name("m")
        .versions(vec!["2".into(), "1".into()])
        .default_class("c")
        .min_ready(0)
        .build();
    let endpoint = Endpoint::builder()
        .name(NAME)
        .address(([127, 0, 0, 1], 1).into())
        .data_centre("d")
        .serves(Serves::Model {
            model: "m".into(),
            version: "2".into(),
            adapters: Vec::new(),
        })
        .slots(1)
        .fenced(true)
        .build();
    ObjectSet {
        models: vec![model],
        endpoints: vec![endpoint],
        ..ObjectSet::default()
    }
}

/// Processes `input` or a tick with answers from the platform and from an engine that reports
/// version 1; returns the number of orders.
fn run(core: &mut Core, store: &mut MemoryStore, now: Time, input: Option<Input>) -> usize {
    let mut out = Vec::new();
    match input {
        Some(input) => core.handle(now, input, &mut out),
        None => core.tick(now, &mut out),
    }
    let mut orders = 0;
    while let Some(output) = out.pop() {
        let answer = match output {
            Output::Request { id, request } => {
                let reply = store.apply(&request);
                Input::Reply { id, reply }
            }
            Output::Observe(endpoint) => Input::Observed {
                endpoint,
                observation: Some(Observation {
                    load: Some(load("1")),
                    ready: true,
                    fencing: None,
                }),
            },
            Output::Order { .. } => {
                orders += 1;
                continue;
            }
            Output::Lease(_) => continue,
        };
        core.handle(now, answer, &mut out);
    }
    orders
}

fn at(seconds: u64) -> Time {
    Time::ZERO + Duration::from_secs(seconds)
}

#[gtest]
fn refused_order_is_repeated_only_after_the_next_observation() {
    let mut store = MemoryStore::new();
    let mut core = Core::new(Incarnation(1), Settings::builder().build(), 1);
    let first = run(
        &mut core,
        &mut store,
        at(0),
        Some(Input::Set(Arc::new(set()))),
    );
    expect_that!(first, eq(1));
    let refused = || Input::OrderEnded {
        endpoint: EndpointName::from(NAME),
        outcome: OrderOutcome::NotTaken,
    };
    expect_that!(run(&mut core, &mut store, at(1), Some(refused())), eq(0));
    expect_that!(run(&mut core, &mut store, at(4), None), eq(0));
    expect_that!(run(&mut core, &mut store, at(5), None), eq(1));
}
