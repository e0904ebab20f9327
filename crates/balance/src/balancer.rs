//! The state of all endpoints, and what changes it.

use crate::health::GRACE;
use crate::hints::Hints;
use crate::pool::Pool;
use crate::site::Site;
use crate::{CapKey, Outcome, Phase, PoolKey, SiteKey};
use core::time::Duration;
use poplarswitch_catalog::Route;
use poplarswitch_entity::{EndpointName, PrefixHash, Time};
use poplarswitch_estimate::Ewma;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Slowness beyond which a site is put out.
const EJECT_RATIO: f64 = 2.5;
/// Slowness beyond which a single probe counts as slow.
const PROBE_RATIO: f64 = 2.0;
/// Most of a pool's sites that may be out because they are slow, in percent.
const MAX_EJECTED_PERCENT: usize = 20;
/// Fewest sites of a pool in which one may be put out because it is slow.
const MIN_SIBLINGS: usize = 3;

/// How sites are ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Style {
    /// In turn.
    Turn,
    /// By outstanding calls.
    Least,
    /// By load, slowness, affinity and nearness.
    #[default]
    Full,
}

/// What the balancer may use.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How sites are ordered.
    pub style: Style,
    /// Whether calls with the same prefix are kept together.
    pub affinity: bool,
    /// Whether stragglers are put out.
    pub ejection: bool,
}

/// Keeps the state of all endpoints and chooses among them.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) options: Options,
    pub(crate) sites: SlotMap<SiteKey, Site>,
    pub(crate) pools: SlotMap<PoolKey, Pool>,
    pub(crate) names: HashMap<EndpointName, SiteKey>,
    pub(crate) routes: HashMap<Route, PoolKey>,
    pub(crate) hints: Hints,
    wakes: BTreeSet<(Time, SiteKey)>,
    reports: VecDeque<(Time, SiteKey)>,
    ejections: u64,
    pub(crate) random: Pcg64Mcg,
}

impl Balancer {
    /// Starts without endpoints.
    pub fn new(options: Options, seed: u64) -> Self {
        Self {
            options,
            sites: SlotMap::with_key(),
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
    pub fn site(&self, key: SiteKey) -> Option<&Site> {
        self.sites.get(key)
    }

    /// Finds an endpoint by name.
    pub fn find(&self, name: &EndpointName) -> Option<SiteKey> {
        self.names.get(name).copied()
    }

    /// The pool of an endpoint.
    pub fn pool_of(&self, key: SiteKey) -> Option<PoolKey> {
        self.sites.get(key).map(|site| site.pool)
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
    pub fn begin(&mut self, now: Time, key: SiteKey, caps: &[CapKey], prefix: Option<PrefixHash>) {
        let Some(site) = self.sites.get_mut(key) else {
            return;
        };
        site.load.add(now);
        site.count(caps, true);
        if let Some(prefix) = prefix.filter(|_| self.options.affinity) {
            self.hints.insert(prefix, key);
        }
        self.relist(key);
    }

    /// Uncounts a call that has left an endpoint; gives the pool that has a slot for it.
    pub fn end(&mut self, now: Time, key: SiteKey, caps: &[CapKey]) -> Option<PoolKey> {
        let site = self.sites.get_mut(key)?;
        site.load.remove(now);
        site.count(caps, false);
        let (successor, pool) = (site.successor, site.pool);
        let gone = site.retired && site.load.own() == 0;
        if gone {
            self.sites.remove(key);
        } else {
            self.relist(key);
        }
        match successor {
            Some(heir) => self.end(now, heir, &[]),
            None => Some(pool),
        }
    }

    /// Records how a call that started at a time spoke for its endpoint.
    pub fn judge(&mut self, now: Time, key: SiteKey, started: Time, outcome: Outcome) {
        let Some(site) = self.sites.get_mut(key) else {
            return;
        };
        if site.health.record(now, started, outcome) {
            self.health_changed(key);
        }
    }

    /// Records how much slower than the median of its class a call was.
    pub fn measure(&mut self, now: Time, key: SiteKey, started: Time, ratio: f64) {
        let Some(site) = self.sites.get_mut(key) else {
            return;
        };
        site.pace.record(ratio);
        let slow = ratio > PROBE_RATIO && self.options.ejection;
        let outcome = if slow { Outcome::Slow } else { Outcome::Good };
        self.judge(now, key, started, outcome);
        self.eject_if_slow(now, key);
    }

    fn eject_if_slow(&mut self, now: Time, key: SiteKey) {
        let site = &self.sites[key];
        let slow = site.health.is_up() && site.slowness() > EJECT_RATIO;
        if !slow || !self.options.ejection {
            return;
        }
        let pool = &self.pools[site.pool];
        let count = pool.sites.len();
        let most = (count * MAX_EJECTED_PERCENT).div_ceil(100);
        if count < MIN_SIBLINGS || pool.ejected >= most {
            return;
        }
        self.ejections += 1;
        let site = &mut self.sites[key];
        site.health.eject(now);
        site.pace = Ewma::default();
        self.health_changed(key);
    }

    /// Takes a load report.
    pub fn report(&mut self, now: Time, name: &EndpointName, calls: u32, age: Duration) {
        let Some(key) = self.find(name) else {
            return;
        };
        let site = &mut self.sites[key];
        let Some(expires) = site.load.report(now, calls, age) else {
            return;
        };
        let foreign = site.load.foreign().unwrap_or_default();
        let pool = site.pool;
        self.pools[pool].note_foreign(foreign);
        self.reports.push_back((expires, key));
        self.relist(key);
    }

    /// Takes a change of an endpoint's prefix cache.
    pub fn cache(&mut self, name: &EndpointName, prefix: PrefixHash, held: bool) {
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
            let site = self.sites.get_mut(key);
            if site.is_some_and(|site| site.load.expire(now)) {
                self.relist(key);
            }
        }
        let mut pools = Vec::new();
        while let Some((time, key)) = self.wakes.first().copied()
            && time <= now
        {
            self.wakes.pop_first();
            let Some(site) = self.sites.get_mut(key).filter(|site| !site.retired) else {
                continue;
            };
            let woke = site.health.wake(now);
            if woke || site.health.settle(now) {
                pools.push(site.pool);
                self.health_changed(key);
            }
            if woke {
                self.wakes.insert((now + GRACE, key));
            }
        }
        pools
    }

    fn health_changed(&mut self, key: SiteKey) {
        let site = &self.sites[key];
        if let Phase::Out(until) = site.health.phase() {
            self.wakes.insert((until, key));
        }
        let pool = site.pool;
        self.recount(pool);
        self.relist(key);
    }

    pub(crate) fn recount(&mut self, pool: PoolKey) {
        let sites = &self.sites;
        let state = &mut self.pools[pool];
        state.count_slots(sites);
        let ejected = |key: &&SiteKey| sites[**key].health.is_ejected();
        state.ejected = state.sites.iter().filter(ejected).count();
    }

    /// Lists a site anew after its state changed.
    pub(crate) fn relist(&mut self, key: SiteKey) {
        let Some(site) = self.sites.get(key).filter(|site| !site.retired) else {
            return;
        };
        let pool = &mut self.pools[site.pool];
        let level = match self.options.style {
            Style::Full => site.level(pool.foreign),
            Style::Turn | Style::Least => site.outstanding(),
        };
        pool.relist(site, level);
        let probing = site.health.phase() == Phase::Probing;
        if probing && site.has_slot() && site.outstanding() == 0 {
            pool.probes.insert(key, site.health.is_settled());
        } else {
            pool.probes.remove(&key);
        }
    }
}
