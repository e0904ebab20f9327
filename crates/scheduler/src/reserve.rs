//! Keeps slots free for classes with short targets, sized by their recent demand.
//!
//! A class is long on a route if its calls hold a slot, on average, for longer than the target of
//! a class of a higher tier. A class is urgent if it is not long and its target is shorter than
//! `duration`, the longest mean hold time of the long classes. While long calls fill all slots,
//! only slots * target / duration slots become free within an urgent class's target. The
//! shortfall of the class is the number by which the recent peak of urgent calls that arrived
//! within that target exceeds these slots, and at least one if the class is non-repeatable. The
//! reserve is the largest shortfall of the urgent classes, but at most a quarter of the slots.
//!
//! Only long calls leave the reserve free. A tier that is due by its floor may use it.

use crate::route_state::{CallQueue, LaneInfo, RouteState, RouteStateKey};
use crate::{Policy, Scheduler};
use core::time::Duration;
use poplarswitch_balance::Cap;
use poplarswitch_entity::Time;

/// Shortest time between two updates of a route's reserve.
const UPDATE_INTERVAL: Duration = Duration::from_secs(2);
/// Time in which a lane's recorded arrival peak decays to half.
const PEAK_HALF_LIFE: Duration = Duration::from_mins(1);
/// The reserve is at most the route's slots divided by this number.
const RESERVE_DIVISOR: u32 = 4;

impl Scheduler {
    pub(crate) fn update_reserve(&mut self, now: Time, key: RouteStateKey) {
        let route_state = &mut self.route_states[key];
        let elapsed = now.since(route_state.reserve.updated);
        let off = self.policy != Policy::Full || !self.tuning.reserve;
        if off || elapsed < UPDATE_INTERVAL {
            return;
        }
        route_state.reserve.updated = now;
        decay_peaks(route_state, elapsed);
        self.mark_long_lanes(key);
        let slots = self.reserve_size(key);
        let route_state = &mut self.route_states[key];
        if slots != route_state.reserve.slots {
            route_state.reserve.slots = slots;
            let cap = Cap::AllBut(slots);
            self.balancer
                .set_cap(route_state.pool, route_state.reserve.cap, cap);
        }
    }

    /// Gives lanes that have become long a view that leaves the reserve free.
    fn mark_long_lanes(&mut self, key: RouteStateKey) {
        for index in 0..self.route_states[key].lanes.len() {
            let route_state = &self.route_states[key];
            let info = &route_state.lanes[index];
            if info.reserve_view.is_some() || !self.is_long(route_state, info) {
                continue;
            }
            let base = info.class_cap.into_iter().chain(info.fixed_cap);
            let caps: Vec<_> = base.chain([route_state.reserve.cap]).collect();
            let adapter = info.adapter.clone();
            let view = self
                .balancer
                .view(route_state.pool, &caps, adapter.as_ref());
            self.route_states[key].lanes[index].reserve_view = Some(view);
        }
    }

    fn is_long(&self, route_state: &RouteState, info: &LaneInfo) -> bool {
        let Some(duration) = self.registry.profiles[info.profile].duration_mean() else {
            return false;
        };
        let mut others = route_state.lanes.iter();
        others.any(|other| other.tier < info.tier && other.target < duration)
    }

    fn reserve_size(&self, key: RouteStateKey) -> u32 {
        let route_state = &self.route_states[key];
        let long = route_state
            .lanes
            .iter()
            .filter(|info| info.reserve_view.is_some());
        let duration = long
            .filter_map(|info| self.registry.profiles[info.profile].duration_mean())
            .max();
        let Some(duration) = duration else {
            return 0;
        };
        let slots = self.balancer.slots(route_state.pool);
        let urgent: Vec<&LaneInfo> = route_state
            .lanes
            .iter()
            .filter(|info| info.reserve_view.is_none() && info.target < duration)
            .collect();
        let shortfall = |info: &&LaneInfo| {
            let freed = f64::from(slots) * info.target.as_secs_f64() / duration.as_secs_f64();
            let sooner = urgent.iter().filter(|other| other.target <= info.target);
            let arriving: f64 = sooner.map(|other| other.peak).sum();
            let minimum = f64::from(u8::from(!info.repeatable));
            (arriving - freed).max(minimum)
        };
        let largest = urgent.iter().map(shortfall).fold(0.0, f64::max);
        (largest.ceil() as u32).min(slots / RESERVE_DIVISOR)
    }
}

fn decay_peaks(route_state: &mut RouteState, elapsed: Duration) {
    if !matches!(route_state.queue, CallQueue::Full(_)) {
        return;
    }
    let factor = 0.5_f64.powf(elapsed.as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64());
    for info in &mut route_state.lanes {
        info.peak *= factor;
    }
}
