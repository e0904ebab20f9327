//! A call's place at an endpoint, given back when it is dropped.

use crate::{clock, shared::Shared};
use core::time::Duration;
use poplarswitch_entity::Time;
use poplarswitch_ingress::{EndpointGroup, EndpointKey};
use std::sync::Arc;

/// What a model call asks of its engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// The side that it belongs to.
    pub(crate) side: EndpointGroup,
    /// Tokens that the engine must probably read.
    pub(crate) tokens: u64,
    /// When the first event is expected.
    pub(crate) expected: Option<Duration>,
    /// The latency objective.
    pub(crate) objective: Option<Duration>,
}

/// A call's place at an endpoint.
#[derive(Debug)]
pub(crate) struct Seat {
    shared: Arc<Shared>,
    key: EndpointKey,
    taken: Time,
    load: Option<Load>,
    /// The answer has begun.
    begun: bool,
}

impl Seat {
    /// Counts a call at an endpoint.
    pub(crate) fn take(shared: &Arc<Shared>, key: EndpointKey, load: Option<Load>) -> Self {
        let mut core = shared.core();
        let tokens = load.map_or(0, |load| load.tokens);
        if let Some(endpoint) = core.fleet.get_mut(key) {
            endpoint.open_calls += 1;
            endpoint.engine_load.record_dispatch(tokens);
        }
        if let Some(load) = load {
            core.fleet
                .group_load_mut(load.side)
                .averages
                .record_prefill(tokens);
        }
        drop(core);
        Self {
            shared: Arc::clone(shared),
            key,
            taken: clock::now(),
            load,
            begun: false,
        }
    }

    /// The endpoint.
    pub(crate) const fn key(&self) -> EndpointKey {
        self.key
    }

    /// The answer has begun; a late beginning shows that engines are loaded.
    pub(crate) fn begin(&mut self) {
        if self.begun {
            return;
        }
        self.begun = true;
        let now = clock::now();
        let waited = now.since(self.taken);
        let Some(load) = self.load else {
            return;
        };
        let mut core = self.shared.core();
        let pressure = core.fleet.group_load_mut(load.side);
        if let Some(expected) = load.expected {
            pressure.averages.record_first_event(expected, waited);
        }
        if load
            .objective
            .is_some_and(|objective| waited > objective / 2)
        {
            pressure.record(now, true);
        }
    }

    /// The endpoint refused the call for lack of places.
    pub(crate) fn refused(&self) {
        if let Some(load) = self.load {
            let now = clock::now();
            self.shared
                .core()
                .fleet
                .group_load_mut(load.side)
                .record(now, true);
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let mut core = self.shared.core();
        if let Some(endpoint) = core.fleet.get_mut(self.key) {
            endpoint.open_calls = endpoint.open_calls.saturating_sub(1);
        }
        if let (Some(load), true) = (self.load, self.begun) {
            let held = clock::now().since(self.taken);
            core.fleet
                .group_load_mut(load.side)
                .averages
                .record_slot_time(held);
        }
    }
}
