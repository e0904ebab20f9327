use crate::{Input, Output, Pool, PoolMessage};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_catalog::{Catalog, Route};
use poplarswitch_entity::{CallId, Generation, Incarnation, PrefixHash, Time};
use poplarswitch_scheduler::{self as scheduler, Dispatch, End, Ended, Fault, Policy, Request};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

const SET: &str = r#"{
    "tiers": [{"name": "high", "rank": 0}],
    "classes": [{"name": "ask", "tier": "high", "target": {"answer": {"answer_ms": 5000}}}],
    "workspaces": [{"name": "atlas"}],
    "models": [{"name": "tiny", "versions": ["1"], "default_class": "ask"}],
    "endpoints": [{"name": "e1", "address": "127.0.0.1:1", "data_centre": "a", "slots": 1,
        "serves": {"model": {"model": "tiny", "version": "1"}}}]
}"#;

/// One-way delay between two VMs.
const DELAY: Duration = Duration::from_millis(1);

fn route() -> Route {
    Route::Model("tiny".into())
}

fn request(origin: Incarnation, seq: u64) -> Request {
    Request {
        call: CallId { origin, seq },
        class: "ask".into(),
        workspace: "atlas".into(),
        route: route(),
        adapter: None,
        prefix: PrefixHash(0),
        input_tokens: 10,
        max_tokens: 10,
        data_centre: "a".into(),
        waited: Duration::ZERO,
    }
}

/// Pools of several VMs, with a simulated clock and network.
struct Cell {
    now: Time,
    pools: BTreeMap<Incarnation, Pool>,
    in_transit: Vec<(Time, Incarnation, Incarnation, PoolMessage)>,
    paused: BTreeSet<Incarnation>,
    lose_next: usize,
    outputs: Vec<(Incarnation, scheduler::Output)>,
}

impl Cell {
    fn new(count: u64) -> Self {
        let set = serde_json::from_str(SET).expect("test set parses");
        let catalog = Arc::new(Catalog::build(&set, Generation(1)).expect("resolves"));
        let ids: Vec<Incarnation> = (1..=count).map(Incarnation).collect();
        let start = |id: &Incarnation| {
            let pool = Pool::new(*id, Arc::clone(&catalog), Policy::Full, id.0);
            (*id, pool)
        };
        let mut cell = Self {
            now: Time::ZERO,
            pools: ids.iter().map(start).collect(),
            in_transit: Vec::new(),
            paused: BTreeSet::new(),
            lose_next: 0,
            outputs: Vec::new(),
        };
        for id in &ids {
            cell.input(*id, Input::Members(ids.clone()));
        }
        cell
    }

    /// The VMs in their rank for the route, the home first.
    fn ranked(&self) -> Vec<Incarnation> {
        let mut left: Vec<Incarnation> = self.pools.keys().copied().collect();
        let mut ranking = crate::ranking::Ranking::default();
        let mut ranked = Vec::new();
        while !left.is_empty() {
            ranking.replace(left.clone());
            let first = ranking.rank(&route())[0];
            left.retain(|id| *id != first);
            ranked.push(first);
        }
        ranked
    }

    fn input(&mut self, id: Incarnation, input: Input) {
        let mut out = Vec::new();
        let pool = self.pools.get_mut(&id).expect("the pool exists");
        pool.handle(self.now, input, &mut out);
        self.process_outputs(id, out);
    }

    fn process_outputs(&mut self, id: Incarnation, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Local(output) => self.outputs.push((id, output)),
                Output::Send { .. } if self.lose_next > 0 => self.lose_next -= 1,
                Output::Send { to, message } => {
                    self.in_transit.push((self.now + DELAY, id, to, message));
                }
            }
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + Duration::from_micros(500);
            let now = self.now;
            let due = |entry: &mut (Time, Incarnation, Incarnation, PoolMessage)| entry.0 <= now;
            let arrived: Vec<_> = self.in_transit.extract_if(.., due).collect();
            for (_, from, to, message) in arrived {
                if !self.paused.contains(&to) && self.pools.contains_key(&to) {
                    self.input(to, Input::Peer { from, message });
                }
            }
            self.tick();
        }
    }

    fn tick(&mut self) {
        let mut ids: Vec<Incarnation> = self.pools.keys().copied().collect();
        ids.retain(|id| !self.paused.contains(id));
        for id in ids {
            let pool = self.pools.get_mut(&id).expect("the pool exists");
            let mut out = Vec::new();
            if pool.next_wake().is_some_and(|wake| wake <= self.now) {
                pool.tick(self.now, &mut out);
            }
            self.process_outputs(id, out);
        }
    }

    fn submit(&mut self, id: Incarnation, seq: u64) {
        let submit = scheduler::Input::Submit(request(id, seq));
        self.input(id, Input::Local(submit));
    }

    fn end(&mut self, id: Incarnation, dispatch: &Dispatch, end: End) {
        let ended = Ended {
            call: dispatch.call,
            attempt: dispatch.attempt,
            end,
        };
        self.input(id, Input::Local(scheduler::Input::Ended(ended)));
    }

    fn dispatches(&self, id: Incarnation) -> Vec<Dispatch> {
        let of = |(vm, output): &(Incarnation, scheduler::Output)| match output {
            scheduler::Output::Dispatch(dispatch) if *vm == id => Some(dispatch.clone()),
            _ => None,
        };
        self.outputs.iter().filter_map(of).collect()
    }
}

