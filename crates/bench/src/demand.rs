//! The calls of a run, drawn before it starts so that every policy meets the same ones.

use crate::{
    Scenario,
    engine::{Engine, Kind},
    scenario::{BURST_END, BURST_START, LAST_ARRIVAL},
    world::{ENGINE_SLOTS, Workload, World},
};
use core::time::Duration;
use poplarswitch_catalog::Route;
use poplarswitch_entity::{PrefixHash, Time, WorkspaceName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Largest answer, as a multiple of the median.
const MAX_STRETCH: f64 = 8.0;

/// A call that will arrive.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When.
    pub at: Time,
    /// Index of its workload.
    pub class: usize,
    /// Who asks.
    pub workspace: WorkspaceName,
    /// Index of the VM that the caller connects to.
    pub vm: usize,
    /// Length of the prompt.
    pub input: u32,
    /// Length of the answer; of a service call, its milliseconds.
    pub length: u32,
    /// Hash of the common prefix.
    pub prefix: PrefixHash,
}

/// Draws all calls of a run.
pub fn arrivals(world: &World, scenario: Scenario, vms: u32, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for class in 0..world.workloads.len() {
        let mut rng = Pcg64::seed_from_u64(seed * 100 + class as u64);
        draw_class(world, scenario, class, &mut rng, &mut all);
    }
    all.sort_by_key(|arrival| arrival.at);
    let mut rng = Pcg64::seed_from_u64(seed * 100 + 99);
    for arrival in &mut all {
        arrival.vm = rng.random_range(0..vms as usize);
    }
    all
}

fn draw_class(
    world: &World,
    scenario: Scenario,
    class: usize,
    rng: &mut Pcg64,
    all: &mut Vec<Arrival>,
) {
    let work = &world.workloads[class];
    let burst = burst_rate(world, scenario, class);
    let top = burst.max(work.rate);
    let mut at = Time::ZERO;
    loop {
        let gap = -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / top;
        at = at + Duration::from_secs_f64(gap);
        if at > LAST_ARRIVAL {
            return;
        }
        let in_burst = (BURST_START..BURST_END).contains(&at);
        let rate = if in_burst { burst } else { work.rate };
        if rng.random_range(0.0..top) < rate {
            all.push(draw(work, class, at, rng));
        }
    }
}

fn burst_rate(world: &World, scenario: Scenario, class: usize) -> f64 {
    let work = &world.workloads[class];
    match scenario.crowding() {
        Some(factor) if class == world.crowd => factor * engines(world) / mean_cost(work),
        Some(_) => work.rate,
        None => work.burst,
    }
}

fn engines(world: &World) -> f64 {
    let slots = |endpoint: &&poplarswitch_objects::Endpoint| endpoint.slots == ENGINE_SLOTS;
    world.set.endpoints.iter().filter(slots).count() as f64
}

fn mean_cost(work: &Workload) -> f64 {
    let mean = work.output * (work.spread * work.spread / 2.0).exp();
    let prefill = Engine::prefill_time(Kind::Model, work.input);
    Engine::cost(Kind::Model, ENGINE_SLOTS, prefill, mean)
}

fn draw(work: &Workload, class: usize, at: Time, rng: &mut Pcg64) -> Arrival {
    let workspace = pick_workspace(rng);
    let length = work.output * (work.spread * normal(rng)).exp();
    let template = rng.random_range(0..work.prefixes);
    let input = work.input * rng.random_range(0.7..1.3);
    Arrival {
        at,
        class,
        prefix: prefix_hash(&workspace, class, template),
        workspace,
        vm: 0,
        input: input as u32,
        length: length.clamp(1.0, work.output * MAX_STRETCH).ceil() as u32,
    }
}

fn pick_workspace(rng: &mut Pcg64) -> WorkspaceName {
    let mut left: f64 = rng.random_range(0.0..1.0);
    for (name, share) in World::shares() {
        if left < share {
            return name;
        }
        left -= share;
    }
    "w0".into()
}

fn normal(rng: &mut Pcg64) -> f64 {
    let radius = (-2.0 * rng.random_range(f64::MIN_POSITIVE..1.0).ln()).sqrt();
    radius * (core::f64::consts::TAU * rng.random_range(0.0..1.0)).cos()
}

fn prefix_hash(workspace: &WorkspaceName, class: usize, template: u64) -> PrefixHash {
    let text = workspace.as_str().bytes();
    let seed = (class as u64) << 32 | template;
    PrefixHash(text.fold(seed, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    }))
}

/// What kind of endpoint a workload runs at.
pub const fn kind_of(work: &Workload) -> Kind {
    match work.route {
        Route::Model(_) => Kind::Model,
        Route::Service(_) => Kind::Service,
    }
}
