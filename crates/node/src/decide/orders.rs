//! Orders to engines: which of them this VM gives, and what became of them.

use super::Decider;
use crate::{orders, platform::Asker};
use poplarswitch_entity::Time;
use poplarswitch_orders::{Input, OrderEnd, Output};
use poplarswitch_timeline::{EventKind, LeaseName};

/// The lease for all engines of the set.
const LEASE: &str = "orders/all";

impl Decider {
    /// Something happened to an order or an engine.
    pub(super) fn feed_orders(&mut self, now: Time, input: Input) {
        self.record_order(now, &input);
        let core = &mut self.cluster.orders;
        core.handle(now, input, &mut self.out.orders);
    }

    fn record_order(&self, now: Time, input: &Input) {
        let Some(number) = self.cluster.orders.fencing(now) else {
            return;
        };
        let what = match input {
            Input::Ended { endpoint, end } => match end {
                OrderEnd::Taken => EventKind::OrderApplied {
                    endpoint: endpoint.clone(),
                    number,
                },
                OrderEnd::Fenced { .. } | OrderEnd::NotTaken => EventKind::OrderRefused {
                    endpoint: endpoint.clone(),
                    number,
                },
                OrderEnd::Unknown => return,
            },
            _ => return,
        };
        self.shared.record(None, what);
    }

    /// Carries out what the orders' core orders.
    pub(super) fn carry_orders(&mut self, now: Time, output: Output) {
        match output {
            Output::Request { id, request } => {
                self.cluster.platform.ask(Asker::Orders, id, request);
            }
            Output::Observe(endpoint) => match self.endpoints.address(&endpoint) {
                Some(address) => orders::observe(&self.shared, endpoint, address),
                None => self.feed_orders(
                    now,
                    Input::Observed {
                        endpoint,
                        observation: None,
                    },
                ),
            },
            Output::Order { endpoint, order } => match self.endpoints.address(&endpoint) {
                Some(address) => {
                    let number = order.fencing;
                    let name = endpoint.clone();
                    self.shared.record(
                        None,
                        EventKind::OrderSent {
                            endpoint: name,
                            number,
                        },
                    );
                    orders::send(&self.shared, endpoint, address, order);
                }
                None => self.feed_orders(
                    now,
                    Input::Ended {
                        endpoint,
                        end: OrderEnd::NotTaken,
                    },
                ),
            },
            Output::Lease(number) => self.lease(number),
        }
    }

    fn lease(&mut self, number: Option<poplarswitch_entity::FencingNumber>) {
        let lease = LeaseName::from(LEASE);
        let what = match (number, self.lease_held) {
            (Some(number), _) => EventKind::LeaseTaken { lease, number },
            (None, Some(number)) => EventKind::LeaseLost { lease, number },
            (None, None) => return,
        };
        self.lease_held = number;
        self.shared.record(None, what);
    }
}
