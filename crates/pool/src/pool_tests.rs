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

/// A few pools and the messages between them.
struct Cell {
    now: Time,
    pools: BTreeMap<Incarnation, Pool>,
    wire: Vec<(Time, Incarnation, Incarnation, PoolMessage)>,
    down: BTreeSet<Incarnation>,
    lose_next: usize,
    orders: Vec<(Incarnation, scheduler::Output)>,
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
            wire: Vec::new(),
            down: BTreeSet::new(),
            lose_next: 0,
            orders: Vec::new(),
        };
        for id in &ids {
            cell.input(*id, Input::Members(ids.clone()));
        }
        cell
    }

    /// The home and the other VMs, in the order of the route's choices.
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
        self.carry(id, out);
    }

    fn carry(&mut self, id: Incarnation, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Local(order) => self.orders.push((id, order)),
                Output::Send { .. } if self.lose_next > 0 => self.lose_next -= 1,
                Output::Send { to, message } => {
                    self.wire.push((self.now + DELAY, id, to, message));
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
            let arrived: Vec<_> = self.wire.extract_if(.., due).collect();
            for (_, from, to, message) in arrived {
                if !self.down.contains(&to) && self.pools.contains_key(&to) {
                    self.input(to, Input::Peer { from, message });
                }
            }
            self.tick();
        }
    }

    fn tick(&mut self) {
        let mut ids: Vec<Incarnation> = self.pools.keys().copied().collect();
        ids.retain(|id| !self.down.contains(id));
        for id in ids {
            let pool = self.pools.get_mut(&id).expect("the pool exists");
            let mut out = Vec::new();
            if pool.next_wake().is_some_and(|wake| wake <= self.now) {
                pool.tick(self.now, &mut out);
            }
            self.carry(id, out);
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
        let of = |(vm, order): &(Incarnation, scheduler::Output)| match order {
            scheduler::Output::Dispatch(dispatch) if *vm == id => Some(dispatch.clone()),
            _ => None,
        };
        self.orders.iter().filter_map(of).collect()
    }
}

const ANSWERED: End = End::Answered { tokens: 3 };

#[gtest]
fn a_vm_alone_serves_its_calls() {
    let mut cell = Cell::new(1);
    cell.submit(Incarnation(1), 1);
    expect_that!(cell.dispatches(Incarnation(1)).len(), eq(1));
}

