//! Measures the overhead of a call in two pools: time, messages and bytes.
//!
//! `cost [CALLS]`: calls arrive at one VM while the other is the home. Each call is dispatched on
//! arrival and ends after the next 100 calls have arrived.

use core::time::Duration;
use poplarswitch_catalog::{Catalog, Route};
use poplarswitch_entity::{CallId, Generation, Incarnation, PrefixHash, Time};
use poplarswitch_pool::{Input, Output, Pool};
use poplarswitch_scheduler::{self as scheduler, Dispatch, End, Ended, Policy, Request};
use std::{collections::VecDeque, env, error::Error, sync::Arc, time::Instant};

/// Number of calls that run at the same time.
const IN_FLIGHT: usize = 100;
/// Time between the arrivals of two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(1);
const SET: &str = r#"{
    "tiers": [{"name": "high", "rank": 0}],
    "classes": [{"name": "ask", "tier": "high", "target": {"answer": {"answer_ms": 5000}}}],
    "workspaces": [{"name": "atlas", "limits": {"rate": 1000000, "in_flight": 1000000,
        "queued": 1000000}}],
    "models": [{"name": "tiny", "versions": ["1"], "default_class": "ask"}],
    "endpoints": [{"name": "e1", "address": "127.0.0.1:1", "data_centre": "a", "slots": 1000,
        "serves": {"model": {"model": "tiny", "version": "1"}}}]
}"#;

#[derive(Default)]
struct Traffic {
    messages: usize,
    bytes: usize,
}

fn main() -> Result<(), Box<dyn Error>> {
    let calls = env::args()
        .nth(1)
        .map_or(Ok(100_000), |text| text.parse())?;
    let set = serde_json::from_str(SET)?;
    let catalog = Arc::new(Catalog::build(&set, Generation(1))?);
    let members = vec![Incarnation(1), Incarnation(2)];
    let mut pools = members.clone().into_iter().map(|id| {
        let mut pool = Pool::new(id, Arc::clone(&catalog), Policy::Full, id.0);
        pool.handle(Time::ZERO, Input::Members(members.clone()), &mut Vec::new());
        pool
    });
    let (Some(first), Some(second)) = (pools.next(), pools.next()) else {
        return Ok(());
    };
    let home = first.home_of(&Route::Model("tiny".into()));
    let origin = if home == members[0] {
        members[1]
    } else {
        members[0]
    };
    let mut pair = [first, second];
    let mut traffic = Traffic::default();
    let mut running = VecDeque::new();
    let mut now = Time::ZERO;
    let started = Instant::now();
    for seq in 0..calls {
        now = now + CALL_INTERVAL;
        let submit = scheduler::Input::Submit(request(origin, seq));
        let dispatches = handle_input(&mut pair, now, origin, submit, &mut traffic)?;
        running.extend(dispatches);
        if running.len() > IN_FLIGHT
            && let Some(dispatch) = running.pop_front()
        {
            let end = scheduler::Input::Ended(ended(&dispatch));
            running.extend(handle_input(&mut pair, now, origin, end, &mut traffic)?);
        }
    }
    let time_per_call = started.elapsed() / u32::try_from(calls)?;
    let per_call = |count: usize| count as f64 / calls as f64;
    println!("time of both VMs per call, including encoding: {time_per_call:?}");
    println!("messages per call: {:.2}", per_call(traffic.messages));
    println!("bytes per call: {:.0}", per_call(traffic.bytes));
    Ok(())
}

/// Passes an input to the origin and delivers messages until there are no more; returns the
/// dispatches.
fn handle_input(
    pair: &mut [Pool; 2],
    now: Time,
    origin: Incarnation,
    input: scheduler::Input,
    traffic: &mut Traffic,
) -> Result<Vec<Dispatch>, Box<dyn Error>> {
    let mut inputs = VecDeque::from([(origin, Input::Local(input))]);
    let mut dispatches = Vec::new();
    for pool in pair
        .iter_mut()
        .filter(|pool| pool.next_wake().is_some_and(|at| at <= now))
    {
        let mut out = Vec::new();
        pool.tick(now, &mut out);
        let from = pool.me();
        process_outputs(from, out, &mut inputs, &mut dispatches, traffic)?;
    }
    while let Some((to, input)) = inputs.pop_front() {
        let mut out = Vec::new();
        pair[to.0 as usize - 1].handle(now, input, &mut out);
        process_outputs(to, out, &mut inputs, &mut dispatches, traffic)?;
    }
    Ok(dispatches)
}

fn process_outputs(
    from: Incarnation,
    out: Vec<Output>,
    inputs: &mut VecDeque<(Incarnation, Input)>,
    dispatches: &mut Vec<Dispatch>,
    traffic: &mut Traffic,
) -> Result<(), Box<dyn Error>> {
    for output in out {
        match output {
            Output::Local(scheduler::Output::Dispatch(dispatch)) => dispatches.push(dispatch),
            Output::Local(_) => {}
            Output::Send { to, message } => {
                let mut bytes = Vec::new();
                ciborium::into_writer(&message, &mut bytes)?;
                traffic.messages += 1;
                traffic.bytes += bytes.len();
                inputs.push_back((to, Input::Peer { from, message }));
            }
        }
    }
    Ok(())
}

fn request(origin: Incarnation, seq: u64) -> Request {
    Request {
        call: CallId { origin, seq },
        class: "ask".into(),
        workspace: "atlas".into(),
        route: Route::Model("tiny".into()),
        adapter: None,
        prefix: PrefixHash(seq % 64),
        input_tokens: 500,
        max_tokens: 500,
        data_centre: "a".into(),
        waited: Duration::ZERO,
    }
}

const fn ended(dispatch: &Dispatch) -> Ended {
    Ended {
        call: dispatch.call,
        attempt: dispatch.attempt,
        end: End::Answered { tokens: 200 },
    }
}
