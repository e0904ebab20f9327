//! How long a new call would wait.
//!
//! The work that goes before it, over the slots that higher tiers' arrivals leave: calls of
//! higher tiers, and of its own tier those of classes with a target no longer than its own.
//! Work of lower tiers never counts.
//!
//! A class that has not had an answer on the route yet is read optimistically: its calls take
//! a part of their target, and endpoints that are out for the moment count as if they were
//! up. A guess must not cost a call that could have been served; if it proves too low, the
//! call's longest wait ends it before anything is run.

use crate::Scheduler;
use crate::route_state::{CallQueue, LaneInfo, RouteStateKey};
use core::time::Duration;
use poplarswitch_entity::Time;

/// Part of its target that a call of a class without any finished call is assumed to take.
const UNKNOWN_TARGET_DIVISOR: u32 = 4;
/// Share of the slots that a tier can count on however busy the higher tiers are.
const MIN_SHARE: f64 = 0.25;
/// Shortest retry time told.
const MIN_RETRY: Duration = Duration::from_secs(1);
/// Longest retry time told.
const MAX_RETRY: Duration = Duration::from_mins(2);

impl Scheduler {
    /// Time until the work that goes before a new call of a lane has been started.
    pub(crate) fn expected_wait(&self, now: Time, key: RouteStateKey, lane: usize) -> Duration {
        let route_state = &self.route_states[key];
        let (CallQueue::Full(queue), Some(own)) = (&route_state.queue, route_state.lanes.get(lane))
        else {
            return Duration::ZERO;
        };
        let before = |other: &&LaneInfo| {
            let sooner = other.tier == own.tier && other.target <= own.target;
            other.tier < own.tier || sooner
        };
        let work: f64 = route_state
            .lanes
            .iter()
            .filter(before)
            .map(|other| {
                let waiting = queue.lane_len(other.lane) as f64;
                waiting
                    * self
                        .expected_slot_time(key, other.lane.index())
                        .as_secs_f64()
            })
            .sum();
        if work <= 0.0 {
            return Duration::ZERO;
        }
        let slots = if self.has_samples(own) {
            self.balancer.slots(route_state.pool)
        } else {
            self.balancer.declared_slots(route_state.pool)
        };
        let slots = f64::from(slots.max(1));
        let higher: f64 = route_state.demand[..own.tier]
            .iter()
            .map(|meter| meter.rate(now))
            .sum();
        let share = (1.0 - higher / slots).max(MIN_SHARE);
        Duration::from_secs_f64(work / (slots * share))
    }

    /// When a new attempt is worth while.
    pub(crate) fn retry_time(
        &self,
        now: Time,
        route_state: RouteStateKey,
        lane: usize,
    ) -> Duration {
        self.expected_wait(now, route_state, lane)
            .clamp(MIN_RETRY, MAX_RETRY)
    }

    /// Whether a new call of a lane can start at once.
    pub(crate) fn has_free_slot(&self, key: RouteStateKey, lane: usize) -> bool {
        let route_state = &self.route_states[key];
        let info = &route_state.lanes[lane];
        let cautious = info.avoids_probation(route_state.lowest_tier());
        self.balancer
            .has_room(route_state.pool, info.view, cautious)
    }

    /// Whether a class has had an answer on the route.
    fn has_samples(&self, info: &LaneInfo) -> bool {
        self.registry.profiles[info.profile].count() > 0
    }

    /// Slot time that a call of a lane is expected to use; optimistic while unknown.
    pub(crate) fn expected_slot_time(&self, key: RouteStateKey, lane: usize) -> Duration {
        let info = &self.route_states[key].lanes[lane];
        let profile = &self.registry.profiles[info.profile];
        profile
            .duration_mean()
            .unwrap_or(info.target / UNKNOWN_TARGET_DIVISOR)
    }
}
