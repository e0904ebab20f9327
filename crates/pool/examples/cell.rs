//! Measures what sharing pools costs each VM of a cell: messages, bytes and processor time.
//!
//! `cell [VMS] [CALLS_PER_SECOND] [ROUTES]`: streamed calls arrive at all VMs for a minute of
//! virtual time, with progress for each call until its end.

use core::time::Duration;
use poplarswitch_catalog::{Catalog, Route};
use poplarswitch_entity::{CallId, Generation, Incarnation, PrefixHash, Time};
use poplarswitch_objects::ObjectSet;
use poplarswitch_pool::{Input, Output, Pool, PoolMessage};
use poplarswitch_scheduler::{self as scheduler, Dispatch, End, Ended, Policy, Progress, Request};
use serde_json::json;
use std::{collections::BTreeMap, env, error::Error, sync::Arc, time::Instant};

/// Time that is simulated.
const SPAN: Duration = Duration::from_mins(1);
/// One-way time of a message between two VMs.
const DELAY: Duration = Duration::from_micros(500);
/// Time to the first token.
const FIRST: Duration = Duration::from_millis(300);
/// Time between two tokens.
const TOKEN: Duration = Duration::from_millis(27);
/// Tokens of each answer.
const TOKENS: u32 = 316;
/// Endpoints of each route.
const ENDPOINTS: usize = 7;
/// Tokens between two reports of progress to the pool.
const STRIDE: u32 = 10;
/// Wait between two looks at a pool's clock.
const STEP: Duration = Duration::from_millis(5);

/// When something is due; equal times keep their order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    at: Time,
    seq: u64,
}

struct Planned {
    vm: usize,
    due: Due,
}

/// Something that is due at one VM.
enum Due {
    Arrive(u64),
    Tokens(Dispatch, u32),
    Message(Incarnation, Box<PoolMessage>),
    Tick,
}

#[derive(Default)]
struct World {
    due: BTreeMap<Turn, Planned>,
    seq: u64,
    messages: u64,
    bytes: u64,
    refused: u64,
    ended: u64,
}