#[gtest]
fn the_home_orders_the_calls_of_all_vms() {
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
fn a_lost_message_is_sent_again() {
    let mut cell = Cell::new(2);
    let origin = cell.ranked()[1];
    cell.lose_next = 1;
    cell.submit(origin, 1);
    cell.run(100);
    expect_that!(cell.dispatches(origin).len(), eq(1));
}

#[gtest]
fn a_silent_home_gives_way_to_the_second_choice() {
    let mut cell = Cell::new(3);
    let ranked = cell.ranked();
    let (home, second, origin) = (ranked[0], ranked[1], ranked[2]);
    cell.down.insert(home);
    cell.submit(origin, 1);
    cell.run(300);
    expect_that!(cell.dispatches(origin).len(), eq(1));
    expect_that!(cell.pools[&second].status().foreign, eq(1));
}

#[gtest]
fn a_vm_cut_off_from_all_homes_serves_alone() {
    let mut cell = Cell::new(3);
    let ranked = cell.ranked();
    cell.down.extend([ranked[0], ranked[1]]);
    cell.submit(ranked[2], 1);
    cell.run(600);
    expect_that!(cell.dispatches(ranked[2]).len(), eq(1));
    expect_that!(cell.pools[&ranked[2]].status().fallback, eq(1));
}

#[gtest]
fn a_home_that_wakes_late_can_not_run_a_call_twice() {
    let mut cell = Cell::new(3);
    let ranked = cell.ranked();
    let (home, origin) = (ranked[0], ranked[2]);
    cell.submit(home, 1);
    cell.submit(origin, 1);
    cell.run(10);
    cell.down.insert(home);
    cell.run(700);
    expect_that!(cell.dispatches(origin).len(), eq(1));
    cell.down.remove(&home);
    let held = cell.dispatches(home);
    cell.end(home, &held[0], ANSWERED);
    cell.run(3_000);
    expect_that!(cell.dispatches(origin).len(), eq(1));
    let status = cell.pools[&home].status();
    expect_that!((status.foreign, status.in_flight), eq((1, 1)));
}

#[gtest]
fn a_running_call_is_adopted_by_the_new_home() {
    let mut cell = Cell::new(3);
    let ranked = cell.ranked();
    let (home, second, origin) = (ranked[0], ranked[1], ranked[2]);
    cell.submit(origin, 1);
    cell.run(10);
    let run = cell.dispatches(origin);
    cell.down.insert(home);
    cell.run(700);
    expect_that!(cell.pools[&second].status().in_flight, eq(1));
    cell.end(origin, &run[0], ANSWERED);
    cell.run(10);
    expect_that!(cell.pools[&second].status().in_flight, eq(0));
}

#[gtest]
fn a_failure_is_judged_by_the_new_home() {
    let mut cell = Cell::new(3);
    let ranked = cell.ranked();
    let (home, origin) = (ranked[0], ranked[2]);
    cell.submit(origin, 1);
    cell.run(10);
    let run = cell.dispatches(origin);
    cell.down.insert(home);
    let failed = End::Failed {
        fault: Fault::Errored,
        emitted: 3,
    };
    cell.end(origin, &run[0], failed);
    cell.run(700);
    let concluded = |(_, order): &(Incarnation, scheduler::Output)| {
        matches!(order, scheduler::Output::Conclude(_))
    };
    expect_that!(cell.orders.iter().filter(|o| concluded(o)).count(), eq(1));
    expect_that!(cell.pools[&origin].status().local, eq(0));
}

#[gtest]
fn a_call_that_may_have_run_is_never_told_not_run() {
    let mut cell = Cell::new(3);
    let ranked = cell.ranked();
    let (home, origin) = (ranked[0], ranked[2]);
    cell.submit(origin, 1);
    cell.run(10);
    let failed = |fault| End::Failed { fault, emitted: 0 };
    cell.end(origin, &cell.dispatches(origin)[0], failed(Fault::Lost));
    cell.run(1_000);
    cell.down.insert(home);
    // The new home hears of the second dispatch only, and too late to try again.
    cell.run(70_000);
    cell.end(
        origin,
        &cell.dispatches(origin)[1],
        failed(Fault::Unreached),
    );
    cell.run(1_000);
    let (_, last) = cell.orders.last().expect("orders were given");
    expect_that!(
        matches!(last, scheduler::Output::Conclude(_)),
        eq(true),
        "{last:?}"
    );
}

#[gtest]
fn a_silent_origin_loses_its_slots_after_its_lease() {
    let mut cell = Cell::new(2);
    let ranked = cell.ranked();
    let (home, origin) = (ranked[0], ranked[1]);
    cell.submit(origin, 1);
    cell.run(10);
    cell.down.insert(origin);
    cell.run(4_000);
    expect_that!(cell.pools[&home].status().in_flight, eq(1));
    cell.run(2_000);
    expect_that!(cell.pools[&home].status().in_flight, eq(0));
}

#[gtest]
fn an_origin_that_wakes_after_its_lease_is_adopted_again() {
    let mut cell = Cell::new(2);
    let ranked = cell.ranked();
    let (home, origin) = (ranked[0], ranked[1]);
    cell.submit(origin, 1);
    cell.run(10);
    cell.down.insert(origin);
    cell.run(6_000);
    cell.down.remove(&origin);
    cell.run(1_000);
    expect_that!(cell.pools[&home].status().in_flight, eq(1));
    expect_that!(cell.pools[&origin].counters().suspected, eq(0));
    expect_that!(cell.pools[&origin].counters().resets, eq(1));
}

#[gtest]
fn a_leaving_home_hands_its_calls_over() {
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
fn a_cancelled_call_frees_its_slot_at_the_home() {
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
fn an_idle_session_is_closed_without_messages() {
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
