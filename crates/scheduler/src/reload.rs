//! Puts a new set into force; calls that wait or run stay.
//!
//! While tiers and classes are the same, queues, floors and shares stay as they are; most
//! changes concern endpoints and workspaces. Otherwise all calls are sorted anew: calls that
//! run keep their terms. Calls that wait get those of the new set; one whose
//! class, workspace or route is gone is refused, since it was not run.

use crate::call::{Call, State};
use crate::group::{Budget, Group};
use crate::{Output, RefusalReason, Scheduler};
use poplarswitch_balance::{Cap, PoolKey};
use poplarswitch_catalog::{Catalog, Route};
use poplarswitch_entity::Time;
use poplarswitch_objects::{Class, Tier};
use poplarswitch_queue::{AccountKey, CallKey};
use std::sync::Arc;

impl Scheduler {
    /// Puts a new set into force; calls that wait or run stay.
    pub fn reload(&mut self, now: Time, catalog: Arc<Catalog>, out: &mut Vec<Output>) {
        let same = same_terms(&self.catalog, &catalog) && !self.groups.is_empty();
        self.catalog = catalog;
        self.balancer.sync(now, &Arc::clone(&self.catalog));
        self.add_groups();
        self.refresh_guards();
        if same {
            self.book.sync(now, &Arc::clone(&self.catalog));
            self.refresh_served();
            self.release_all();
            self.refuse_missing(now, out);
        } else {
            self.rebuild(now, out);
        }
        self.dirty.extend(self.groups.keys());
        self.serve(now, out);
    }

    /// Sorts all calls anew, for a set with other tiers or classes.
    fn rebuild(&mut self, now: Time, out: &mut Vec<Output>) {
        self.book.reset(self.catalog.tier_order.len().max(1));
        self.book.sync(now, &Arc::clone(&self.catalog));
        let floors = floors(&self.catalog);
        for group in self.groups.values_mut() {
            group.reset(self.policy, &floors);
        }
        self.expiry.clear();
        for key in self.table.keys() {
            match self.table.get(key).state {
                State::Queued(_) => self.seat_again(now, key, out),
                State::Dispatched(_) => self.count_again(now, key),
            }
        }
    }

    /// Lets all workspaces be served again, since their limits may have grown.
    fn release_all(&mut self) {
        let accounts: Vec<AccountKey> = self.book.accounts.keys().collect();
        for account in accounts {
            self.release(account);
        }
    }

    fn refresh_served(&mut self) {
        for group in self.groups.values_mut() {
            for info in &mut group.lanes {
                info.served = self.balancer.serves(group.pool, info.adapter.as_ref());
            }
        }
    }

    /// Refuses waiting calls whose workspace or route is gone.
    fn refuse_missing(&mut self, now: Time, out: &mut Vec<Output>) {
        for key in self.table.keys() {
            let call = self.table.get(key);
            let request = &call.request;
            let known = self.catalog.workspace(request.workspace.as_str()).is_some()
                && self.catalog.route(&request.route).is_some();
            if !known && matches!(call.state, State::Queued(_)) {
                self.dequeue(key);
                self.give_up(now, key, RefusalReason::Unknown, out);
            }
        }
    }

    /// Adds groups for new routes.
    fn add_groups(&mut self) {
        let floors = floors(&self.catalog);
        let mut routes: Vec<Route> = self.catalog.routes.values().cloned().collect();
        routes.sort();
        for route in routes {
            if let (false, Some(pool)) =
                (self.routes.contains_key(&route), self.balancer.pool(&route))
            {
                self.add_group(route, pool, &floors);
            }
        }
    }

    fn add_group(&mut self, route: Route, pool: PoolKey, floors: &[u8]) {
        let spare = self.balancer.add_cap(pool, Cap::AllBut(0));
        let budget = Budget::new(self.tuning.retry_percent, self.tuning.retry_reserve);
        let mut group = Group::new(pool, budget, spare);
        group.reset(self.policy, floors);
        let key = self.groups.insert(group);
        self.routes.insert(route, key);
        self.pools.insert(pool, key);
    }

    fn seat_again(&mut self, now: Time, key: CallKey, out: &mut Vec<Output>) {
        let request = self.table.get(key).request.clone();
        let Some(seat) = self.seat(now, &request) else {
            return self.give_up(now, key, RefusalReason::Unknown, out);
        };
        let profile = self.groups[seat.group].lanes[seat.lane].profile;
        let call = self.table.get_mut(key);
        *call = Call {
            group: seat.group,
            lane: seat.lane,
            account: seat.account,
            kind: seat.kind,
            profile,
            terms: seat.terms,
            ..call.clone()
        };
        self.enqueue(now, key);
    }

    /// Counts a running call under the new set's tiers and lanes.
    fn count_again(&mut self, now: Time, key: CallKey) {
        let request = self.table.get(key).request.clone();
        let seat = self.seat_running(now, &request, None);
        let lowest = self.book.tiers() - 1;
        let call = self.table.get_mut(key);
        match seat {
            Some(seat) => {
                call.group = seat.group;
                call.lane = seat.lane;
                call.terms.tier = seat.terms.tier;
            }
            None => call.terms.tier = call.terms.tier.min(lowest),
        }
        self.count_running(key);
    }
}

/// The floors of the tiers in percent, from the highest.
fn floors(catalog: &Catalog) -> Vec<u8> {
    let floor = |key| catalog.tiers[key].tier.floor_percent;
    let floors: Vec<u8> = catalog.tier_order.iter().copied().map(floor).collect();
    if floors.is_empty() { vec![0] } else { floors }
}

/// Whether two sets have the same tiers and classes, so that queues can stay as they are.
fn same_terms(old: &Catalog, new: &Catalog) -> bool {
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
