//! Puts a new set into force without losing queued or running calls.
//!
//! Most changes concern endpoints and workspaces only. If tiers and classes are unchanged,
//! queues, floors and shares stay as they are. Otherwise all calls are assigned again: running
//! calls keep their class parameters except the tier, and queued calls get the parameters of
//! the new set. A queued call whose class, workspace or route was removed is ended: refused,
//! or in doubt if an earlier dispatch may have run.

use crate::call::{Call, State};
use crate::route_state::{RetryBudget, RouteState};
use crate::{Output, RefusalReason, Scheduler};
use poplarswitch_balance::{Cap, PoolKey};
use poplarswitch_catalog::{Catalog, Route};
use poplarswitch_entity::Time;
use poplarswitch_objects::{Class, Tier};
use poplarswitch_queue::{AccountKey, CallKey};
use std::sync::Arc;

impl Scheduler {
    /// Puts a new set into force and dispatches the calls that can start. Queued and running
    /// calls are kept, except queued ones whose class, workspace or route was removed.
    pub fn reload(&mut self, now: Time, catalog: Arc<Catalog>, out: &mut Vec<Output>) {
        let same = same_tiers_and_classes(&self.catalog, &catalog) && !self.route_states.is_empty();
        self.catalog = catalog;
        self.balancer.sync(now, &Arc::clone(&self.catalog));
        self.add_routes();
        self.refresh_fixed_reserves();
        if same {
            self.registry.sync(now, &Arc::clone(&self.catalog));
            self.refresh_servable();
            self.unblock_all();
            self.end_missing(now, out);
        } else {
            self.rebuild(now, out);
        }
        self.dirty.extend(self.route_states.keys());
        self.serve(now, out);
    }

    /// Rebuilds all queues and counts, for a set with other tiers or classes.
    fn rebuild(&mut self, now: Time, out: &mut Vec<Output>) {
        self.registry.reset(self.catalog.tier_order.len().max(1));
        self.registry.sync(now, &Arc::clone(&self.catalog));
        let floors = floors(&self.catalog);
        for route_state in self.route_states.values_mut() {
            route_state.reset(self.policy, &floors);
        }
        self.expiry.clear();
        for key in self.table.keys() {
            match self.table.get(key).state {
                State::Queued(_) => self.reassign_queued(now, key, out),
                State::Dispatched(_) => self.reassign_running(now, key),
            }
        }
    }

    /// Makes all workspaces eligible again, because their limits may have been raised.
    fn unblock_all(&mut self) {
        let accounts: Vec<AccountKey> = self.registry.accounts.keys().collect();
        for account in accounts {
            self.unblock(account);
        }
    }

    fn refresh_servable(&mut self) {
        for route_state in self.route_states.values_mut() {
            for info in &mut route_state.lanes {
                info.servable = self
                    .balancer
                    .serves(route_state.pool, info.adapter.as_ref());
            }
        }
    }

    /// Ends queued calls whose workspace or route was removed.
    fn end_missing(&mut self, now: Time, out: &mut Vec<Output>) {
        for key in self.table.keys() {
            let call = self.table.get(key);
            let request = &call.request;
            let known = self.catalog.workspace(request.workspace.as_str()).is_some()
                && self.catalog.route(&request.route).is_some();
            if !known && matches!(call.state, State::Queued(_)) {
                self.dequeue(key);
                self.end_unanswered(now, key, RefusalReason::Unknown, out);
            }
        }
    }

    /// Adds the state of new routes.
    fn add_routes(&mut self) {
        let floors = floors(&self.catalog);
        let mut routes: Vec<Route> = self.catalog.routes.values().cloned().collect();
        routes.sort();
        for route in routes {
            if let (false, Some(pool)) = (
                self.route_keys.contains_key(&route),
                self.balancer.pool(&route),
            ) {
                self.add_route(route, pool, &floors);
            }
        }
    }

    fn add_route(&mut self, route: Route, pool: PoolKey, floors: &[u8]) {
        let reserve_cap = self.balancer.add_cap(pool, Cap::AllBut(0));
        let budget = RetryBudget::new(self.tuning.retry_percent, self.tuning.retry_reserve);
        let mut route_state = RouteState::new(pool, budget, reserve_cap);
        route_state.reset(self.policy, floors);
        let key = self.route_states.insert(route_state);
        self.route_keys.insert(route, key);
        self.pool_routes.insert(pool, key);
    }

    fn reassign_queued(&mut self, now: Time, key: CallKey, out: &mut Vec<Output>) {
        let request = self.table.get(key).request.clone();
        let Some(assignment) = self.assign(now, &request) else {
            return self.end_unanswered(now, key, RefusalReason::Unknown, out);
        };
        let profile = self.route_states[assignment.route_key].lanes[assignment.lane].profile;
        let call = self.table.get_mut(key);
        *call = Call {
            route_key: assignment.route_key,
            lane: assignment.lane,
            account: assignment.account,
            class_key: assignment.class_key,
            profile,
            params: assignment.params,
            ..call.clone()
        };
        self.enqueue(now, key);
    }

    /// Assigns a running call to the new set's tiers and lanes, and counts it.
    fn reassign_running(&mut self, now: Time, key: CallKey) {
        let request = self.table.get(key).request.clone();
        let assignment = self.assign_running(now, &request, None);
        let lowest = self.registry.tiers() - 1;
        let call = self.table.get_mut(key);
        match assignment {
            Some(assignment) => {
                call.route_key = assignment.route_key;
                call.lane = assignment.lane;
                call.params.tier = assignment.params.tier;
            }
            None => call.params.tier = call.params.tier.min(lowest),
        }
        self.count_running(key);
    }
}

/// The floors in percent, from the highest tier to the lowest; one floor of 0 for a set without
/// tiers.
fn floors(catalog: &Catalog) -> Vec<u8> {
    let floor = |key| catalog.tiers[key].tier.floor_percent;
    let floors: Vec<u8> = catalog.tier_order.iter().copied().map(floor).collect();
    if floors.is_empty() { vec![0] } else { floors }
}

/// Whether two sets have the same tiers and classes, so that the queues can be kept.
fn same_tiers_and_classes(old: &Catalog, new: &Catalog) -> bool {
    let tiers = |catalog: &Catalog| -> Vec<Tier> {
        let tier = |key| catalog.tiers[key].tier.clone();
        catalog.tier_order.iter().copied().map(tier).collect()
    };
    let classes = |catalog: &Catalog| -> Vec<Class> {
        let all = catalog.classes.values();
        let mut classes: Vec<Class> = all.map(|entry| entry.class.clone()).collect();
        classes.sort_by(|a, b| a.name.cmp(&b.name));
        classes
    };
    tiers(old) == tiers(new) && classes(old) == classes(new)
}
