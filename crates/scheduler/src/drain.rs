//! How long a new call would wait.
//!
//! The work that goes before it, over the slots that higher tiers' arrivals leave: calls of
//! higher tiers, and of its own tier those of classes with a target no longer than its own.
//! Work of lower tiers never counts.

use crate::Scheduler;
use crate::group::{GroupKey, LaneInfo, Order};
use core::time::Duration;
use poplarswitch_entity::Time;

/// Tokens that a class without any finished call is assumed to produce.
const UNKNOWN_TOKENS: u32 = 100;
/// Share of the slots that a tier can count on however busy the higher tiers are.
const MIN_SHARE: f64 = 0.25;
/// Shortest retry time told.
const MIN_RETRY: Duration = Duration::from_secs(1);
/// Longest retry time told.
const MAX_RETRY: Duration = Duration::from_mins(2);

impl Scheduler {
    /// Time until the work that goes before a new call of a lane has been started.
    pub(crate) fn drain(&self, now: Time, key: GroupKey, lane: usize) -> Duration {
        let group = &self.groups[key];
        let (Order::Full(queue), Some(own)) = (&group.order, group.lanes.get(lane)) else {
            return Duration::ZERO;
        };
        let before = |other: &&LaneInfo| {
            let sooner = other.tier == own.tier && other.target <= own.target;
            other.tier < own.tier || sooner
        };
        let work: f64 = group
            .lanes
            .iter()
            .filter(before)
            .map(|other| {
                let waiting = queue.lane_len(other.lane) as f64;
                waiting * self.usage(key, other.lane.index()).as_secs_f64()
            })
            .sum();
        if work <= 0.0 {
            return Duration::ZERO;
        }
        let slots = f64::from(self.balancer.slots(group.pool).max(1));
        let higher: f64 = group.demand[..own.tier]
            .iter()
            .map(|meter| meter.rate(now))
            .sum();
        let share = (1.0 - higher / slots).max(MIN_SHARE);
        Duration::from_secs_f64(work / (slots * share))
    }

    /// When a new attempt is worth while.
    pub(crate) fn retry_time(&self, now: Time, group: GroupKey, lane: usize) -> Duration {
        self.drain(now, group, lane).clamp(MIN_RETRY, MAX_RETRY)
    }

    /// Slot time that a call of a lane is expected to use; pessimistic while unknown.
    pub(crate) fn usage(&self, key: GroupKey, lane: usize) -> Duration {
        let info = &self.groups[key].lanes[lane];
        let profile = &self.book.profiles[info.profile];
        profile
            .duration_mean()
            .unwrap_or_else(|| info.target + info.per_token * UNKNOWN_TOKENS)
    }
}
