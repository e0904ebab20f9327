//! Keeps slots free for short urgent classes that have lately been in demand.
//!
//! A class is long on a route if its calls hold a slot for longer than a class of a higher
//! tier has time for. While long calls fill all slots, a burst of such urgent calls finds
//! only the slots that happen to end in time: slots * target / duration. The reserve is by
//! how much the calls that lately arrived within a target exceeded that, at most a quarter
//! of the slots, and one slot for a class whose calls may not be repeated. Only long calls
//! have to leave it free. A tier that is due by its floor may use it.

use crate::group::{Group, GroupKey, LaneInfo, Order};
use crate::{Policy, Scheduler};
use core::time::Duration;
use poplarswitch_balance::Cap;
use poplarswitch_entity::Time;

/// Time between two computations of a route's reserve.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Time in which a remembered burst fades to half.
const PEAK_HALF_LIFE: Duration = Duration::from_mins(1);
/// Most slots kept free, as one part in so many.
const MAX_RESERVE: u32 = 4;

impl Scheduler {
    pub(crate) fn check_reserve(&mut self, now: Time, key: GroupKey) {
        let group = &mut self.groups[key];
        let elapsed = now.since(group.reserve.checked);
        let off = self.policy != Policy::Full || !self.tuning.reserve;
        if off || elapsed < CHECK_INTERVAL {
            return;
        }
        group.reserve.checked = now;
        fade(group, elapsed);
        self.mark_long(key);
        let slots = self.needed(key);
        let group = &mut self.groups[key];
        if slots != group.reserve.slots {
            group.reserve.slots = slots;
            let cap = Cap::AllBut(slots);
            self.balancer.set_cap(group.pool, group.reserve.cap, cap);
        }
    }

    /// Gives the lanes that turned out to be long the view that keeps the reserve free.
    fn mark_long(&mut self, key: GroupKey) {
        for index in 0..self.groups[key].lanes.len() {
            let group = &self.groups[key];
            let info = &group.lanes[index];
            if info.reserved.is_some() || !self.is_long(group, info) {
                continue;
            }
            let own = info.cap.into_iter().chain(info.guard);
            let caps: Vec<_> = own.chain([group.reserve.cap]).collect();
            let adapter = info.adapter.clone();
            let view = self.balancer.view(group.pool, &caps, adapter.as_ref());
            self.groups[key].lanes[index].reserved = Some(view);
        }
    }

    fn is_long(&self, group: &Group, info: &LaneInfo) -> bool {
        let Some(held) = self.book.profiles[info.profile].duration_mean() else {
            return false;
        };
        let mut others = group.lanes.iter();
        others.any(|other| other.tier < info.tier && other.target < held)
    }

    fn needed(&self, key: GroupKey) -> u32 {
        let group = &self.groups[key];
        let long = group.lanes.iter().filter(|info| info.reserved.is_some());
        let held = long
            .filter_map(|info| self.book.profiles[info.profile].duration_mean())
            .max();
        let Some(held) = held else {
            return 0;
        };
        let slots = self.balancer.slots(group.pool);
        let urgent: Vec<&LaneInfo> = group
            .lanes
            .iter()
            .filter(|info| info.reserved.is_none() && info.target < held)
            .collect();
        let missing = |info: &&LaneInfo| {
            let ending = f64::from(slots) * info.target.as_secs_f64() / held.as_secs_f64();
            let sooner = urgent.iter().filter(|other| other.target <= info.target);
            let arriving: f64 = sooner.map(|other| other.peak).sum();
            let least = f64::from(u8::from(!info.repeatable));
            (arriving - ending).max(least)
        };
        let most = urgent.iter().map(missing).fold(0.0, f64::max);
        (most.ceil() as u32).min(slots / MAX_RESERVE)
    }
}

fn fade(group: &mut Group, elapsed: Duration) {
    if !matches!(group.order, Order::Full(_)) {
        return;
    }
    let left = 0.5_f64.powf(elapsed.as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64());
    for info in &mut group.lanes {
        info.peak *= left;
    }
}
