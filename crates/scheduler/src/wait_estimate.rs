//! Estimates how long a new call would wait for a slot.
//!
//! The estimate is the expected slot time of the queued calls that are served before the new
//! one, divided by the number of slots that arrivals in higher tiers leave. Calls of higher
//! tiers are served before it, and in its own tier those of classes whose target is no longer
//! than its own. Calls of lower tiers never count.
//!
//! For a class without an answered call on the route the estimate is optimistic: each call is
//! assumed to take a fraction of its target, and endpoints that are temporarily unavailable
//! count as available. A call that could be served in time should not be refused because of a
//! guess. If the estimate is too low, the wait limit of the class ends the call before it is
//! dispatched.

use crate::Scheduler;
use crate::route_state::{CallQueue, LaneInfo, RouteStateKey};
use core::time::Duration;
use poplarswitch_entity::Time;

/// A call whose class has no answered call on the route is assumed to take its target divided
/// by this number.
const TARGET_DIVISOR: u32 = 4;
/// Smallest share of the slots that the estimate assumes for a tier, regardless of the load of
/// the higher tiers.
const MIN_SLOT_SHARE: f64 = 0.25;
/// Shortest retry time reported.
const MIN_RETRY_TIME: Duration = Duration::from_secs(1);
/// Longest retry time reported.
const MAX_RETRY_TIME: Duration = Duration::from_mins(2);

impl Scheduler {
    /// Expected time until a new call of a lane is dispatched.
    pub(crate) fn expected_wait(&self, now: Time, key: RouteStateKey, lane: usize) -> Duration {
        let route_state = &self.route_states[key];
        let (CallQueue::Full(queue), Some(info)) =
            (&route_state.queue, route_state.lanes.get(lane))
        else {
            return Duration::ZERO;
        };
        let is_served_before = |other: &&LaneInfo| {
            let sooner = other.tier == info.tier && other.target <= info.target;
            other.tier < info.tier || sooner
        };
        let work: f64 = route_state
            .lanes
            .iter()
            .filter(is_served_before)
            .map(|other| {
                let queued = queue.lane_len(other.lane) as f64;
                queued
                    * self
                        .expected_slot_time(key, other.lane.index())
                        .as_secs_f64()
            })
            .sum();
        if work <= 0.0 {
            return Duration::ZERO;
        }
        let slots = if self.has_samples(info) {
            self.balancer.slots(route_state.pool)
        } else {
            self.balancer.declared_slots(route_state.pool)
        };
        let slots = f64::from(slots.max(1));
        let higher: f64 = route_state.demand[..info.tier]
            .iter()
            .map(|meter| meter.rate(now))
            .sum();
        let share = (1.0 - higher / slots).max(MIN_SLOT_SHARE);
        Duration::from_secs_f64(work / (slots * share))
    }

    /// Time after which a refused call should be retried.
    pub(crate) fn retry_time(&self, now: Time, route_key: RouteStateKey, lane: usize) -> Duration {
        self.expected_wait(now, route_key, lane)
            .clamp(MIN_RETRY_TIME, MAX_RETRY_TIME)
    }

    /// Whether an endpoint has a free slot for a new call of a lane.
    pub(crate) fn has_free_slot(&self, key: RouteStateKey, lane: usize) -> bool {
        let route_state = &self.route_states[key];
        let info = &route_state.lanes[lane];
        let avoid_probation = info.avoids_probation(route_state.lowest_tier());
        self.balancer
            .has_room(route_state.pool, info.view, avoid_probation)
    }

    /// Whether a call of the class has been answered on the route.
    fn has_samples(&self, info: &LaneInfo) -> bool {
        self.registry.profiles[info.profile].count() > 0
    }

    /// Time for which a call of a lane is expected to hold a slot.
    pub(crate) fn expected_slot_time(&self, key: RouteStateKey, lane: usize) -> Duration {
        let info = &self.route_states[key].lanes[lane];
        let profile = &self.registry.profiles[info.profile];
        profile
            .duration_mean()
            .unwrap_or(info.target / TARGET_DIVISOR)
    }
}
