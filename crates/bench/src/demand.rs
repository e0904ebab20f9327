//! Random generation of the calls of a run.
//!
//! All calls are generated before the run starts, so that every policy is given the same calls.

use crate::{
    Scenario,
    engine::{EndpointKind, Engine},
    scenario::{BURST_END, BURST_START, LAST_ARRIVAL},
    world::{ENGINE_SLOTS, Workload, World},
};
use core::time::Duration;
use poplarswitch_catalog::Route;
use poplarswitch_entity::{PrefixHash, Time, WorkspaceName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Length of the longest answer, as a multiple of the median length.
const MAX_OUTPUT_FACTOR: f64 = 8.0;

/// The arrival of a call at a VM.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of the arrival.
    pub time: Time,
    /// Index of the call's workload.
    pub workload_index: usize,
    /// Workspace that sends the call.
    pub workspace: WorkspaceName,
    /// Index of the VM that the caller connects to.
    pub vm: usize,
    /// Length of the prompt, in tokens.
    pub input_tokens: u32,
    /// Length of the answer, in tokens; run time of a service call, in milliseconds.
    pub output_len: u32,
    /// Hash of the prompt's common prefix.
    pub prefix: PrefixHash,
}

/// Generates all calls of a run, in the order of their arrival.
pub fn draw_arrivals(world: &World, scenario: Scenario, vms: u32, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for workload_index in 0..world.workloads.len() {
        let mut rng = Pcg64::seed_from_u64(seed * 100 + workload_index as u64);
        draw_workload(world, scenario, workload_index, &mut rng, &mut all);
    }
    all.sort_by_key(|arrival| arrival.time);
    let mut rng = Pcg64::seed_from_u64(seed * 100 + 99);
    for arrival in &mut all {
        arrival.vm = rng.random_range(0..vms as usize);
    }
    all
}

fn draw_workload(
    world: &World,
    scenario: Scenario,
    workload_index: usize,
    rng: &mut Pcg64,
    all: &mut Vec<Arrival>,
) {
    let workload = &world.workloads[workload_index];
    let burst = burst_rate(world, scenario, workload_index);
    let max_rate = burst.max(workload.rate);
    let mut time = Time::ZERO;
    loop {
        let gap = -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / max_rate;
        time = time + Duration::from_secs_f64(gap);
        if time > LAST_ARRIVAL {
            return;
        }
        let in_burst = (BURST_START..BURST_END).contains(&time);
        let rate = if in_burst { burst } else { workload.rate };
        if rng.random_range(0.0..max_rate) < rate {
            all.push(draw_call(workload, workload_index, time, rng));
        }
    }
}

fn burst_rate(world: &World, scenario: Scenario, workload_index: usize) -> f64 {
    let workload = &world.workloads[workload_index];
    match scenario.overload_factor() {
        Some(factor) if workload_index == world.overload_workload => {
            factor * engine_count(world) / mean_engine_time(workload)
        }
        Some(_) => workload.rate,
        None => workload.burst_rate,
    }
}

fn engine_count(world: &World) -> f64 {
    let is_engine = |endpoint: &&poplarswitch_objects::Endpoint| endpoint.slots == ENGINE_SLOTS;
    world.set.endpoints.iter().filter(is_engine).count() as f64
}

fn mean_engine_time(workload: &Workload) -> f64 {
    let mean = workload.output_median * (workload.output_sigma * workload.output_sigma / 2.0).exp();
    let prefill = Engine::prefill_time(EndpointKind::Model, workload.input_tokens);
    Engine::engine_time(EndpointKind::Model, ENGINE_SLOTS, prefill, mean)
}

fn draw_call(workload: &Workload, workload_index: usize, time: Time, rng: &mut Pcg64) -> Arrival {
    let workspace = pick_workspace(rng);
    let length = workload.output_median * (workload.output_sigma * standard_normal(rng)).exp();
    let template = rng.random_range(0..workload.prefix_count);
    let input = workload.input_tokens * rng.random_range(0.7..1.3);
    Arrival {
        time,
        workload_index,
        prefix: prefix_hash(&workspace, workload_index, template),
        workspace,
        vm: 0,
        input_tokens: input as u32,
        output_len: length
            .clamp(1.0, workload.output_median * MAX_OUTPUT_FACTOR)
            .ceil() as u32,
    }
}

fn pick_workspace(rng: &mut Pcg64) -> WorkspaceName {
    let mut rest: f64 = rng.random_range(0.0..1.0);
    for (name, share) in World::workspace_shares() {
        if rest < share {
            return name;
        }
        rest -= share;
    }
    "w0".into()
}

fn standard_normal(rng: &mut Pcg64) -> f64 {
    let radius = (-2.0 * rng.random_range(f64::MIN_POSITIVE..1.0).ln()).sqrt();
    radius * (core::f64::consts::TAU * rng.random_range(0.0..1.0)).cos()
}

fn prefix_hash(workspace: &WorkspaceName, workload_index: usize, template: u64) -> PrefixHash {
    let text = workspace.as_str().bytes();
    let seed = (workload_index as u64) << 32 | template;
    PrefixHash(text.fold(seed, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    }))
}

/// The kind of endpoint that serves a workload.
pub const fn endpoint_kind(workload: &Workload) -> EndpointKind {
    match workload.route {
        Route::Model(_) => EndpointKind::Model,
        Route::Service(_) => EndpointKind::Service,
    }
}
