//! The state of all endpoints, and what changes it.

use crate::endpoint::Endpoint;
use crate::health::GRACE;
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

/// Slowness beyond which an endpoint is put out.
const EJECT_RATIO: f64 = 2.5;
/// Slowness beyond which a single probe counts as slow.
const PROBE_RATIO: f64 = 2.0;
/// Most of a pool's endpoints that may be out because they are slow, in percent.
const MAX_EJECTED_PERCENT: usize = 20;
/// Fewest endpoints of a pool in which one may be put out because it is slow.
const MIN_SIBLINGS: usize = 3;

/// How endpoints are ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Strategy {
    /// In turn.
    RoundRobin,
    /// By outstanding calls.
    LeastOutstanding,
    /// By load, slowness, affinity and nearness.
    #[default]
    Full,
}

/// What the balancer may use.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How endpoints are ordered.
    pub strategy: Strategy,
    /// Whether calls with the same prefix are kept together.
    pub affinity: bool,
    /// Whether stragglers are put out.
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
    wakes: BTreeSet<(Time, EndpointKey)>,
    reports: VecDeque<(Time, EndpointKey)>,
    ejections: u64,
    pub(crate) random: Pcg64Mcg,
}

impl Balancer {
    /// Starts without endpoints.
    pub fn new(options: Options, seed: u64) -> Self {
        Self {
            options,
            endpoints: SlotMap::with_key(),
            pools: SlotMap::with_key(),
            names: HashMap::new(),
            routes: HashMap::new(),
            hints: Hints::default(),
            wakes: BTreeSet::new(),
            reports: VecDeque::new(),
            ejections: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// An endpoint.
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

    /// Stragglers that were put out so far.
    pub const fn ejections(&self) -> u64 {
        self.ejections
    }

    /// Counts a call that goes to an endpoint.
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
        endpoint.count(caps, true);
        if let Some(prefix) = prefix.filter(|_| self.options.affinity) {
            self.hints.insert(prefix, key);
        }
        self.relist(key);
    }

    /// Uncounts a call that has left an endpoint; gives the pool that has a slot for it.
    pub fn end(&mut self, now: Time, key: EndpointKey, caps: &[CapKey]) -> Option<PoolKey> {
        let endpoint = self.endpoints.get_mut(key)?;
        endpoint.load.remove(now);
        endpoint.count(caps, false);
        let (successor, pool) = (endpoint.successor, endpoint.pool);
        let gone = endpoint.retired && endpoint.load.own() == 0;
        if gone {
            self.endpoints.remove(key);
        } else {
            self.relist(key);
        }
        match successor {
            Some(heir) => self.end(now, heir, &[]),
            None => Some(pool),
        }
    }

    /// Records how a call that started at a time spoke for its endpoint.
    pub fn record_outcome(&mut self, now: Time, key: EndpointKey, started: Time, outcome: Outcome) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        if endpoint.health.record(now, started, outcome) {
            self.health_changed(key);
        }
    }

    /// Records how much slower than the median of its class a call was.
    pub fn record_slowness(&mut self, now: Time, key: EndpointKey, started: Time, ratio: f64) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        endpoint.pace.record(ratio);
        let slow = ratio > PROBE_RATIO && self.options.ejection;
        let outcome = if slow { Outcome::Slow } else { Outcome::Good };
        self.record_outcome(now, key, started, outcome);
        self.eject_if_slow(now, key);
    }

    fn eject_if_slow(&mut self, now: Time, key: EndpointKey) {
        let endpoint = &self.endpoints[key];
        let slow = endpoint.health.is_up() && endpoint.slowness() > EJECT_RATIO;
        if !slow || !self.options.ejection {
            return;
        }
        let pool = &self.pools[endpoint.pool];
        let count = pool.endpoints.len();
        let most = (count * MAX_EJECTED_PERCENT).div_ceil(100);
        if count < MIN_SIBLINGS || pool.ejected >= most {
            return;
        }
        self.ejections += 1;
        let endpoint = &mut self.endpoints[key];
        endpoint.health.eject(now);
        endpoint.pace = Ewma::default();
        self.health_changed(key);
    }

    /// Takes a load report.
    pub fn record_load(&mut self, now: Time, name: &EndpointName, calls: u32, age: Duration) {
        let Some(key) = self.find(name) else {
            return;
        };
        let endpoint = &mut self.endpoints[key];
        let Some(expires) = endpoint.load.report(now, calls, age) else {
            return;
        };
        let foreign = endpoint.load.foreign().unwrap_or_default();
        let pool = endpoint.pool;
        self.pools[pool].note_foreign(foreign);
        self.reports.push_back((expires, key));
        self.relist(key);
    }

    /// Takes a change of an endpoint's prefix cache.
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

    /// When `tick` is next worth calling.
    pub fn next_wake(&self) -> Option<Time> {
        self.wakes.first().map(|(time, _)| *time)
    }

    /// Lets time pass; gives the pools in which an endpoint came back on probation.
    pub fn tick(&mut self, now: Time) -> Vec<PoolKey> {
        while let Some((expires, key)) = self.reports.front().copied()
            && expires <= now
        {
            self.reports.pop_front();
            let endpoint = self.endpoints.get_mut(key);
            if endpoint.is_some_and(|endpoint| endpoint.load.expire(now)) {
                self.relist(key);
            }
        }
        let mut pools = Vec::new();
        while let Some((time, key)) = self.wakes.first().copied()
            && time <= now
        {
            self.wakes.pop_first();
            let Some(endpoint) = self
                .endpoints
                .get_mut(key)
                .filter(|endpoint| !endpoint.retired)
            else {
                continue;
            };
            let woke = endpoint.health.wake(now);
            if woke || endpoint.health.settle(now) {
                pools.push(endpoint.pool);
                self.health_changed(key);
            }
            if woke {
                self.wakes.insert((now + GRACE, key));
            }
        }
        pools
    }

    fn health_changed(&mut self, key: EndpointKey) {
        let endpoint = &self.endpoints[key];
        if let Phase::Out(until) = endpoint.health.phase() {
            self.wakes.insert((until, key));
        }
        let pool = endpoint.pool;
        self.recount(pool);
        self.relist(key);
    }

    pub(crate) fn recount(&mut self, pool: PoolKey) {
        let endpoints = &self.endpoints;
        let state = &mut self.pools[pool];
        state.count_slots(endpoints);
        let ejected = |key: &&EndpointKey| endpoints[**key].health.is_ejected();
        state.ejected = state.endpoints.iter().filter(ejected).count();
    }

    /// Lists an endpoint anew after its state changed.
    pub(crate) fn relist(&mut self, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.get(key).filter(|endpoint| !endpoint.retired) else {
            return;
        };
        let pool = &mut self.pools[endpoint.pool];
        let level = match self.options.strategy {
            Strategy::Full => endpoint.level(pool.foreign),
            Strategy::RoundRobin | Strategy::LeastOutstanding => endpoint.outstanding(),
        };
        pool.relist(endpoint, level);
        let probing = endpoint.health.phase() == Phase::Probing;
        if probing && endpoint.has_slot() && endpoint.outstanding() == 0 {
            pool.probes.insert(key, endpoint.health.is_settled());
        } else {
            pool.probes.remove(&key);
        }
    }
}
