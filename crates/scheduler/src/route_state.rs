//! The state of one route: its queue, its lanes, its retry budget and its recent demand.

use crate::Policy;
use crate::call::{ClassStateKey, ProfileKey};
use bon::Builder;
use core::time::Duration;
use poplarswitch_balance::{CapKey, PoolKey, ViewKey};
use poplarswitch_entity::{AdapterName, Time};
use poplarswitch_estimate::Meter;
use poplarswitch_queue::{AccountKey, LaneKey, Position, QueuedCall, RouteQueue};
use slotmap::new_key_type;
use std::collections::{BTreeSet, HashMap};

new_key_type! {
    /// Key of the state of a route.
    pub(crate) struct RouteStateKey;
}

/// Period over which a tier's demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(20);

/// The calls of one class on a route that need the same adapter, or none.
#[derive(Clone, Debug, Builder)]
pub(crate) struct LaneInfo {
    pub lane: LaneKey,
    pub tier: usize,
    pub profile: ProfileKey,
    pub adapter: Option<AdapterName>,
    /// Target for the time to first output, or to the answer if it is not streamed.
    pub target: Duration,
    /// Whether a call may run more than once.
    pub repeatable: bool,
    /// Whether the route has an endpoint for these calls, up or not.
    pub servable: bool,
    /// Cap on the slots that the class may hold, if it has one.
    pub class_cap: Option<CapKey>,
    /// Cap that keeps a slot free for non-repeatable calls of higher tiers, if the route has such
    /// classes.
    pub fixed_cap: Option<CapKey>,
    /// Endpoints limited by `class_cap` and `fixed_cap`.
    pub view: ViewKey,
    /// Endpoints that are also limited by the reserve; set once the class counts as long.
    pub reserve_view: Option<ViewKey>,
    /// Arrival rate, averaged over the target.
    pub arrivals: Meter,
    /// Largest number of calls that arrived within one target period, decaying over time.
    #[builder(default)]
    pub peak: f64,
}

impl LaneInfo {
    /// Whether calls avoid endpoints on probation, because they may not run twice or because
    /// calls of a lower tier can serve as probes.
    pub(crate) const fn avoids_probation(&self, lowest_tier: usize) -> bool {
        !self.repeatable || self.tier < lowest_tier
    }

    /// Records an arrival and updates the peak.
    pub(crate) fn record_arrival(&mut self, now: Time) {
        self.arrivals.add(now, 1.0);
        let within = self.arrivals.rate(now) * self.target.as_secs_f64();
        self.peak = self.peak.max(within);
    }
}

/// The queued calls of a route, in the order that the policy gives them.
#[derive(Debug)]
pub(crate) enum CallQueue {
    /// By tier, then by arrival. The tier is always 0 under the FIFO policies.
    Arrival(BTreeSet<(usize, Position, AccountKey)>),
    /// Tiers with floors, deadlines and fairness between workspaces.
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

    pub(crate) fn insert(&mut self, tier: usize, queued: QueuedCall, weight: u32) {
        match self {
            Self::Arrival(calls) => {
                calls.insert((tier, queued.position, queued.account));
            }
            Self::Full(queue) => queue.insert(queued, weight),
        }
    }

    pub(crate) fn remove(&mut self, tier: usize, queued: QueuedCall) {
        match self {
            Self::Arrival(calls) => {
                calls.remove(&(tier, queued.position, queued.account));
            }
            Self::Full(queue) => {
                queue.remove(queued);
            }
        }
    }
}

/// A token bucket that bounds the retries of a route. Each retry costs one token.
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

    /// Adds the share of a token that a call's first dispatch earns.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + self.per_dispatch).min(self.capacity);
    }

    /// Takes a token for a retry; returns whether one was available.
    pub(crate) fn withdraw(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(available));
        available
    }
}

/// The slots kept free for classes with short targets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reserve {
    pub cap: CapKey,
    pub slots: u32,
    pub updated: Time,
}

/// The state of one route.
#[derive(Debug)]
pub(crate) struct RouteState {
    pub pool: PoolKey,
    pub queue: CallQueue,
    pub lanes: Vec<LaneInfo>,
    pub index: HashMap<(ClassStateKey, Option<AdapterName>), usize>,
    pub class_caps: HashMap<ClassStateKey, CapKey>,
    /// Expected slot time of arriving calls per second, by tier.
    pub demand: Vec<Meter>,
    pub budget: RetryBudget,
    pub reserve: Reserve,
    /// Cap that keeps a slot free for non-repeatable calls.
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

    /// Index of the lowest tier among the lanes.
    pub(crate) fn lowest_tier(&self) -> usize {
        let tiers = self.lanes.iter().map(|info| info.tier);
        tiers.max().unwrap_or_default()
    }

    /// Clears the queue, the lanes and the demand, for a set with other tiers or classes.
    pub(crate) fn reset(&mut self, policy: Policy, floors: &[u8]) {
        self.queue = CallQueue::new(policy, floors);
        self.lanes.clear();
        self.index.clear();
        self.demand = vec![Meter::new(DEMAND_WINDOW); floors.len()];
    }
}
