//! Pace of orders.
//!
//! Answers a service of thousands of engines whose load asks for many others at once: each engine
//! that comes or goes is told to all VMs, and a VM with a slow link would learn of leaving engines
//! too late.

use crate::{Order, Policy};
use poplarswitch_entity::Time;

/// Limits how many engines are ordered to come or go.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    /// Changes that were left at a time.
    left: Option<(Time, f64)>,
}

impl Pace {
    /// Shortens orders, in their order, to the changes that are left, at most those of a second; orders
    /// without any are dropped.
    pub(crate) fn limit(&mut self, now: Time, policy: &Policy, orders: &mut Vec<Order>) {
        let rate = policy.change_rate;
        let most = rate.max(1.0);
        let mut left = self.left.map_or(most, |(at, left)| {
            (left + now.since(at).as_secs_f64() * rate).min(most)
        });
        orders.retain_mut(|order| {
            let change = order.desired.abs_diff(order.before).min(left as u32);
            left -= f64::from(change);
            let is_repeated = order.desired == order.before;
            order.desired = if order.desired > order.before {
                order.before + change
            } else {
                order.before - change
            };
            is_repeated || change > 0
        });
        self.left = Some((now, left));
    }
}
