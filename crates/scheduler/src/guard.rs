//! Keeps a slot of a route for calls that may not be repeated.
//!
//! The reserve learns from demand and yields to floors, so it may be empty when the first
//! booking comes and all slots hold long lower-tier calls. Where the set says that a route
//! takes bookings, one slot is kept from all tiers below theirs from the beginning.

use crate::group::GroupKey;
use crate::{Policy, Scheduler};
use poplarswitch_balance::{Cap, CapKey};
use poplarswitch_catalog::Route;
use poplarswitch_objects::Class;

impl Scheduler {
    /// The bound that a lane of a tier must keep for bookings above it.
    pub(crate) fn guard_cap(&mut self, key: GroupKey, tier: usize) -> Option<CapKey> {
        let off = self.policy != Policy::Full || !self.tuning.reserve;
        if off || !self.has_bookings_above(key, tier) {
            return None;
        }
        let pool = self.groups[key].pool;
        let cap = self.kept_slot(key);
        let guard = self.groups[key].guard;
        let guard = guard.unwrap_or_else(|| self.balancer.add_cap(pool, cap));
        self.groups[key].guard = Some(guard);
        self.balancer.set_cap(pool, guard, cap);
        Some(guard)
    }

    /// Fits the guards to the slots of a new set.
    pub(crate) fn refresh_guards(&mut self) {
        let keys: Vec<GroupKey> = self.groups.keys().collect();
        for key in keys {
            let cap = self.kept_slot(key);
            let group = &self.groups[key];
            if let Some(guard) = group.guard {
                self.balancer.set_cap(group.pool, guard, cap);
            }
        }
    }

    /// A single slot can't be kept from the tiers below, or they would starve.
    fn kept_slot(&self, key: GroupKey) -> Cap {
        let slots = self.balancer.slots(self.groups[key].pool);
        Cap::AllBut(slots.saturating_sub(1).min(1))
    }

    fn has_bookings_above(&self, key: GroupKey, tier: usize) -> bool {
        let mut routes = self.routes.iter();
        let Some((route, _)) = routes.find(|(_, group)| **group == key) else {
            return false;
        };
        let order = &self.catalog.tier_order;
        let mut classes = self.catalog.classes.values();
        classes.any(|entry| {
            let place = order.iter().position(|other| *other == entry.tier);
            let above = place.is_some_and(|place| place < tier);
            above && !entry.class.repeatable && takes(&entry.class, route)
        })
    }
}

fn takes(class: &Class, route: &Route) -> bool {
    match route {
        Route::Model(model) => class.models.contains(model),
        Route::Service(service) => class.services.contains(service),
    }
}
