//! The state machine: holds the lease, observes the engines and sends orders to them.

use crate::{
    EndpointStatus, Input, ModelLoad, Mutation, Observation, Order, OrderOutcome, Output, Settings,
    WaitReason,
    desired::Group,
    lease::Lease,
    reconcile::{Engine, PendingOrder, View},
};
use poplarswitch_entity::{EndpointName, FencingNumber, Incarnation, Time};
use std::collections::BTreeMap;

/// The state machine, without I/O, that brings the engines of one group to their desired state.
#[derive(Debug)]
pub struct Core {
    settings: Settings,
    lease: Lease,
    group: Group,
    engines: BTreeMap<EndpointName, Engine>,
    /// When the weight store has bandwidth for the next load.
    store_free_at: Time,
    last_tick: Time,
    mutation: Option<Mutation>,
}

impl Core {
    /// Creates a state machine without a lease and without a set.
    pub fn new(incarnation: Incarnation, settings: Settings, seed: u64) -> Self {
        Self {
            lease: Lease::new(incarnation, &settings, seed),
            settings,
            group: Group::default(),
            engines: BTreeMap::new(),
            store_free_at: Time::ZERO,
            last_tick: Time::ZERO,
            mutation: None,
        }
    }

    /// Injects a deliberate fault.
    #[cfg(feature = "mutation")]
    pub fn mutate(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
        self.lease.keep_expired(mutation == Mutation::KeepExpired);
    }

    /// The fencing number, if this VM holds the lease now.
    pub fn fencing(&self, now: Time) -> Option<FencingNumber> {
        self.lease.held(now).map(|held| held.fencing)
    }

    /// The number of orders whose call has not ended.
    pub fn in_flight(&self) -> usize {
        let unfinished = |engine: &&Engine| {
            let pending = engine.pending.as_ref();
            pending.is_some_and(|pending| pending.ended_at.is_none())
        };
        self.engines.values().filter(unfinished).count()
    }

    /// The status of each engine of the group.
    pub fn status(&self, now: Time) -> Vec<EndpointStatus> {
        let view = self.view(now);
        let engines = self.group.engines.iter();
        engines
            .map(|(name, desired)| EndpointStatus {
                endpoint: name.clone(),
                desired: desired.load.clone(),
                observed: self.observation(name).cloned(),
                waits: view.wait_reason(name, desired).unwrap_or(WaitReason::Order),
            })
            .collect()
    }

