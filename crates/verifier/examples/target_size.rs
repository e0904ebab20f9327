//! Measures the memory of a set of the target size, the time of its check, and the time and memory
//! of its resolution into a catalog.
//!
//! The set has 6,500 endpoints in 28 data centres, 33 models and 900 workspaces.

use core::net::{Ipv4Addr, SocketAddr};
use poplarswitch_catalog::Catalog;
use poplarswitch_entity::{DataCentre, Generation, ModelName};
use poplarswitch_objects::{
    Class, Endpoint, KeyHash, Model, ObjectSet, Serves, Target, Tier, Workspace,
};
use poplarswitch_verifier::verify;
use std::{error::Error, fs, time::Instant};

const TIERS: u8 = 4;
const CLASSES: usize = 12;
const MODELS: usize = 33;
const WORKSPACES: usize = 900;
const ENDPOINTS: u32 = 6_500;
const DATA_CENTRES: u32 = 28;
const ROUNDS: u32 = 20;
const PAGE_BYTES: usize = 4_096;

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
        let keys = vec![KeyHash::from_key(&name)];
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

fn main() -> Result<(), Box<dyn Error>> {
    let before = resident_bytes()?;
    let set = set();
    let memory = resident_bytes()?.saturating_sub(before);
    let bytes = serde_json::to_vec(&set)?.len();
    println!(
        "{} objects, {bytes} bytes as JSON, {memory} bytes in memory",
        set.len()
    );
    let start = Instant::now();
    let findings: usize = (0..ROUNDS).map(|_| verify(&set).len()).sum();
    println!("check: {findings} findings, {:?}", start.elapsed() / ROUNDS);
    resolve(&set, "all data centres", &[])?;
    resolve(&set, "one data centre", &["dc-00".into()])
}

/// Measures the time of the resolution of a set and the memory of the catalog.
fn resolve(
    set: &ObjectSet,
    scope: &str,
    data_centres: &[DataCentre],
) -> Result<(), Box<dyn Error>> {
    let before = resident_bytes()?;
    let start = Instant::now();
    let catalog = Catalog::build_within(set, Generation(1), data_centres)?;
    let elapsed = start.elapsed();
    let memory = resident_bytes()?.saturating_sub(before);
    let endpoints = catalog.endpoints.len();
    println!("catalog of {scope}: {endpoints} endpoints, {elapsed:?}, {memory} bytes in memory");
    Ok(())
}

/// Resident memory of this process in bytes, a multiple of the page size.
fn resident_bytes() -> Result<usize, Box<dyn Error>> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages: usize = text.split_whitespace().nth(1).unwrap_or_default().parse()?;
    Ok(pages * PAGE_BYTES)
}
