//! Keeps one slot of a route free for non-repeatable calls.
//!
//! The reserve of module `reserve` follows demand, and a tier that is due by its floor may use
//! it. It may therefore be empty when the first non-repeatable call arrives and all slots are
//! taken by long calls of lower tiers. If the set has a non-repeatable class on a route, all
//! lower tiers leave one slot of the route free from the start.

use crate::route_state::RouteStateKey;
use crate::{Policy, Scheduler};
use poplarswitch_balance::{Cap, CapKey};
use poplarswitch_catalog::Route;
use poplarswitch_objects::Class;

impl Scheduler {
    /// The cap on a tier's lanes that keeps a slot free for non-repeatable classes of higher
    /// tiers, if the route has any.
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

    /// Adjusts the fixed reserves to the number of slots in a new set.
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

    /// The fixed reserve: one slot, or none on a route with a single slot, where the lower tiers
    /// would starve.
    fn fixed_reserve_limit(&self, key: RouteStateKey) -> Cap {
        let slots = self.balancer.slots(self.route_states[key].pool);
        Cap::AllBut(slots.saturating_sub(1).min(1))
    }

    fn has_non_repeatable_above(&self, key: RouteStateKey, tier: usize) -> bool {
        let mut routes = self.route_keys.iter();
        let Some((route, _)) = routes.find(|(_, other)| **other == key) else {
            return false;
        };
        let order = &self.catalog.tier_order;
        let mut classes = self.catalog.classes.values();
        classes.any(|entry| {
            let index = order.iter().position(|other| *other == entry.tier);
            let above = index.is_some_and(|index| index < tier);
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
