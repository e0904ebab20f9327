//! Measures the check of a set of the target's size: 6,500 endpoints, 900 workspaces and 33
//! models in 28 data centres.

use core::net::{Ipv4Addr, SocketAddr};
use poplarswitch_entity::ModelName;
use poplarswitch_objects::{
    Class, Endpoint, KeyHash, Model, ObjectSet, Serves, Target, Tier, Workspace,
};
use poplarswitch_verifier::verify;
use std::time::Instant;

const TIERS: u8 = 4;
const CLASSES: usize = 12;
const MODELS: usize = 33;
const WORKSPACES: usize = 900;
const ENDPOINTS: u32 = 6_500;
const DATA_CENTRES: u32 = 28;
const ROUNDS: u32 = 20;

fn model_name(number: usize) -> ModelName {
    ModelName::new(format!("model-{number:02}"))
}

fn class(number: usize) -> Class {
    let target = Target::Stream {
        first_token_ms: 1_500,
        inter_token_ms: 27,
    };
    Class::builder()
        .name(format!("class-{number}").as_str())
        .tier(format!("tier-{}", number % usize::from(TIERS)).as_str())
        .target(target)
        .models((0..MODELS).map(model_name).collect())
        .build()
}

fn endpoint(number: u32) -> Endpoint {
    let ip = Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 1)) + number);
    Endpoint::builder()
        .name(format!("endpoint-{number:04}").as_str())
        .address(SocketAddr::new(ip.into(), 8_000))
        .data_centre(format!("dc-{:02}", number % DATA_CENTRES).as_str())
        .serves(Serves::Model {
            model: model_name(number as usize % MODELS),
            version: "1".into(),
            adapters: Vec::new(),
        })
        .slots(16)
        .build()
}

fn set() -> ObjectSet {
    let tier = |rank: u8| {
        let name = format!("tier-{rank}");
        Tier::builder().name(name.as_str()).rank(rank).build()
    };
    let workspace = |number: usize| {
        let name = format!("workspace-{number:03}");
        let keys = vec![KeyHash::of(&name)];
        Workspace::builder().name(name.as_str()).keys(keys).build()
    };
    let model = |number: usize| {
        Model::builder()
            .name(model_name(number).as_str())
            .versions(vec!["1".into()])
            .default_class("class-0")
            .build()
    };
    ObjectSet {
        tiers: (0..TIERS).map(tier).collect(),
        classes: (0..CLASSES).map(class).collect(),
        workspaces: (0..WORKSPACES).map(workspace).collect(),
        models: (0..MODELS).map(model).collect(),
        services: Vec::new(),
        endpoints: (0..ENDPOINTS).map(endpoint).collect(),
    }
}

fn main() {
    let set = set();
    let bytes = serde_json::to_vec(&set).map_or(0, |text| text.len());
    let began = Instant::now();
    let findings: usize = (0..ROUNDS).map(|_| verify(&set).len()).sum();
    let each = began.elapsed() / ROUNDS;
    println!(
        "{} objects, {bytes} bytes, {findings} findings, {each:?} a check",
        set.len()
    );
}
