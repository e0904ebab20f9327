//! Split of a service's endpoints into two groups by what the routes declare.
//!
//! While an engine prefills a long prompt, all other streams on it pause. Calls with a relaxed
//! objective whose streams may pause for long, which are the ones with long prompts, are therefore
//! sent to endpoints of their own. The other, strict calls get as many endpoints as they need to avoid
//! waiting, and relaxed calls get the rest.
//!
//! Each VM counts the work that it sends and includes the sums in its heartbeats, so that all VMs
//! compute the same split. The split moves only when the demand has changed clearly, because an
//! endpoint that changes its group loses the use of its caches.

use crate::membership::EngineWork;
use core::time::Duration;
use poplarswitch_entity::Time;

/// Objective from which a call can wait behind long prompts.
const RELAXED_OBJECTIVE: Duration = Duration::from_secs(1);
/// Gap between two events from which a stream can run beside the prefill of long prompts.
const RELAXED_GAP: Duration = Duration::from_millis(500);
/// Time constant of the demand's exponential decay; bursts last some seconds.
pub const DECAY_TIME: Duration = Duration::from_millis(1_500);
/// Utilisation of an engine up to which calls with a strict objective seldom wait for one another.
const STRICT_UTILISATION: f64 = 0.55;
/// Utilisation of an engine up to which calls with a relaxed objective seldom wait for one another.
const RELAXED_UTILISATION: f64 = 0.85;
/// Largest share of the endpoints that either group gets while the other one has demand too.
const MAX_GROUP_SHARE: f64 = 0.8;
/// Share of the endpoints by which the target must differ from the current split before the split
/// moves.
const MOVE_HYSTERESIS: f64 = 0.06;
/// Minimum difference in endpoints before the split moves, which applies to small numbers of
/// endpoints.
const MIN_MOVE_ENDPOINTS: f64 = 0.8;
/// Demand in busy endpoints below which a group counts as unused.
const MIN_DEMAND_ENDPOINTS: f64 = 0.01;

/// One of the two groups of endpoints; each call is served by one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointGroup {
    /// Endpoints for calls that can wait and pause, which usually have long prompts.
    Relaxed,
    /// Endpoints for calls that have to start at once, or whose streams must not pause for long.
    Strict,
}

impl EndpointGroup {
    /// The group that serves calls with this latency objective and this longest gap between events;
    /// a value that a
    /// route doesn't declare, or a gap of 0, is relaxed.
    pub fn of(objective: Option<Duration>, max_gap: Option<Duration>) -> Self {
        let can_wait = objective.is_none_or(|objective| objective >= RELAXED_OBJECTIVE);
        let max_gap = max_gap.filter(|gap| !gap.is_zero());
        let can_pause = max_gap.is_none_or(|gap| gap >= RELAXED_GAP);
        if can_wait && can_pause {
            Self::Relaxed
        } else {
            Self::Strict
        }
    }
}

/// Recent work of both groups in milliseconds of engine time, with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Work of the relaxed group in milliseconds.
    pub relaxed: f64,
    /// Work of the strict group in milliseconds.
    pub strict: f64,
    updated: Time,
}

impl Demand {
    /// Adds the engine time of a call in milliseconds.
    pub fn record(&mut self, now: Time, group: EndpointGroup, work_ms: f64) {
        self.decay(now);
        match group {
            EndpointGroup::Relaxed => self.relaxed += work_ms,
            EndpointGroup::Strict => self.strict += work_ms,
        }
    }

    /// The demand after decay up to `now`.
    #[must_use]
    pub fn decayed_to(mut self, now: Time) -> Self {
        self.decay(now);
        self
    }

    /// Creates a demand from the sums of both groups as of `now`, in milliseconds.
    pub const fn from_sums(now: Time, relaxed: f64, strict: f64) -> Self {
        Self {
            relaxed,
            strict,
            updated: now,
        }
    }

    /// The sums as sent in heartbeats.
    pub const fn engine_work(self) -> EngineWork {
        EngineWork(self.relaxed as u32, self.strict as u32)
    }

