//! Puts a new set into force; calls that wait or run stay.
//!
//! Calls that run keep their terms. Calls that wait get those of the new set; one whose
//! class, workspace or route is gone is refused, since it was not run.

use crate::call::{Call, State};
use crate::group::{Budget, Group, Order};
use crate::{Output, RefusalReason, Scheduler};
use poplarswitch_balance::{Cap, PoolKey};
use poplarswitch_catalog::{Catalog, Route};
use poplarswitch_entity::Time;
use poplarswitch_queue::CallKey;
use std::sync::Arc;

impl Scheduler {
    /// Puts a new set into force; calls that wait or run stay.
    pub fn reload(&mut self, now: Time, catalog: Arc<Catalog>, out: &mut Vec<Output>) {
        self.catalog = catalog;
        self.balancer.sync(now, &Arc::clone(&self.catalog));
        self.book.sync(now, &Arc::clone(&self.catalog));
        self.rebuild_groups();
        self.expiry.clear();
        for key in self.table.keys() {
            match self.table.get(key).state {
                State::Queued(_) => self.seat_again(now, key, out),
                State::Dispatched(_) => self.count_again(now, key),
            }
        }
        self.dirty.extend(self.groups.keys());
        self.serve(now, out);
    }

    fn rebuild_groups(&mut self) {
        let floors = floors(&self.catalog);
        let mut routes: Vec<Route> = self.catalog.routes.values().cloned().collect();
        routes.sort();
        for route in routes {
            if let (false, Some(pool)) =
                (self.routes.contains_key(&route), self.balancer.pool(&route))
            {
                self.add_group(route, pool);
            }
        }
        for group in self.groups.values_mut() {
            group.reset(self.policy, &floors);
        }
    }

    fn add_group(&mut self, route: Route, pool: PoolKey) {
        let spare = self.balancer.add_cap(pool, Cap::AllBut(0));
        let budget = Budget::new(self.tuning.retry_percent, self.tuning.retry_reserve);
        let order = Order::new(self.policy, &[]);
        let key = self.groups.insert(Group::new(pool, order, budget, spare));
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
