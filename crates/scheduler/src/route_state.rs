//! The calls of one route: their queue, their lanes, and the route's recent demand.

use crate::Policy;
use crate::call::{ClassStateKey, ProfileKey};
use bon::Builder;
use core::time::Duration;
use poplarswitch_balance::{CapKey, PoolKey, ViewKey};
use poplarswitch_entity::{AdapterName, Time};
use poplarswitch_estimate::Meter;
use poplarswitch_queue::{AccountKey, LaneKey, Place, RouteQueue, Waiting};
use slotmap::new_key_type;
use std::collections::{BTreeSet, HashMap};

new_key_type! {
    /// Refers to the calls of a route.
    pub(crate) struct RouteStateKey;
}

/// Time over which a tier's demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(20);

/// A class on a route, with an adapter.
#[derive(Clone, Debug, Builder)]
pub(crate) struct LaneInfo {
    pub lane: LaneKey,
    pub tier: usize,
    pub profile: ProfileKey,
    pub adapter: Option<AdapterName>,
    /// Time within which its calls expect their first output.
    pub target: Duration,
    /// Whether its calls may run more than once.
    pub repeatable: bool,
    /// Whether an endpoint could serve its calls if all were up.
    pub servable: bool,
    /// The class's own bound, if it has one.
    pub class_cap: Option<CapKey>,
    /// The bound that keeps a slot for bookings of a higher tier, if the route has such.
    pub fixed_cap: Option<CapKey>,
    /// Sites within the class's own bound and the guard.
    pub view: ViewKey,
    /// Sites that also keep the reserve free, once the class counts as long.
    pub reserve_view: Option<ViewKey>,
    /// Calls that arrive within the target.
    pub arrivals: Meter,
    /// Most calls that arrived within the target, fading.
    #[builder(default)]
    pub peak: f64,
}

impl LaneInfo {
    /// Whether its calls keep away from endpoints on probation: because they may not run
    /// twice, or because calls of a lower tier can probe.
    pub(crate) const fn avoids_probation(&self, lowest_tier: usize) -> bool {
        !self.repeatable || self.tier < lowest_tier
    }

    /// Counts an arrival towards the peak.
    pub(crate) fn record_arrival(&mut self, now: Time) {
        self.arrivals.add(now, 1.0);
        let within = self.arrivals.rate(now) * self.target.as_secs_f64();
        self.peak = self.peak.max(within);
    }
}

/// The order in which a route's calls are served.
#[derive(Debug)]
pub(crate) enum CallQueue {
    /// By tier (always zero for plain arrival order), then by arrival.
    Arrival(BTreeSet<(usize, Place, AccountKey)>),
    /// Tiers with floors, slack and fairness.
    Full(RouteQueue),
}

impl CallQueue {
    pub(crate) fn new(policy: Policy, floors: &[u8]) -> Self {
        match policy {
            Policy::Full => Self::Full(RouteQueue::new(floors)),
            Policy::FifoRoundRobin
            | Policy::FifoLeastOutstanding
            | Policy::StrictLeastOutstanding => Self::Arrival(BTreeSet::new()),
        }
    }

    pub(crate) fn len(&self) -> usize {
        match self {
            Self::Arrival(calls) => calls.len(),
            Self::Full(queue) => queue.len(),
        }
    }

    pub(crate) fn insert(&mut self, tier: usize, waiting: Waiting, weight: u32) {
        match self {
            Self::Arrival(calls) => {
                calls.insert((tier, waiting.place, waiting.account));
            }
            Self::Full(queue) => queue.insert(waiting, weight),
        }
    }

    pub(crate) fn remove(&mut self, tier: usize, waiting: Waiting) {
        match self {
            Self::Arrival(calls) => {
                calls.remove(&(tier, waiting.place, waiting.account));
            }
            Self::Full(queue) => {
                queue.remove(waiting);
            }
        }
    }
}

/// Tokens of a retry budget.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
    capacity: f64,
    per_dispatch: f64,
}

impl RetryBudget {
    pub(crate) fn new(percent: u32, reserve: u32) -> Self {
        Self {
            tokens: f64::from(reserve),
            capacity: f64::from(reserve),
            per_dispatch: f64::from(percent) / 100.0,
        }
    }

    /// Counts a fresh dispatch.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + self.per_dispatch).min(self.capacity);
    }

    /// Takes a retry out of the budget, if there is one.
    pub(crate) fn withdraw(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(available));
        available
    }
}

/// The slots kept free for short urgent classes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reserve {
    pub cap: CapKey,
    pub slots: u32,
    pub updated: Time,
}

/// The calls of one route.
#[derive(Debug)]
pub(crate) struct RouteState {
    pub pool: PoolKey,
    pub queue: CallQueue,
    pub lanes: Vec<LaneInfo>,
    pub index: HashMap<(ClassStateKey, Option<AdapterName>), usize>,
    pub class_caps: HashMap<ClassStateKey, CapKey>,
    /// Slot time asked for, by tier.
    pub demand: Vec<Meter>,
    pub budget: RetryBudget,
    pub reserve: Reserve,
    /// The bound that keeps a slot for calls that may not be repeated.
    pub fixed_cap: Option<CapKey>,
}

impl RouteState {
    pub(crate) fn new(pool: PoolKey, budget: RetryBudget, reserve_cap: CapKey) -> Self {
        Self {
            pool,
            queue: CallQueue::Arrival(BTreeSet::new()),
            lanes: Vec::new(),
            index: HashMap::new(),
            class_caps: HashMap::new(),
            demand: Vec::new(),
            budget,
            fixed_cap: None,
            reserve: Reserve {
                cap: reserve_cap,
                slots: 0,
                updated: Time::ZERO,
            },
        }
    }

    /// The lowest tier that has had calls.
    pub(crate) fn lowest_tier(&self) -> usize {
        let tiers = self.lanes.iter().map(|info| info.tier);
        tiers.max().unwrap_or_default()
    }

    /// Forgets queue and lanes for a set with other tiers.
    pub(crate) fn reset(&mut self, policy: Policy, floors: &[u8]) {
        self.queue = CallQueue::new(policy, floors);
        self.lanes.clear();
        self.index.clear();
        self.demand = vec![Meter::new(DEMAND_WINDOW); floors.len()];
    }
}