const ANSWERED: End = End::Answered { tokens: 3 };

#[gtest]
fn vm_without_peers_dispatches_its_calls() {
    let mut cell = Cell::new(1);
    cell.submit(Incarnation(1), 1);
    expect_that!(cell.dispatches(Incarnation(1)).len(), eq(1));
}

#[gtest]
fn home_schedules_calls_of_all_vms() {
    let mut cell = Cell::new(3);
    let ranked = cell.ranked();
    let (home, a, b) = (ranked[0], ranked[1], ranked[2]);
    cell.submit(a, 1);
    cell.run(10);
    cell.submit(b, 1);
    cell.run(10);
    let first = cell.dispatches(a);
    assert_that!(first.len(), eq(1));
    expect_that!(cell.dispatches(b).len(), eq(0));
    cell.end(a, &first[0], ANSWERED);
    cell.run(10);
    expect_that!(cell.dispatches(b).len(), eq(1));
    expect_that!(cell.pools[&home].status().foreign, eq(1));
}

#[gtest]
fn lost_message_is_retransmitted() {
    let mut cell = Cell::new(2);
    let origin = cell.ranked()[1];
    cell.lose_next = 1;
    cell.submit(origin, 1);
    cell.run(100);
    expect_that!(cell.dispatches(origin).len(), eq(1));
}

#[gtest]
fn second_candidate_replaces_silent_home() {
    let mut cell = Cell::new(3);
    let ranked = cell.ranked();
    let (home, second, origin) = (ranked[0], ranked[1], ranked[2]);
    cell.paused.insert(home);
    cell.submit(origin, 1);
    cell.run(300);
    expect_that!(cell.dispatches(origin).len(), eq(1));
    expect_that!(cell.pools[&second].status().foreign, eq(1));
}

#[gtest]
fn vm_without_reachable_home_uses_its_own_scheduler() {
    let mut cell = Cell::new(3);
    let ranked = cell.ranked();
    cell.paused.extend([ranked[0], ranked[1]]);
    cell.submit(ranked[2], 1);
    cell.run(600);
    expect_that!(cell.dispatches(ranked[2]).len(), eq(1));
    expect_that!(cell.pools[&ranked[2]].status().fallback, eq(1));
}

#[gtest]
fn resumed_home_does_not_dispatch_call_again() {
    let mut cell = Cell::new(3);
    let ranked = cell.ranked();
    let (home, origin) = (ranked[0], ranked[2]);
    cell.submit(home, 1);
    cell.submit(origin, 1);
    cell.run(10);
    cell.paused.insert(home);
    cell.run(700);
    expect_that!(cell.dispatches(origin).len(), eq(1));
    cell.paused.remove(&home);
    let held = cell.dispatches(home);
    cell.end(home, &held[0], ANSWERED);
    cell.run(3_000);
    expect_that!(cell.dispatches(origin).len(), eq(1));
    let status = cell.pools[&home].status();
    expect_that!((status.foreign, status.in_flight), eq((1, 1)));
}

#[gtest]
fn new_home_adopts_running_call() {
    let mut cell = Cell::new(3);
    let ranked = cell.ranked();
    let (home, second, origin) = (ranked[0], ranked[1], ranked[2]);
    cell.submit(origin, 1);
    cell.run(10);
    let run = cell.dispatches(origin);
    cell.paused.insert(home);
    cell.run(700);
    expect_that!(cell.pools[&second].status().in_flight, eq(1));
    cell.end(origin, &run[0], ANSWERED);
    cell.run(10);
    expect_that!(cell.pools[&second].status().in_flight, eq(0));
}

