//! Keeps slots free for short urgent classes that have lately been in demand.
//!
//! A class is long on a route if its calls hold a slot for longer than a class of a higher
//! tier has time for. While long calls fill all slots, a burst of such urgent calls finds
//! only the slots that happen to end in time: slots * target / duration. The reserve is by
//! how much the calls that lately arrived within a target exceeded that, at most a quarter
//! of the slots, and one slot for a class whose calls may not be repeated. Only long calls
//! have to leave it free. A tier that is due by its floor may use it.

use crate::route_state::{CallQueue, LaneInfo, RouteState, RouteStateKey};
use crate::{Policy, Scheduler};
use core::time::Duration;
use poplarswitch_balance::Cap;
use poplarswitch_entity::Time;

/// Time between two computations of a route's reserve.
const UPDATE_INTERVAL: Duration = Duration::from_secs(2);
/// Time in which a remembered burst fades to half.
const PEAK_HALF_LIFE: Duration = Duration::from_mins(1);
/// Most slots kept free, as one part in so many.
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

    /// Gives the lanes that turned out to be long the view that keeps the reserve free.
    fn mark_long_lanes(&mut self, key: RouteStateKey) {
        for index in 0..self.route_states[key].lanes.len() {
            let route_state = &self.route_states[key];
            let info = &route_state.lanes[index];
            if info.reserve_view.is_some() || !self.is_long(route_state, info) {
                continue;
            }
            let own = info.class_cap.into_iter().chain(info.fixed_cap);
            let caps: Vec<_> = own.chain([route_state.reserve.cap]).collect();
            let adapter = info.adapter.clone();
            let view = self
                .balancer
                .view(route_state.pool, &caps, adapter.as_ref());
            self.route_states[key].lanes[index].reserve_view = Some(view);
        }
    }

    fn is_long(&self, route_state: &RouteState, info: &LaneInfo) -> bool {
        let Some(held) = self.registry.profiles[info.profile].duration_mean() else {
            return false;
        };
        let mut others = route_state.lanes.iter();
        others.any(|other| other.tier < info.tier && other.target < held)
    }

    fn reserve_size(&self, key: RouteStateKey) -> u32 {
        let route_state = &self.route_states[key];
        let long = route_state
            .lanes
            .iter()
            .filter(|info| info.reserve_view.is_some());
        let held = long
            .filter_map(|info| self.registry.profiles[info.profile].duration_mean())
            .max();
        let Some(held) = held else {
            return 0;
        };
        let slots = self.balancer.slots(route_state.pool);
        let urgent: Vec<&LaneInfo> = route_state
            .lanes
            .iter()
            .filter(|info| info.reserve_view.is_none() && info.target < held)
            .collect();
        let missing = |info: &&LaneInfo| {
            let ending = f64::from(slots) * info.target.as_secs_f64() / held.as_secs_f64();
            let sooner = urgent.iter().filter(|other| other.target <= info.target);
            let arriving: f64 = sooner.map(|other| other.peak).sum();
            let least = f64::from(u8::from(!info.repeatable));
            (arriving - ending).max(least)
        };
        let most = urgent.iter().map(missing).fold(0.0, f64::max);
        (most.ceil() as u32).min(slots / RESERVE_DIVISOR)
    }
}

fn decay_peaks(route_state: &mut RouteState, elapsed: Duration) {
    if !matches!(route_state.queue, CallQueue::Full(_)) {
        return;
    }
    let left = 0.5_f64.powf(elapsed.as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64());
    for info in &mut route_state.lanes {
        info.peak *= left;
    }
}