    /// Adds the work of another VM, which is as of its latest heartbeat.
    #[must_use]
    pub fn plus(mut self, work: EngineWork) -> Self {
        self.relaxed += f64::from(work.0);
        self.strict += f64::from(work.1);
        self
    }

    fn decay(&mut self, now: Time) {
        let factor = (-now.since(self.updated).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.relaxed *= factor;
        self.strict *= factor;
        self.updated = now;
    }
}

/// Position at which the ordered endpoints are split into the two groups.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupSplit {
    total: usize,
    relaxed: usize,
    /// Name hash of the first endpoint of the strict group when the split last moved.
    boundary: Option<u64>,
}

impl GroupSplit {
    /// Updates the split for the endpoints with these name hashes, in ascending order, and the demand
    /// of all VMs; returns whether it moved. Endpoints that come or go leave the others in their
    /// groups, unless the sizes of the groups no longer fit the demand.
    pub fn update_ordered(&mut self, hashes: &[u64], demand: Demand) -> bool {
        if let Some(boundary) = self.boundary {
            self.relaxed = hashes.partition_point(|hash| *hash < boundary);
            self.total = hashes.len();
        }
        let moved = self.update(hashes.len(), demand);
        if moved || self.boundary.is_none() {
            let first = hashes.get(self.relaxed).copied();
            self.boundary = first.filter(|_| self.relaxed > 0);
        }
        moved
    }

    /// Updates the split for `total` endpoints and the demand of all VMs; returns whether it moved.
    pub fn update(&mut self, total: usize, demand: Demand) -> bool {
        let previous = self.relaxed;
        let target = target_relaxed(total as f64, demand);
        let min_change = (MOVE_HYSTERESIS * total as f64).max(MIN_MOVE_ENDPOINTS);
        // Without demand, or with demand in one group only, the endpoints aren't split.
        let unsplit = target <= 0.0 || target >= total as f64;
        let exceeds = (target - self.relaxed as f64).abs() > min_change;
        if exceeds || self.total != total || unsplit {
            let min = usize::from(!unsplit).min(total);
            let max = total.saturating_sub(min).max(min);
            self.relaxed = (target.round() as usize).clamp(min, max);
        }
        self.total = total;
        self.relaxed != previous
    }

    /// Splits the endpoints, in the order of their name hashes, into those of `group` and the others.
    pub fn split<'a, T>(
        &self,
        group: EndpointGroup,
        endpoints: &'a [T],
        hash: impl Fn(&T) -> u64,
    ) -> (&'a [T], &'a [T]) {
        let relaxed = match self.boundary {
            Some(boundary) => endpoints.partition_point(|endpoint| hash(endpoint) < boundary),
            None => self.relaxed,
        };
        let (relaxed, strict) = endpoints.split_at(relaxed.min(endpoints.len()));
        if relaxed.is_empty() || strict.is_empty() {
            return (endpoints, &[]);
        }
        match group {
            EndpointGroup::Relaxed => (relaxed, strict),
            EndpointGroup::Strict => (strict, relaxed),
        }
    }

    /// Number of endpoints in the relaxed group.
    pub const fn relaxed_count(&self) -> usize {
        self.relaxed
    }
}

/// Number of endpoints that the relaxed group should have.
fn target_relaxed(total: f64, demand: Demand) -> f64 {
    let busy_endpoints = |work_ms: f64| work_ms / (DECAY_TIME.as_secs_f64() * 1_000.0);
    let (relaxed, strict) = (
        busy_endpoints(demand.relaxed),
        busy_endpoints(demand.strict),
    );
    if relaxed < MIN_DEMAND_ENDPOINTS {
        return 0.0;
    }
    if strict < MIN_DEMAND_ENDPOINTS {
        return total;
    }
    let (relaxed, strict) = (relaxed / RELAXED_UTILISATION, strict / STRICT_UTILISATION);
    let strict_target = if relaxed + strict <= total {
        total * strict / (relaxed + strict)
    } else {
        strict
    };
    total - strict_target.clamp(total * (1.0 - MAX_GROUP_SHARE), total * MAX_GROUP_SHARE)
}
