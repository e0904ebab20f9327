//! Measures the overhead of sharing pools for each VM of a cell: messages, bytes and processor
//! time.
//!
//! `cell [VMS] [CALLS_PER_SECOND] [ROUTES]`: streamed calls arrive at all VMs for a minute of
//! simulated time, and the progress of each call is reported until its end.

use core::time::Duration;
use poplarswitch_catalog::{Catalog, Route};
use poplarswitch_entity::{CallId, Generation, Incarnation, PrefixHash, Time};
use poplarswitch_objects::ObjectSet;
use poplarswitch_pool::{Input, Output, Pool, PoolMessage};
use poplarswitch_scheduler::{self as scheduler, Dispatch, End, Ended, Policy, Progress, Request};
use serde_json::json;
use std::{collections::BTreeMap, env, error::Error, sync::Arc, time::Instant};

/// Length of the simulation.
const SIMULATED_TIME: Duration = Duration::from_mins(1);
/// One-way delay of a message between two VMs.
const NETWORK_DELAY: Duration = Duration::from_micros(500);
/// Time from a dispatch to its first token.
const FIRST_TOKEN_DELAY: Duration = Duration::from_millis(300);
/// Time between two tokens.
const TIME_PER_TOKEN: Duration = Duration::from_millis(27);
/// Length of each answer.
const ANSWER_TOKENS: u32 = 316;
/// Endpoints of each route.
const ENDPOINTS_PER_ROUTE: usize = 7;
/// Tokens between two progress reports to the pool.
const TOKENS_PER_REPORT: u32 = 10;
/// Time between two checks of a pool's next wake-up.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Time of an event; events with the same time keep the order in which they were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: Time,
    seq: u64,
}

/// An event and the index of its VM.
struct VmEvent {
    vm: usize,
    event: Event,
}

enum Event {
    /// The call with this number arrives.
    Arrive(u64),
    /// The dispatch has produced this number of tokens.
    Tokens(Dispatch, u32),
    /// A message arrives from another VM.
    Message(Incarnation, Box<PoolMessage>),
    /// The pool's next wake-up is checked.
    Tick,
}

#[derive(Default)]
struct Simulation {
    events: BTreeMap<EventKey, VmEvent>,
    seq: u64,
    messages: u64,
    bytes: u64,
    refused: u64,
    ended: u64,
}

impl Simulation {
    fn schedule(&mut self, at: Time, vm: usize, event: Event) {
        self.seq += 1;
        let key = EventKey { at, seq: self.seq };
        self.events.insert(key, VmEvent { vm, event });
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
    let mut sim = Simulation::default();
    for (vm, pool) in pools.iter_mut().enumerate() {
        pool.handle(Time::ZERO, Input::Members(members.clone()), &mut Vec::new());
        sim.schedule(Time::ZERO, vm, Event::Tick);
    }
    let calls = rate as u64 * SIMULATED_TIME.as_secs();
    for call in 0..calls {
        let at = Time::ZERO + SIMULATED_TIME.mul_f64(call as f64 / calls as f64);
        sim.schedule(at, call as usize % vms, Event::Arrive(call));
    }
    let started = Instant::now();
    run(&mut sim, &mut pools, routes)?;
    report(&sim, vms, started.elapsed());
    Ok(())
}

fn run(sim: &mut Simulation, pools: &mut [Pool], routes: usize) -> Result<(), Box<dyn Error>> {
    let end = Time::ZERO + SIMULATED_TIME;
    while let Some((key, VmEvent { vm, event })) = sim.events.pop_first() {
        let now = key.at;
        if now >= end {
            return Ok(());
        }
        let mut out = Vec::new();
        let pool = &mut pools[vm];
        match event {
            Event::Arrive(call) => {
                let request = request(pool.me(), call, routes);
                pool.handle(
                    now,
                    Input::Local(scheduler::Input::Submit(request)),
                    &mut out,
                );
            }
            Event::Tokens(dispatch, tokens) => {
                let input = next_progress(sim, now, vm, dispatch, tokens);
                pool.handle(now, Input::Local(input), &mut out);
            }
            Event::Message(from, message) => {
                let message = *message;
                pool.handle(now, Input::Peer { from, message }, &mut out);
            }
            Event::Tick => {
                if pool.next_wake().is_some_and(|wake| wake <= now) {
                    pool.tick(now, &mut out);
                }
                sim.schedule(now + TICK_INTERVAL, vm, Event::Tick);
            }
        }
        process_outputs(sim, now, vm, pool.me(), out)?;
    }
    Ok(())
}

/// Returns the input for the tokens of a call so far and schedules the next progress, if any.
fn next_progress(
    sim: &mut Simulation,
    now: Time,
    vm: usize,
    dispatch: Dispatch,
    tokens: u32,
) -> scheduler::Input {
    let (call, attempt) = (dispatch.call, dispatch.attempt);
    if tokens >= ANSWER_TOKENS {
        sim.ended += 1;
        let end = End::Answered {
            tokens: ANSWER_TOKENS,
        };
        return scheduler::Input::Ended(Ended { call, attempt, end });
    }
    let next = (tokens + TOKENS_PER_REPORT).min(ANSWER_TOKENS);
    sim.schedule(
        now + TIME_PER_TOKEN * (next - tokens),
        vm,
        Event::Tokens(dispatch, next),
    );
    scheduler::Input::Progress(Progress {
        call,
        attempt,
        tokens,
    })
}

fn process_outputs(
    sim: &mut Simulation,
    now: Time,
    vm: usize,
    me: Incarnation,
    out: Vec<Output>,
) -> Result<(), Box<dyn Error>> {
    for output in out {
        match output {
            Output::Local(scheduler::Output::Dispatch(dispatch)) => {
                sim.schedule(now + FIRST_TOKEN_DELAY, vm, Event::Tokens(dispatch, 1));
            }
            Output::Local(scheduler::Output::Refuse(_)) => sim.refused += 1,
            Output::Local(_) => {}
            Output::Send { to, message } => {
                let mut bytes = Vec::new();
                ciborium::into_writer(&message, &mut bytes)?;
                sim.messages += 1;
                sim.bytes += bytes.len() as u64;
                let event = Event::Message(me, Box::new(message));
                sim.schedule(now + NETWORK_DELAY, to.0 as usize - 1, event);
            }
        }
    }
    Ok(())
}

fn report(sim: &Simulation, vms: usize, elapsed: Duration) {
    let seconds = SIMULATED_TIME.as_secs_f64() * vms as f64;
    println!("calls ended: {}, refused: {}", sim.ended, sim.refused);
    println!(
        "messages sent per VM per second: {:.1}",
        sim.messages as f64 / seconds
    );
    println!(
        "bytes sent per VM per second: {:.0}",
        sim.bytes as f64 / seconds
    );
    let core_percent = elapsed.as_secs_f64() * 100.0 / seconds;
    println!("processor time per VM, including encoding: {core_percent:.3}% of a core");
}

fn set(routes: usize) -> Result<ObjectSet, serde_json::Error> {
    let models: Vec<_> = (0..routes)
        .map(|model| json!({"name": name(model), "versions": ["1"], "default_class": "ask"}))
        .collect();
    let endpoints: Vec<_> = (0..routes * ENDPOINTS_PER_ROUTE)
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
    // The multiplication by an odd number spreads the calls of each VM over all routes.
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
