//! The state machine.

use crate::{
    Dispatch, End, Ended, Fault, Input, Mode, Output, Policy, Refusal, RefusalReason, Request,
    Stop, StopReason, Verdict, VerdictKind,
};
use core::time::Duration;
use poplarswitch_catalog::{Catalog, EndpointKey};
use poplarswitch_entity::{Attempt, CallId, EndpointName, Time};
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

/// Retry time told with a refusal.
const RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Flight {
    request: Request,
    endpoint: EndpointName,
    attempt: Attempt,
}

/// Orders calls over the endpoints of its routes.
#[derive(Debug)]
pub struct Scheduler {
    catalog: Arc<Catalog>,
    policy: Policy,
    waiting: VecDeque<(Request, Attempt)>,
    flights: HashMap<CallId, Flight>,
    outstanding: HashMap<EndpointName, u32>,
}

impl Scheduler {
    /// Starts without calls.
    pub fn new(catalog: Arc<Catalog>, policy: Policy, _seed: u64) -> Self {
        Self {
            catalog,
            policy,
            waiting: VecDeque::new(),
            flights: HashMap::new(),
            outstanding: HashMap::new(),
        }
    }

    /// The policy in use.
    pub const fn policy(&self) -> Policy {
        self.policy
    }

    /// Calls that wait for a slot.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Calls that run at an endpoint.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Puts a new set into force; calls that wait or run stay.
    pub fn reload(&mut self, _now: Time, catalog: Arc<Catalog>, out: &mut Vec<Output>) {
        self.catalog = catalog;
        self.dispatch(out);
    }

    /// When `tick` is next worth calling.
    pub fn next_wake(&self) -> Option<Time> {
        None
    }

    /// Lets time pass.
    pub fn tick(&mut self, _now: Time, out: &mut Vec<Output>) {
        self.dispatch(out);
    }

    /// Reacts to one input.
    pub fn handle(&mut self, _now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Submit(request) => self.submit(request, out),
            Input::Adopt(running) => {
                *self
                    .outstanding
                    .entry(running.endpoint.clone())
                    .or_default() += 1;
                let flight = Flight {
                    request: running.request,
                    endpoint: running.endpoint,
                    attempt: running.attempt,
                };
                self.flights.insert(flight.request.call, flight);
            }
            Input::Cancel(call) => self.cancel(call, out),
            Input::Ended(ended) => self.ended(ended, out),
            Input::Progress(_) | Input::Load(_) | Input::Cache(_) => {}
        }
        self.dispatch(out);
    }

    fn submit(&mut self, request: Request, out: &mut Vec<Output>) {
        if self.catalog.route(&request.route).is_none() {
            out.push(Output::Refuse(Refusal {
                call: request.call,
                reason: RefusalReason::Unknown,
                retry_after: RETRY_AFTER,
            }));
            return;
        }
        self.waiting.push_back((request, Attempt::default()));
    }

    fn cancel(&mut self, call: CallId, out: &mut Vec<Output>) {
        self.waiting.retain(|(request, _)| request.call != call);
        if let Some(flight) = self.flights.get(&call) {
            out.push(Output::Stop(Stop {
                call,
                attempt: flight.attempt,
                reason: StopReason::Cancelled,
            }));
        }
    }

    fn ended(&mut self, ended: Ended, out: &mut Vec<Output>) {
        let Some(flight) = self.flights.remove(&ended.call) else {
            return;
        };
        if let Some(count) = self.outstanding.get_mut(&flight.endpoint) {
            *count = count.saturating_sub(1);
        }
        let End::Failed { fault, .. } = ended.end else {
            return;
        };
        match fault {
            Fault::Unreached | Fault::Declined => {
                self.waiting
                    .push_front((flight.request, flight.attempt.next()));
            }
            Fault::Lost => out.push(Output::Conclude(Verdict {
                call: ended.call,
                kind: VerdictKind::InDoubt,
            })),
            Fault::Errored => out.push(Output::Conclude(Verdict {
                call: ended.call,
                kind: VerdictKind::Failed,
            })),
        }
    }

    fn dispatch(&mut self, out: &mut Vec<Output>) {
        let waiting = core::mem::take(&mut self.waiting);
        for (request, attempt) in waiting {
            let Some(endpoint) = self.free_endpoint(&request) else {
                self.waiting.push_back((request, attempt));
                continue;
            };
            *self.outstanding.entry(endpoint.clone()).or_default() += 1;
            out.push(Output::Dispatch(Dispatch {
                call: request.call,
                endpoint: endpoint.clone(),
                attempt,
                mode: Mode::Fresh,
            }));
            self.flights.insert(
                request.call,
                Flight {
                    request,
                    endpoint,
                    attempt,
                },
            );
        }
    }

    fn free_endpoint(&self, request: &Request) -> Option<EndpointName> {
        let route = self.catalog.route(&request.route)?;
        let load = |key: &EndpointKey| {
            let name = &self.catalog.endpoints[*key].endpoint.name;
            self.outstanding.get(name).copied().unwrap_or_default()
        };
        let key = self
            .catalog
            .endpoints_of(route)
            .iter()
            .copied()
            .filter(|key| load(key) < self.catalog.endpoints[*key].endpoint.slots)
            .min_by_key(load)?;
        Some(self.catalog.endpoints[key].endpoint.name.clone())
    }
}
