//! The state machine.

use crate::{Counters, Input, Output, Status};
use poplarswitch_catalog::{Catalog, Route};
use poplarswitch_entity::{Incarnation, Time};
use poplarswitch_scheduler::{self as scheduler, Policy, Scheduler};
use std::sync::Arc;

/// The part of one VM in sharing the pools of its cell.
#[derive(Debug)]
pub struct Pool {
    me: Incarnation,
    scheduler: Scheduler,
    counters: Counters,
}

impl Pool {
    /// Starts alone, as the home of every route.
    pub fn new(me: Incarnation, catalog: Arc<Catalog>, policy: Policy, seed: u64) -> Self {
        Self {
            me,
            scheduler: Scheduler::new(catalog, policy, seed),
            counters: Counters::default(),
        }
    }

    /// Reacts to one input.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        let Input::Local(input) = input else {
            return;
        };
        let mut orders = Vec::new();
        self.scheduler.handle(now, input, &mut orders);
        Self::pass_on(orders, out);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        let mut orders = Vec::new();
        self.scheduler.tick(now, &mut orders);
        Self::pass_on(orders, out);
    }

    /// When `tick` is next worth calling.
    pub fn next_wake(&self) -> Option<Time> {
        self.scheduler.next_wake()
    }

    /// Puts a new set into force; calls that wait or run stay.
    pub fn reload(&mut self, now: Time, catalog: Arc<Catalog>, out: &mut Vec<Output>) {
        let mut orders = Vec::new();
        self.scheduler.reload(now, catalog, &mut orders);
        Self::pass_on(orders, out);
    }

    /// The VM whose scheduler orders a route, as far as this VM knows.
    ///
    /// The home alone needs the load reports and cache events of the route's endpoints.
    pub fn home_of(&self, _route: &Route) -> Incarnation {
        self.me
    }

    /// Events since the start.
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The present state.
    pub fn status(&self) -> Status {
        Status {
            queued: self.scheduler.queued(),
            in_flight: self.scheduler.in_flight(),
            ..Status::default()
        }
    }

    fn pass_on(orders: Vec<scheduler::Output>, out: &mut Vec<Output>) {
        out.extend(orders.into_iter().map(Output::Order));
    }
}