impl World {
    fn plan(&mut self, at: Time, vm: usize, due: Due) {
        self.seq += 1;
        let turn = Turn { at, seq: self.seq };
        self.due.insert(turn, Planned { vm, due });
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut numbers = env::args().skip(1).map(|text| text.parse::<usize>());
    let vms = numbers.next().transpose()?.unwrap_or(12);
    let rate = numbers.next().transpose()?.unwrap_or(204);
    let routes = numbers.next().transpose()?.unwrap_or(33);
    let catalog = Arc::new(Catalog::build(&set(routes)?, Generation(1))?);
    let members: Vec<_> = (1..=vms as u64).map(Incarnation).collect();
    let mut pools: Vec<_> = members
        .iter()
        .map(|me| Pool::new(*me, Arc::clone(&catalog), Policy::Full, me.0))
        .collect();
    let mut world = World::default();
    for (vm, pool) in pools.iter_mut().enumerate() {
        pool.handle(Time::ZERO, Input::Members(members.clone()), &mut Vec::new());
        world.plan(Time::ZERO, vm, Due::Tick);
    }
    let calls = rate as u64 * SPAN.as_secs();
    for call in 0..calls {
        let at = Time::ZERO + SPAN.mul_f64(call as f64 / calls as f64);
        world.plan(at, call as usize % vms, Due::Arrive(call));
    }
    let began = Instant::now();
    run(&mut world, &mut pools, routes)?;
    report(&world, vms, began.elapsed());
    Ok(())
}

fn run(world: &mut World, pools: &mut [Pool], routes: usize) -> Result<(), Box<dyn Error>> {
    let end = Time::ZERO + SPAN;
    while let Some((turn, Planned { vm, due })) = world.due.pop_first() {
        let now = turn.at;
        if now >= end {
            return Ok(());
        }
        let mut out = Vec::new();
        let pool = &mut pools[vm];
        match due {
            Due::Arrive(call) => {
                let request = request(pool.me(), call, routes);
                pool.handle(
                    now,
                    Input::Local(scheduler::Input::Submit(request)),
                    &mut out,
                );
            }
            Due::Tokens(dispatch, tokens) => {
                let input = generated(world, now, vm, dispatch, tokens);
                pool.handle(now, Input::Local(input), &mut out);
            }
            Due::Message(from, message) => {
                let message = *message;
                pool.handle(now, Input::Peer { from, message }, &mut out);
            }
            Due::Tick => {
                if pool.next_wake().is_some_and(|wake| wake <= now) {
                    pool.tick(now, &mut out);
                }
                world.plan(now + STEP, vm, Due::Tick);
            }
        }
        carry(world, now, vm, pool.me(), out)?;
    }
    Ok(())
}

/// The next progress of a call, or its end.
fn generated(
    world: &mut World,
    now: Time,
    vm: usize,
    dispatch: Dispatch,
    tokens: u32,
) -> scheduler::Input {
    let (call, attempt) = (dispatch.call, dispatch.attempt);
    if tokens >= TOKENS {
        world.ended += 1;
        let end = End::Answered { tokens: TOKENS };
        return scheduler::Input::Ended(Ended { call, attempt, end });
    }
    let next = (tokens + STRIDE).min(TOKENS);
    world.plan(
        now + TOKEN * (next - tokens),
        vm,
        Due::Tokens(dispatch, next),
    );
    scheduler::Input::Progress(Progress {
        call,
        attempt,
        tokens,
    })
}

fn carry(
    world: &mut World,
    now: Time,
    vm: usize,
    me: Incarnation,
    out: Vec<Output>,
) -> Result<(), Box<dyn Error>> {
    for output in out {
        match output {
            Output::Local(scheduler::Output::Dispatch(dispatch)) => {
                world.plan(now + FIRST, vm, Due::Tokens(dispatch, 1));
            }
            Output::Local(scheduler::Output::Refuse(_)) => world.refused += 1,
            Output::Local(_) => {}
            Output::Send { to, message } => {
                let mut bytes = Vec::new();
                ciborium::into_writer(&message, &mut bytes)?;
                world.messages += 1;
                world.bytes += bytes.len() as u64;
                let due = Due::Message(me, Box::new(message));
                world.plan(now + DELAY, to.0 as usize - 1, due);
            }
        }
    }
    Ok(())
}

fn report(world: &World, vms: usize, elapsed: Duration) {
    let seconds = SPAN.as_secs_f64() * vms as f64;
    println!("calls ended: {}, refused: {}", world.ended, world.refused);
    println!(
        "messages each VM sends a second: {:.1}",
        world.messages as f64 / seconds
    );
    println!(
        "bytes each VM sends a second: {:.0}",
        world.bytes as f64 / seconds
    );
    let core = elapsed.as_secs_f64() * 100.0 / seconds;
    println!("processor of each VM, encoding included: {core:.3}% of a core");
}

fn set(routes: usize) -> Result<ObjectSet, serde_json::Error> {
    let models: Vec<_> = (0..routes)
        .map(|model| json!({"name": name(model), "versions": ["1"], "default_class": "ask"}))
        .collect();
    let endpoints: Vec<_> = (0..routes * ENDPOINTS)
        .map(|number| {
            json!({"name": format!("endpoint-{number}"), "address": "10.0.0.1:8000",
                "data_centre": "dc", "slots": 32,
                "serves": {"model": {"model": name(number % routes), "version": "1"}}})
        })
        .collect();
    serde_json::from_value(json!({
        "tiers": [{"name": "high", "rank": 0}],
        "classes": [{"name": "ask", "tier": "high",
            "target": {"stream": {"first_token_ms": 1500, "inter_token_ms": 27}}}],
        "workspaces": [{"name": "workspace", "limits": {"rate": 100_000, "in_flight": 100_000,
            "queued": 100_000}}],
        "models": models, "endpoints": endpoints,
    }))
}

fn name(model: usize) -> String {
    format!("model-{model:02}")
}

fn request(origin: Incarnation, seq: u64, routes: usize) -> Request {
    // An odd step spreads each VM's calls over all routes.
    let model = (seq as usize).wrapping_mul(7_919) / 13 % routes;
    Request {
        call: CallId { origin, seq },
        class: "ask".into(),
        workspace: "workspace".into(),
        route: Route::Model(name(model).as_str().into()),
        adapter: None,
        prefix: PrefixHash(seq % 64),
        input_tokens: 500,
        max_tokens: 500,
        data_centre: "dc".into(),
        waited: Duration::ZERO,
    }
}
