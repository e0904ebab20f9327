//! Accounting of open calls: a guard counts a call at its endpoint until it is dropped.

use crate::{clock, shared::Shared, slots::SlotGuard};
use core::time::Duration;
use poplarswitch_entity::Time;
use poplarswitch_ingress::{
    EndpointGroup, EndpointKey, GapRecorder, hash_pair, hash_text, short_hash,
};
use std::sync::Arc;

/// Load that a call to a model puts on its engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallLoad {
    /// Endpoint group of the call.
    pub(crate) group: EndpointGroup,
    /// Expected number of tokens that the engine has to prefill.
    pub(crate) prefill_tokens: u64,
    /// Expected number of output tokens.
    pub(crate) output_tokens: u32,
    /// Predicted time to the first event.
    pub(crate) expected: Option<Duration>,
    /// Latency objective of the call's route.
    pub(crate) objective: Option<Duration>,
}

/// Guard of an open call at an endpoint.
#[derive(Debug)]
pub(crate) struct OpenCall {
    shared: Arc<Shared>,
    key: EndpointKey,
    started: Time,
    load: Option<CallLoad>,
    /// When the first event arrived.
    responded: Option<Time>,
    /// Pauses between events.
    gaps: GapRecorder,
    /// Whether the endpoint is no longer at work on the call.
    completed: bool,
}

impl OpenCall {
    /// Counts a call as open at an endpoint, with the slot that it has taken there, if any.
    pub(crate) fn start(
        shared: &Arc<Shared>,
        key: EndpointKey,
        load: Option<CallLoad>,
        slot: Option<SlotGuard>,
    ) -> Self {
        let mut core = shared.core();
        let prefill_tokens = load.map_or(0, |load| load.prefill_tokens);
        if let Some(endpoint) = core.endpoints.get_mut(key) {
            endpoint.open_calls += 1;
            endpoint.engine_load.record_dispatch(prefill_tokens);
        }
        if let Some(load) = load {
            core.endpoints
                .group_load_mut(load.group)
                .averages
                .record_dispatch(prefill_tokens, load.output_tokens);
        }
        drop(core);
        drop(slot);
        Self {
            shared: Arc::clone(shared),
            key,
            started: clock::now(),
            load,
            responded: None,
            gaps: GapRecorder::default(),
            completed: false,
        }
    }

    /// The endpoint.
    pub(crate) const fn key(&self) -> EndpointKey {
        self.key
    }

    /// Records that the endpoint is no longer at work on the call.
    pub(crate) const fn complete(&mut self) {
        self.completed = true;
    }

    /// Records the arrival of the first event; a late one indicates that the engines of the group
    /// are loaded. Returns whether it is the first one.
    pub(crate) fn record_first_event(&mut self) -> bool {
        if self.responded.is_some() {
            return false;
        }
        let now = clock::now();
        self.responded = Some(now);
        self.record_load(now);
        true
    }

    fn record_load(&self, now: Time) {
        let waited = now.since(self.started);
        let Some(load) = self.load else {
            return;
        };
        let mut core = self.shared.core();
        let group_load = core.endpoints.group_load_mut(load.group);
        if let Some(expected) = load.expected {
            group_load.averages.record_first_event(expected, waited);
        }
        if load
            .objective
            .is_some_and(|objective| waited > objective / 2)
        {
            group_load.record(now, true);
        }
    }

    /// Records the arrival of an event; returns whether it is the first one.
    pub(crate) fn record_event(&mut self) -> bool {
        if self.load.is_some() {
            self.gaps.record(clock::now());
        }
        self.record_first_event()
    }

    /// Records what the pauses between the events of a whole answer show of the endpoint's speed.
    pub(crate) fn record_rate(&mut self) {
        let (Some(load), Some(gap)) = (self.load, self.gaps.median()) else {
            return;
        };
        let mut core = self.shared.core();
        if let Some(endpoint) = core.endpoints.get(self.key) {
            let hash = short_hash(endpoint.name_hash);
            let service = hash_text(endpoint.entry.service.as_str());
            let kind = hash_pair(service, load.group as u64);
            core.rates.record(clock::now(), hash, kind, gap);
        }
    }

    /// Records that the endpoint refused the call because it is full.
    pub(crate) fn record_refusal(&mut self) {
        self.complete();
        if let Some(load) = self.load {
            let now = clock::now();
            self.shared
                .core()
                .endpoints
                .group_load_mut(load.group)
                .record(now, true);
        }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let mut core = self.shared.core();
        if let Some(endpoint) = core.endpoints.get_mut(self.key) {
            endpoint.open_calls = endpoint.open_calls.saturating_sub(1);
        }
        if let (Some(load), Some(responded)) = (self.load, self.responded) {
            let now = clock::now();
            // Streams beside long prompts pause, so they don't show the time of a step.
            if self.completed && load.group == EndpointGroup::Strict {
                let decode = now.since(responded);
                core.step_time.record(decode, load.output_tokens);
            }
            let slot_time = now.since(self.started);
            core.endpoints
                .group_load_mut(load.group)
                .averages
                .record_slot_time(slot_time);
        }
        drop(core);
        if !self.completed {
            self.shared.linger(self.key);
        }
        self.shared.release_slots(self.key);
    }
}
