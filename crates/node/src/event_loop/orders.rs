//! Connects the state machine for orders to engines with the platform and the engines.

use super::EventLoop;
use crate::{orders, platform::Requester};
use poplarswitch_entity::{EndpointName, FencingNumber, Time};
use poplarswitch_orders::{Input, Order, OrderOutcome, Output};
use poplarswitch_timeline::{EventKind, LeaseName};

/// Name of the lease for orders to all engines of the set.
const LEASE_NAME: &str = "orders/all";

impl EventLoop {
    /// Passes an input to the state machine for orders.
    pub(super) fn feed_orders(&mut self, now: Time, input: Input) {
        let machine = &mut self.cluster.orders;
        machine.handle(now, input, &mut self.outputs.orders);
    }

    /// Carries out one output of the state machine for orders.
    pub(super) fn handle_orders_output(&mut self, now: Time, output: Output) {
        match output {
            Output::Request { id, request } => {
                self.cluster.platform.send(Requester::Orders, id, request);
            }
            Output::Observe(endpoint) => self.observe(now, endpoint),
            Output::Order { endpoint, order } => self.send_order(now, endpoint, order),
            Output::Lease(number) => self.record_lease(number),
        }
    }

    fn observe(&mut self, now: Time, endpoint: EndpointName) {
        match self.endpoints.address(&endpoint) {
            Some(address) => orders::observe(&self.shared, endpoint, address),
            None => self.feed_orders(
                now,
                Input::Observed {
                    endpoint,
                    observation: None,
                },
            ),
        }
    }

    fn send_order(&mut self, now: Time, endpoint: EndpointName, order: Order) {
        let Some(address) = self.endpoints.address(&endpoint) else {
            let outcome = OrderOutcome::NotTaken;
            return self.feed_orders(now, Input::OrderEnded { endpoint, outcome });
        };
        let sent = EventKind::OrderSent {
            endpoint: endpoint.clone(),
            number: order.fencing,
        };
        self.shared.record(None, sent);
        orders::send(&self.shared, endpoint, address, now, order);
    }

    fn record_lease(&mut self, number: Option<FencingNumber>) {
        let lease = LeaseName::from(LEASE_NAME);
        let kind = match (number, self.lease_held) {
            (Some(number), _) => EventKind::LeaseTaken { lease, number },
            (None, Some(number)) => EventKind::LeaseLost { lease, number },
            (None, None) => return,
        };
        self.lease_held = number;
        let held = i64::from(number.is_some());
        self.shared.counters.lease_held.set(held);
        self.shared.record(None, kind);
    }
}
