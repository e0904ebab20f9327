//! The state of all endpoints, and the methods that change it.

use crate::endpoint::Endpoint;
use crate::health::PROBE_GRACE;
use crate::hints::Hints;
use crate::pool::Pool;
use crate::{CapKey, EndpointKey, Outcome, Phase, PoolKey};
use core::time::Duration;
use poplarswitch_catalog::Route;
use poplarswitch_entity::{EndpointName, PrefixHash, Time};
use poplarswitch_estimate::Ewma;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Slowness above which an endpoint is ejected.
const EJECTION_SLOWNESS: f64 = 2.5;
/// Ratio of a call's time to the median above which a probe counts as slow.
const SLOW_PROBE_RATIO: f64 = 2.0;
/// Largest share of a pool's endpoints that may be ejected at the same time, in percent.
const MAX_EJECTED_PERCENT: usize = 20;
/// Size of the smallest pool in which endpoints are ejected.
const MIN_EJECTION_POOL_SIZE: usize = 3;

/// Order in which the balancer considers endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Strategy {
    /// Each endpoint in turn.
    RoundRobin,
    /// By outstanding calls.
    LeastOutstanding,
    /// By load, slowness, prefix affinity and data centre.
    #[default]
    Full,
}

/// Options of the balancer.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Order of the endpoints.
    pub strategy: Strategy,
    /// Whether calls with the same prefix prefer the same endpoint.
    pub affinity: bool,
    /// Whether endpoints that are much slower than the rest of their pool are ejected.
    pub ejection: bool,
}

/// Keeps the state of all endpoints and chooses among them.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) options: Options,
    pub(crate) endpoints: SlotMap<EndpointKey, Endpoint>,
    pub(crate) pools: SlotMap<PoolKey, Pool>,
    pub(crate) names: HashMap<EndpointName, EndpointKey>,
    pub(crate) routes: HashMap<Route, PoolKey>,
    pub(crate) hints: Hints,
    /// Ends of suspensions and grace periods.
    wakeups: BTreeSet<(Time, EndpointKey)>,
    /// Expiry times of load reports, in the order in which the reports came.
    report_expiries: VecDeque<(Time, EndpointKey)>,
    ejections: u64,
    pub(crate) rng: Pcg64Mcg,
}

