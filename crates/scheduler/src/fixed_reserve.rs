//! Keeps a slot of a route for calls that may not be repeated.
//!
//! The reserve learns from demand and yields to floors, so it may be empty when the first
//! booking comes and all slots hold long lower-tier calls. Where the set says that a route
//! takes bookings, one slot is kept from all tiers below theirs from the beginning.

use crate::route_state::RouteStateKey;
use crate::{Policy, Scheduler};
use poplarswitch_balance::{Cap, CapKey};
use poplarswitch_catalog::Route;
use poplarswitch_objects::Class;

impl Scheduler {
    /// The bound that a lane of a tier must keep for bookings above it.
    pub(crate) fn fixed_reserve_cap(&mut self, key: RouteStateKey, tier: usize) -> Option<CapKey> {
        let off = self.policy != Policy::Full || !self.tuning.reserve;
        if off || !self.has_non_repeatable_above(key, tier) {
            return None;
        }
        let pool = self.route_states[key].pool;
        let cap = self.fixed_reserve_limit(key);
        let fixed_cap = self.route_states[key].fixed_cap;
        let fixed_cap = fixed_cap.unwrap_or_else(|| self.balancer.add_cap(pool, cap));
        self.route_states[key].fixed_cap = Some(fixed_cap);
        self.balancer.set_cap(pool, fixed_cap, cap);
        Some(fixed_cap)
    }

    /// Fits the guards to the slots of a new set.
    pub(crate) fn refresh_fixed_reserves(&mut self) {
        let keys: Vec<RouteStateKey> = self.route_states.keys().collect();
        for key in keys {
            let cap = self.fixed_reserve_limit(key);
            let route_state = &self.route_states[key];
            if let Some(fixed_cap) = route_state.fixed_cap {
                self.balancer.set_cap(route_state.pool, fixed_cap, cap);
            }
        }
    }

    /// A single slot can't be kept from the tiers below, or they would starve.
    fn fixed_reserve_limit(&self, key: RouteStateKey) -> Cap {
        let slots = self.balancer.slots(self.route_states[key].pool);
        Cap::AllBut(slots.saturating_sub(1).min(1))
    }

    fn has_non_repeatable_above(&self, key: RouteStateKey, tier: usize) -> bool {
        let mut routes = self.route_keys.iter();
        let Some((route, _)) = routes.find(|(_, route_state)| **route_state == key) else {
            return false;
        };
        let order = &self.catalog.tier_order;
        let mut classes = self.catalog.classes.values();
        classes.any(|entry| {
            let position = order.iter().position(|other| *other == entry.tier);
            let above = position.is_some_and(|position| position < tier);
            above && !entry.class.repeatable && allows_route(&entry.class, route)
        })
    }
}

fn allows_route(class: &Class, route: &Route) -> bool {
    match route {
        Route::Model(model) => class.models.contains(model),
        Route::Service(service) => class.services.contains(service),
    }
}
