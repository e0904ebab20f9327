//! The scheduler's state and its entry points.

use crate::registry::Registry;
use crate::route_state::{RouteState, RouteStateKey};
use crate::table::Table;
use crate::{
    Conclusion, ConclusionKind, Counters, Input, LoadReport, Output, Policy, Refusal,
    RefusalReason, Tuning,
};
use core::time::Duration;
use poplarswitch_balance::{Balancer, Options, PoolKey, Strategy};
use poplarswitch_catalog::{Catalog, Route};
use poplarswitch_entity::{CallId, Time};
use poplarswitch_queue::CallKey;
use slotmap::{SecondaryMap, SlotMap};
use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

/// Queues calls and dispatches them to the endpoints of their routes.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) policy: Policy,
    pub(crate) tuning: Tuning,
    pub(crate) table: Table,
    pub(crate) registry: Registry,
    pub(crate) route_states: SlotMap<RouteStateKey, RouteState>,
    pub(crate) route_keys: HashMap<Route, RouteStateKey>,
    pub(crate) pool_routes: SecondaryMap<PoolKey, RouteStateKey>,
    pub(crate) balancer: Balancer,
    /// Queued calls by the time at which their wait expires.
    pub(crate) expiry: BTreeSet<(Time, CallKey)>,
    /// Routes to serve again, because a call was queued or a slot may have become free.
    pub(crate) dirty: Vec<RouteStateKey>,
    pub(crate) counters: Counters,
    /// Number of times that a call was queued; numbers the calls in arrival order.
    pub(crate) arrivals: u64,
}

impl Scheduler {
    /// Creates a scheduler without calls, with the default tuning.
    ///
    /// `seed` seeds the random choices among endpoints.
    pub fn new(catalog: Arc<Catalog>, policy: Policy, seed: u64) -> Self {
        Self::with_tuning(catalog, policy, seed, Tuning::default())
    }

    /// Creates a scheduler without calls.
    ///
    /// `seed` seeds the random choices among endpoints.
    pub fn with_tuning(catalog: Arc<Catalog>, policy: Policy, seed: u64, tuning: Tuning) -> Self {
        let mut scheduler = Self {
            catalog: Arc::clone(&catalog),
            policy,
            tuning,
            table: Table::default(),
            registry: Registry::default(),
            route_states: SlotMap::with_key(),
            route_keys: HashMap::new(),
            pool_routes: SecondaryMap::new(),
            balancer: Balancer::new(options(policy, &tuning), seed),
            expiry: BTreeSet::new(),
            dirty: Vec::new(),
            counters: Counters::default(),
            arrivals: 0,
        };
        scheduler.reload(Time::ZERO, catalog, &mut Vec::new());
        scheduler
    }

    /// The scheduling policy.
    pub const fn policy(&self) -> Policy {
        self.policy
    }

    /// Counts since the scheduler was created.
    pub fn counters(&self) -> Counters {
        Counters {
            ejected: self.balancer.ejections(),
            ..self.counters.clone()
        }
    }

    /// Number of calls that wait for a slot.
    pub fn queued(&self) -> usize {
        self.table.queued()
    }

    /// Number of calls that run at an endpoint.
    pub const fn in_flight(&self) -> usize {
        self.table.running()
    }

    /// When `tick` has to be called next, if no input arrives before.
    pub fn next_wake(&self) -> Option<Time> {
        let expiry = self.expiry.first().map(|(time, _)| *time);
        let wake = self.balancer.next_wake();
        expiry.into_iter().chain(wake).min()
    }

    /// Advances the time to `now` and dispatches the calls that can start.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.advance(now, out);
        self.serve(now, out);
    }

    /// Advances the time to `now`, processes an input and dispatches the calls that can start.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.advance(now, out);
        match input {
            Input::Submit(request) => self.submit(now, request, out),
            Input::Adopt(running) => self.adopt(now, running, out),
            Input::Cancel(call) => self.cancel(now, call, out),
            Input::Ended(ended) => self.ended(now, ended, out),
            Input::Progress(progress) => self.progress(now, progress),
            Input::Load(report) => self.load(now, &report),
            Input::Cache(event) => {
                self.balancer
                    .record_cache_change(&event.endpoint, event.prefix, event.held);
            }
        }
        self.serve(now, out);
    }

    /// Ends expired waits and marks the routes whose endpoints become available again.
    fn advance(&mut self, now: Time, out: &mut Vec<Output>) {
        self.expire(now, out);
        for pool in self.balancer.tick(now) {
            self.mark_dirty(pool);
        }
    }

    fn load(&mut self, now: Time, report: &LoadReport) {
        let calls = report.running.saturating_add(report.queued);
        self.balancer
            .record_load(now, &report.endpoint, calls, report.age);
    }

    /// Marks a pool's route to be served again.
    pub(crate) fn mark_dirty(&mut self, pool: PoolKey) {
        if let Some(route_state) = self.pool_routes.get(pool) {
            self.dirty.push(*route_state);
        }
    }

    /// Counts and outputs the refusal of a call that was not run.
    pub(crate) fn refuse(
        &mut self,
        call: CallId,
        reason: RefusalReason,
        retry_after: Duration,
        out: &mut Vec<Output>,
    ) {
        *self.counters.refused.entry(reason).or_default() += 1;
        out.push(Output::Refuse(Refusal {
            call,
            reason,
            retry_after,
        }));
    }

    /// Counts and outputs the end of a call that failed or is in doubt.
    pub(crate) fn conclude(&mut self, call: CallId, kind: ConclusionKind, out: &mut Vec<Output>) {
        match kind {
            ConclusionKind::Failed => self.counters.failed += 1,
            ConclusionKind::InDoubt => self.counters.in_doubt += 1,
        }
        out.push(Output::Conclude(Conclusion { call, kind }));
    }
}

const fn options(policy: Policy, tuning: &Tuning) -> Options {
    let strategy = match policy {
        Policy::FifoRoundRobin => Strategy::RoundRobin,
        Policy::FifoLeastOutstanding | Policy::StrictLeastOutstanding => Strategy::LeastOutstanding,
        Policy::Full => Strategy::Full,
    };
    let full = matches!(policy, Policy::Full);
    Options {
        strategy,
        affinity: full && tuning.affinity,
        ejection: full && tuning.ejection,
    }
}