#[gtest]
fn new_home_concludes_call_that_failed_before_the_move() {
    let mut cell = Cell::new(3);
    let ranked = cell.ranked();
    let (home, origin) = (ranked[0], ranked[2]);
    cell.submit(origin, 1);
    cell.run(10);
    let run = cell.dispatches(origin);
    cell.paused.insert(home);
    let failed = End::Failed {
        fault: Fault::Errored,
        emitted: 3,
    };
    cell.end(origin, &run[0], failed);
    cell.run(700);
    let concluded = |(_, output): &(Incarnation, scheduler::Output)| {
        matches!(output, scheduler::Output::Conclude(_))
    };
    expect_that!(cell.outputs.iter().filter(|o| concluded(o)).count(), eq(1));
    expect_that!(cell.pools[&origin].status().local, eq(0));
}

#[gtest]
fn call_that_may_have_run_is_not_refused() {
    let mut cell = Cell::new(3);
    let ranked = cell.ranked();
    let (home, origin) = (ranked[0], ranked[2]);
    cell.submit(origin, 1);
    cell.run(10);
    let failed = |fault| End::Failed { fault, emitted: 0 };
    cell.end(origin, &cell.dispatches(origin)[0], failed(Fault::Lost));
    cell.run(1_000);
    cell.paused.insert(home);
    // The new home adopts only the second dispatch, and its failure comes too late for a retry.
    cell.run(70_000);
    cell.end(
        origin,
        &cell.dispatches(origin)[1],
        failed(Fault::Unreached),
    );
    cell.run(1_000);
    let (_, last) = cell.outputs.last().expect("there are outputs");
    expect_that!(
        matches!(last, scheduler::Output::Conclude(_)),
        eq(true),
        "{last:?}"
    );
}

#[gtest]
fn silent_origin_loses_its_slots_after_its_lease() {
    let mut cell = Cell::new(2);
    let ranked = cell.ranked();
    let (home, origin) = (ranked[0], ranked[1]);
    cell.submit(origin, 1);
    cell.run(10);
    cell.paused.insert(origin);
    cell.run(4_000);
    expect_that!(cell.pools[&home].status().in_flight, eq(1));
    cell.run(2_000);
    expect_that!(cell.pools[&home].status().in_flight, eq(0));
}

#[gtest]
fn calls_of_origin_paused_past_its_lease_are_adopted_again() {
    let mut cell = Cell::new(2);
    let ranked = cell.ranked();
    let (home, origin) = (ranked[0], ranked[1]);
    cell.submit(origin, 1);
    cell.run(10);
    cell.paused.insert(origin);
    cell.run(6_000);
    cell.paused.remove(&origin);
    cell.run(1_000);
    expect_that!(cell.pools[&home].status().in_flight, eq(1));
    expect_that!(cell.pools[&origin].counters().suspected, eq(0));
    expect_that!(cell.pools[&origin].counters().resets, eq(1));
}

#[gtest]
fn calls_move_from_leaving_home_to_next_candidate() {
    let mut cell = Cell::new(3);
    let ranked = cell.ranked();
    let (home, second, origin) = (ranked[0], ranked[1], ranked[2]);
    cell.submit(origin, 1);
    cell.submit(origin, 2);
    cell.run(10);
    for id in &ranked {
        cell.input(*id, Input::Members(vec![second, origin]));
    }
    cell.run(10);
    expect_that!(cell.pools[&home].status().foreign, eq(0));
    expect_that!(cell.pools[&second].status().foreign, eq(2));
    expect_that!(cell.dispatches(origin).len(), eq(1));
}

#[gtest]
fn cancelled_call_frees_its_slot_at_the_home() {
    let mut cell = Cell::new(2);
    let ranked = cell.ranked();
    let (home, origin) = (ranked[0], ranked[1]);
    cell.submit(origin, 1);
    cell.submit(origin, 2);
    cell.run(10);
    let run = cell.dispatches(origin);
    let cancel = scheduler::Input::Cancel(run[0].call);
    cell.input(origin, Input::Local(cancel));
    cell.end(origin, &run[0], End::Stopped { emitted: 1 });
    cell.run(10);
    expect_that!(cell.dispatches(origin).len(), eq(2));
    expect_that!(cell.pools[&home].status().in_flight, eq(1));
}

#[gtest]
fn session_after_idle_time_opens_without_reset() {
    let mut cell = Cell::new(2);
    let origin = cell.ranked()[1];
    cell.submit(origin, 1);
    cell.run(10);
    let run = cell.dispatches(origin);
    cell.end(origin, &run[0], ANSWERED);
    cell.run(6_000);
    cell.submit(origin, 2);
    cell.run(10);
    expect_that!(cell.dispatches(origin).len(), eq(2));
    expect_that!(cell.pools[&origin].counters().resets, eq(0));
}
