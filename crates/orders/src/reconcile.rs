//! Decides which orders may be sent now.

use crate::{
    ModelLoad, Mutation, Observation, Settings, WaitReason,
    desired::{Desired, Group},
    lease::Held,
};
use poplarswitch_entity::{EndpointName, FencingNumber, ModelName, Time};
use std::collections::BTreeMap;

/// An order that was sent and whose effect has not been observed yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingOrder {
    pub(crate) load: ModelLoad,
    pub(crate) fencing: FencingNumber,
    /// When the order was decided on, shifted by long gaps without ticks.
    pub(crate) decided_at: Time,
    /// The latest time at which the order can have taken effect, if its call has ended.
    pub(crate) ended_at: Option<Time>,
}

/// The state of one engine as this VM knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    pub(crate) observation: Option<Observation>,
    /// When the last observation was requested.
    pub(crate) observed_at: Time,
    /// When the outstanding observation was requested.
    pub(crate) requested_at: Option<Time>,
    pub(crate) pending: Option<PendingOrder>,
    /// The highest fencing number of this VM's orders that the engine has accepted.
    pub(crate) sealed: Option<FencingNumber>,
}

impl Engine {
    fn is_fresh(&self, now: Time, settings: &Settings) -> bool {
        self.observation.is_some() && now.since(self.observed_at) < settings.stale_after
    }

    /// The model that the engine is ready to serve, if a recent observation shows it and no order
    /// is pending.
    fn serves(&self, now: Time, settings: &Settings) -> Option<&ModelName> {
        let observation = self.observation.as_ref()?;
        let reliable = observation.ready && self.pending.is_none() && self.is_fresh(now, settings);
        observation
            .load
            .as_ref()
            .filter(|_| reliable)
            .map(|load| &load.model)
    }

    /// Clears the pending order once an observation shows that it has succeeded or failed.
    pub(crate) fn clear_finished(&mut self, now: Time, settings: &Settings) {
        let Some(pending) = &self.pending else { return };
        // While its call has not ended, an order may still be sent after the longest pause of the
        // VM, and take effect at the end of the longest call after that.
        let latest = pending.decided_at + settings.max_pause + settings.max_call;
        let ended_at = pending.ended_at.unwrap_or(latest);
        let seen = self.observed_at > ended_at && now >= ended_at;
        let Some(observation) = self.observation.as_ref().filter(|_| seen) else {
            return;
        };
        let matches = observation.load.as_ref() == Some(&pending.load);
        let timed_out = now.since(pending.decided_at) >= settings.load_timeout;
        if !matches || observation.ready || timed_out {
            self.pending = None;
        }
    }
}

/// The inputs of the decision on one engine.
#[derive(Debug)]
pub(crate) struct View<'a> {
    pub(crate) now: Time,
    pub(crate) settings: &'a Settings,
    pub(crate) group: &'a Group,
    pub(crate) engines: &'a BTreeMap<EndpointName, Engine>,
    pub(crate) held: Option<Held>,
    pub(crate) store_free_at: Time,
    pub(crate) mutation: Option<Mutation>,
}

impl View<'_> {
    /// Why no order may be sent to an engine; none means that the order may be sent.
    pub(crate) fn wait_reason(&self, name: &EndpointName, desired: &Desired) -> Option<WaitReason> {
        let empty = Engine::default();
        let engine = self.engines.get(name).unwrap_or(&empty);
        if engine.pending.is_some() {
            return Some(WaitReason::Order);
        }
        if !engine.is_fresh(self.now, self.settings) {
            return Some(WaitReason::Observation);
        }
        let observed = engine
            .observation
            .as_ref()
            .and_then(|seen| seen.load.as_ref());
        if observed == Some(&desired.load) {
            return Some(WaitReason::Done);
        }
        if !self.lease_allows(desired) {
            return Some(WaitReason::Lease);
        }
        if !self.replicas_allow(name, engine) {
            return Some(WaitReason::Replicas);
        }
        if !self.budget_allows() {
            return Some(WaitReason::Budget);
        }
        None
    }

    /// Whether the lease allows an order to the engine: it remains valid for long enough, and no
    /// order of an earlier holder can take effect any more if the engine does not check fencing
    /// numbers.
    fn lease_allows(&self, desired: &Desired) -> bool {
        let Some(held) = self.held else { return false };
        let remaining = held.expires_at.since(self.now);
        if self.mutation == Some(Mutation::NoMargin) {
            return true;
        }
        if desired.fenced {
            remaining > self.settings.max_call
        } else {
            let margin = self.settings.max_call + self.settings.max_pause;
            remaining > margin && self.now >= held.settled_at
        }
    }

    /// Whether enough other replicas of the model that the engine serves are ready.
    fn replicas_allow(&self, name: &EndpointName, engine: &Engine) -> bool {
        let Some(model) = engine.serves(self.now, self.settings) else {
            return true;
        };
        if self.mutation == Some(Mutation::IgnoreMinReady) {
            return true;
        }
        let min_ready = self.group.min_ready.get(model).copied().unwrap_or_default();
        let others = self.engines.iter().filter(|(other, engine)| {
            *other != name
                && engine.serves(self.now, self.settings) == Some(model)
                && self.is_sealed(other, engine)
        });
        others.count() as u32 >= min_ready
    }

    /// Whether no order of an earlier holder can still take effect on the engine.
    fn is_sealed(&self, name: &EndpointName, engine: &Engine) -> bool {
        let (Some(held), Some(desired)) = (self.held, self.group.engines.get(name)) else {
            return false;
        };
        if matches!(self.mutation, Some(Mutation::NoSeal | Mutation::NoMargin)) {
            return true;
        }
        if !desired.fenced {
            return self.now >= held.settled_at;
        }
        let seen = engine.observation.as_ref().and_then(|seen| seen.fencing);
        engine.sealed.max(seen) >= Some(held.term)
    }

    /// Whether the order to any engine waits for other replicas.
    pub(crate) fn waits_for_replicas(&self) -> bool {
        let mut engines = self.group.engines.iter();
        engines.any(|(name, desired)| self.wait_reason(name, desired) == Some(WaitReason::Replicas))
    }

    /// The present load of the engine, if it has to be ordered again to seal the engine: from then
    /// on, the engine refuses orders of earlier holders.
    pub(crate) fn sealing_load(&self, name: &EndpointName) -> Option<ModelLoad> {
        let desired = self.group.engines.get(name)?;
        let engine = self.engines.get(name)?;
        let fresh = engine.is_fresh(self.now, self.settings) && engine.pending.is_none();
        let unsealed = desired.fenced && fresh && !self.is_sealed(name, engine);
        let observation = engine.observation.as_ref().filter(|_| unsealed)?;
        self.lease_allows(desired).then_some(())?;
        observation.load.clone()
    }

    /// Whether another load fits within `max_loads` and the bandwidth of the weight store.
    fn budget_allows(&self) -> bool {
        let loading = self.engines.values().filter(|engine| {
            let seen = engine.observation.as_ref();
            let is_loading = seen.is_some_and(|seen| seen.load.is_some() && !seen.ready);
            engine.pending.is_some() || is_loading
        });
        self.now >= self.store_free_at && loading.count() < self.settings.max_loads
    }
}