    /// When `tick` has to be called next.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let observe_at = self.lease.held(now).map(|_| {
            let due_times = self
                .group
                .engines
                .keys()
                .map(|name| self.next_observation(name));
            due_times
                .min()
                .unwrap_or(Time::MAX)
                .max(now + self.settings.retry_delay / 8)
        });
        [self.lease.next_wake(), observe_at]
            .into_iter()
            .flatten()
            .min()
    }

    /// Performs the actions that are due at `now`.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.account_for_pause(now);
        let idle = self.in_flight() == 0;
        self.lease.tick(now, idle, out);
        for engine in self.engines.values_mut() {
            engine.clear_finished(now, &self.settings);
        }
        if self.lease.held(now).is_some() {
            self.send_observations(now, out);
            self.send_orders(now, out);
        }
    }

    /// Processes one input.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Set(set) => {
                self.group = Group::from_set(&set, self.settings.data_centre.as_ref());
                let wanted = &self.group.engines;
                self.engines.retain(|name, _| wanted.contains_key(name));
            }
            Input::Observed {
                endpoint,
                observation,
            } => self.on_observed(now, endpoint, observation, out),
            Input::OrderEnded { endpoint, outcome } => self.on_ended(now, &endpoint, &outcome, out),
            Input::Reply { id, reply } => self.lease.handle_reply(now, id, &reply, out),
            Input::Leave => self.lease.leave(),
        }
        self.tick(now, out);
    }

    /// Adds a gap without ticks of at least `max_call` to the decision times of pending orders,
    /// since a paused VM may send them only after the gap.
    fn account_for_pause(&mut self, now: Time) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap < self.settings.max_call {
            return;
        }
        let pending = self
            .engines
            .values_mut()
            .filter_map(|engine| engine.pending.as_mut());
        for pending in pending.filter(|pending| pending.ended_at.is_none()) {
            pending.decided_at = pending.decided_at + gap;
        }
    }

    fn on_observed(
        &mut self,
        now: Time,
        endpoint: EndpointName,
        observation: Option<Observation>,
        out: &mut Vec<Output>,
    ) {
        if !self.group.engines.contains_key(&endpoint) {
            return;
        }
        let newest = observation.as_ref().and_then(|seen| seen.fencing);
        let engine = self.engines.entry(endpoint).or_default();
        // The engine's state was read no earlier than it was requested.
        engine.observed_at = engine.requested_at.take().unwrap_or(now);
        engine.observation = observation;
        self.step_down_if_fenced(now, newest, out);
    }

    fn on_ended(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        outcome: &OrderOutcome,
        out: &mut Vec<Output>,
    ) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        match outcome {
            OrderOutcome::Fenced { newest } => {
                engine.pending = None;
                self.step_down_if_fenced(now, Some(*newest), out);
            }
            // The order stays pending until the next observation; otherwise it would be repeated
            // without a delay to an engine that refuses it.
            OrderOutcome::NotTaken => {
                if let Some(pending) = &mut engine.pending {
                    pending.ended_at = Some(now);
                }
            }
            OrderOutcome::Taken => {
                if let Some(pending) = &mut engine.pending {
                    pending.ended_at = Some(now);
                    engine.sealed = engine.sealed.max(Some(pending.fencing));
                }
            }
            // The order may have been sent, and may take effect within the longest call.
            OrderOutcome::Unknown => {
                if let Some(pending) = &mut engine.pending {
                    pending.ended_at = Some(now + self.settings.max_call);
                }
            }
        }
    }

    /// Drops the lease if an engine has seen a higher fencing number, because a later holder has
    /// sent it.
    fn step_down_if_fenced(
        &mut self,
        now: Time,
        newest: Option<FencingNumber>,
        out: &mut Vec<Output>,
    ) {
        if newest > self.fencing(now) && self.fencing(now).is_some() {
            self.lease.step_down(now, out);
        }
    }

    /// When the engine has to be observed next.
    fn next_observation(&self, name: &EndpointName) -> Time {
        let engine = self.engines.get(name);
        engine.map_or(Time::ZERO, |engine| {
            let last = engine.requested_at.unwrap_or(engine.observed_at);
            last + self.settings.observe_interval
        })
    }

    fn send_observations(&mut self, now: Time, out: &mut Vec<Output>) {
        let due: Vec<EndpointName> = self
            .group
            .engines
            .keys()
            .filter(|name| now >= self.next_observation(name))
            .cloned()
            .collect();
        for name in due {
            let engine = self.engines.entry(name.clone()).or_default();
            engine.requested_at = Some(now);
            out.push(Output::Observe(name));
        }
    }

    fn send_orders(&mut self, now: Time, out: &mut Vec<Output>) {
        let names: Vec<EndpointName> = self.group.engines.keys().cloned().collect();
        for name in &names {
            let Some(desired) = self.group.engines.get(name) else {
                continue;
            };
            if self.view(now).wait_reason(name, desired).is_none() {
                let load = desired.load.clone();
                let time = self.group.load_time(name, self.settings.store_mb_s);
                self.store_free_at = now + time;
                self.send_order(now, name, load, out);
            }
        }
        if self.view(now).waits_for_replicas() {
            for name in &names {
                if let Some(load) = self.view(now).sealing_load(name) {
                    self.send_order(now, name, load, out);
                }
            }
        }
    }

    fn send_order(
        &mut self,
        now: Time,
        name: &EndpointName,
        load: ModelLoad,
        out: &mut Vec<Output>,
    ) {
        let Some(held) = self.lease.held(now) else {
            return;
        };
        let fencing = held.fencing;
        let engine = self.engines.entry(name.clone()).or_default();
        engine.pending = Some(PendingOrder {
            load: load.clone(),
            fencing,
            decided_at: now,
            ended_at: None,
        });
        out.push(Output::Order {
            endpoint: name.clone(),
            order: Order { fencing, load },
        });
    }

    fn observation(&self, name: &EndpointName) -> Option<&Observation> {
        self.engines.get(name)?.observation.as_ref()
    }

    fn view(&self, now: Time) -> View<'_> {
        View {
            now,
            settings: &self.settings,
            group: &self.group,
            engines: &self.engines,
            held: self.lease.held(now),
            store_free_at: self.store_free_at,
            mutation: self.mutation,
        }
    }
}