impl Balancer {
    /// Creates a balancer without endpoints; `seed` seeds the choice among equal endpoints.
    pub fn new(options: Options, seed: u64) -> Self {
        Self {
            options,
            endpoints: SlotMap::with_key(),
            pools: SlotMap::with_key(),
            names: HashMap::new(),
            routes: HashMap::new(),
            hints: Hints::default(),
            wakeups: BTreeSet::new(),
            report_expiries: VecDeque::new(),
            ejections: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The state of an endpoint.
    pub fn endpoint(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Finds an endpoint by name.
    pub fn find(&self, name: &EndpointName) -> Option<EndpointKey> {
        self.names.get(name).copied()
    }

    /// The pool of an endpoint.
    pub fn pool_of(&self, key: EndpointKey) -> Option<PoolKey> {
        self.endpoints.get(key).map(|endpoint| endpoint.pool)
    }

    /// The pool of a route.
    pub fn pool(&self, route: &Route) -> Option<PoolKey> {
        self.routes.get(route).copied()
    }

    /// Number of ejections of slow endpoints so far.
    pub const fn ejections(&self) -> u64 {
        self.ejections
    }

    /// Counts a call that is sent to an endpoint, also towards the given caps.
    pub fn begin(
        &mut self,
        now: Time,
        key: EndpointKey,
        caps: &[CapKey],
        prefix: Option<PrefixHash>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        endpoint.load.add(now);
        endpoint.count_caps(caps, true);
        if let Some(prefix) = prefix.filter(|_| self.options.affinity) {
            self.hints.insert(prefix, key);
        }
        self.reindex(key);
    }

    /// Uncounts a call that has left an endpoint; returns the pool in which a slot became free.
    ///
    /// If the endpoint has moved to another route, that is the pool of the new route.
    pub fn end(&mut self, now: Time, key: EndpointKey, caps: &[CapKey]) -> Option<PoolKey> {
        let endpoint = self.endpoints.get_mut(key)?;
        endpoint.load.remove(now);
        endpoint.count_caps(caps, false);
        let (successor, pool) = (endpoint.successor, endpoint.pool);
        let drained = endpoint.retired && endpoint.load.own() == 0;
        if drained {
            self.endpoints.remove(key);
        } else {
            self.reindex(key);
        }
        match successor {
            Some(successor) => self.end(now, successor, &[]),
            None => Some(pool),
        }
    }

    /// Records the outcome of a dispatch that started at `started`.
    pub fn record_outcome(&mut self, now: Time, key: EndpointKey, started: Time, outcome: Outcome) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        if endpoint.health.record(now, started, outcome) {
            self.health_changed(key);
        }
    }

    /// Records the time of a call, or its time per token, as a ratio to the median of its class
    /// on its route.
    pub fn record_slowness(&mut self, now: Time, key: EndpointKey, started: Time, ratio: f64) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        endpoint.slowness.record(ratio);
        let slow = ratio > SLOW_PROBE_RATIO && self.options.ejection;
        let outcome = if slow { Outcome::Slow } else { Outcome::Good };
        self.record_outcome(now, key, started, outcome);
        self.eject_if_slow(now, key);
    }

    fn eject_if_slow(&mut self, now: Time, key: EndpointKey) {
        let endpoint = &self.endpoints[key];
        let slow = endpoint.health.is_up() && endpoint.slowness() > EJECTION_SLOWNESS;
        if !slow || !self.options.ejection {
            return;
        }
        let pool = &self.pools[endpoint.pool];
        let count = pool.endpoints.len();
        let max_ejected = (count * MAX_EJECTED_PERCENT).div_ceil(100);
        if count < MIN_EJECTION_POOL_SIZE || pool.ejected >= max_ejected {
            return;
        }
        self.ejections += 1;
        let endpoint = &mut self.endpoints[key];
        endpoint.health.eject(now);
        endpoint.slowness = Ewma::default();
        self.health_changed(key);
    }

    /// Records a load report: the calls at an endpoint, from all callers, and the report's age.
    pub fn record_load(&mut self, now: Time, name: &EndpointName, calls: u32, age: Duration) {
        let Some(key) = self.find(name) else {
            return;
        };
        let endpoint = &mut self.endpoints[key];
        let Some(expires) = endpoint.load.record_report(now, calls, age) else {
            return;
        };
        let external = endpoint.load.external().unwrap_or_default();
        let pool = endpoint.pool;
        self.pools[pool].record_external(external);
        self.report_expiries.push_back((expires, key));
        self.reindex(key);
    }

    /// Records that an endpoint's cache now holds a prefix, or no longer holds it.
    pub fn record_cache_change(&mut self, name: &EndpointName, prefix: PrefixHash, held: bool) {
        let Some(key) = self.find(name) else {
            return;
        };
        if held {
            self.hints.insert(prefix, key);
        } else {
            self.hints.forget(prefix, key);
        }
    }

    /// The next end of a suspension or grace period, at which [`Self::tick`] has to be called.
    pub fn next_wake(&self) -> Option<Time> {
        self.wakeups.first().map(|(time, _)| *time)
    }

    /// Expires load reports, and ends suspensions and grace periods.
    ///
    /// Returns the pools in which an endpoint may take calls that it could not take before.
    pub fn tick(&mut self, now: Time) -> Vec<PoolKey> {
        while let Some((expires, key)) = self.report_expiries.front().copied()
            && expires <= now
        {
            self.report_expiries.pop_front();
            let endpoint = self.endpoints.get_mut(key);
            if endpoint.is_some_and(|endpoint| endpoint.load.expire(now)) {
                self.reindex(key);
            }
        }
        let mut pools = Vec::new();
        while let Some((time, key)) = self.wakeups.first().copied()
            && time <= now
        {
            self.wakeups.pop_first();
            let Some(endpoint) = self
                .endpoints
                .get_mut(key)
                .filter(|endpoint| !endpoint.retired)
            else {
                continue;
            };
            let resumed = endpoint.health.end_suspension(now);
            if resumed || endpoint.health.end_grace(now) {
                pools.push(endpoint.pool);
                self.health_changed(key);
            }
            if resumed {
                self.wakeups.insert((now + PROBE_GRACE, key));
            }
        }
        pools
    }

    fn health_changed(&mut self, key: EndpointKey) {
        let endpoint = &self.endpoints[key];
        if let Phase::Suspended(until) = endpoint.health.phase() {
            self.wakeups.insert((until, key));
        }
        let pool = endpoint.pool;
        self.recount(pool);
        self.reindex(key);
    }

    pub(crate) fn recount(&mut self, pool: PoolKey) {
        let endpoints = &self.endpoints;
        let state = &mut self.pools[pool];
        state.count_slots(endpoints);
        let ejected = |key: &&EndpointKey| endpoints[**key].health.is_ejected();
        state.ejected = state.endpoints.iter().filter(ejected).count();
    }

    /// Updates the entries of an endpoint in the views and the probe list of its pool.
    pub(crate) fn reindex(&mut self, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.get(key).filter(|endpoint| !endpoint.retired) else {
            return;
        };
        let pool = &mut self.pools[endpoint.pool];
        let level = match self.options.strategy {
            Strategy::Full => endpoint.level(pool.external),
            Strategy::RoundRobin | Strategy::LeastOutstanding => endpoint.outstanding(),
        };
        pool.reindex(endpoint, level);
        let probing = endpoint.health.phase() == Phase::Probing;
        if probing && endpoint.has_slot() && endpoint.outstanding() == 0 {
            pool.probes.insert(key, endpoint.health.is_grace_over());
        } else {
            pool.probes.remove(&key);
        }
    }
}
