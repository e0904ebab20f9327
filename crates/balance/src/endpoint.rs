//! What is known of one endpoint.

use crate::load::Load;
use crate::pool::PoolKey;
use crate::view::Seat;
use crate::{CapKey, Health};
use poplarswitch_entity::{AdapterName, DataCentre, EndpointName};
use poplarswitch_estimate::Ewma;
use slotmap::new_key_type;

new_key_type! {
    /// Refers to an endpoint that the balancer knows.
    pub struct EndpointKey;
}

/// Level of an endpoint whose slots are all taken.
pub(crate) const FULL_LEVEL: u32 = 64;
/// Samples before an endpoint's speed is compared with its siblings'.
const MIN_SAMPLES: u32 = 8;
/// Slowness below which endpoints count as equally fast.
const ORDINARY: f64 = 1.5;
/// Largest factor by which slowness raises an endpoint's level.
const MAX_SLOWNESS: f64 = 4.0;

/// One endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Its name.
    pub name: EndpointName,
    /// Calls that it may serve at once.
    pub slots: u32,
    pub(crate) pool: PoolKey,
    /// Its place in its pool.
    pub(crate) seat: Seat,
    pub(crate) data_centre: DataCentre,
    pub(crate) adapters: Vec<AdapterName>,
    pub(crate) load: Load,
    pub(crate) health: Health,
    /// Calls that count towards each cap of the pool.
    pub(crate) held: Vec<u32>,
    /// Time per token, relative to the siblings' median.
    pub(crate) pace: Ewma,
    pub(crate) retired: bool,
    /// The same endpoint under another route, in a later set.
    pub(crate) successor: Option<EndpointKey>,
}

impl Endpoint {
    /// Own calls that it serves.
    pub const fn outstanding(&self) -> u32 {
        self.load.own()
    }

    /// Its health.
    pub const fn health(&self) -> &Health {
        &self.health
    }

    /// How much slower than its siblings it is; one is the median.
    pub fn slowness(&self) -> f64 {
        if self.pace.count() >= MIN_SAMPLES {
            self.pace.mean()
        } else {
            1.0
        }
    }

    /// Its load; higher is worse.
    pub(crate) fn level(&self, unknown: f64) -> u32 {
        let calls = f64::from(self.load.own()) + self.load.foreign().unwrap_or(unknown);
        let share = calls / f64::from(self.slots.max(1));
        let slowness = self.slowness();
        let slow = if slowness < ORDINARY {
            1.0
        } else {
            slowness.min(MAX_SLOWNESS)
        };
        // An idle endpoint that is slow still ranks behind an idle one that is not.
        let idle = (slow - 1.0) / MAX_SLOWNESS;
        ((share * slow + idle) * f64::from(FULL_LEVEL)) as u32
    }

    /// Whether another own call fits in.
    pub(crate) const fn has_slot(&self) -> bool {
        self.load.own() < self.slots && !self.retired
    }

    pub(crate) fn count(&mut self, caps: &[CapKey], up: bool) {
        for cap in caps {
            if cap.0 >= self.held.len() {
                self.held.resize(cap.0 + 1, 0);
            }
            let held = &mut self.held[cap.0];
            *held = if up {
                *held + 1
            } else {
                held.saturating_sub(1)
            };
        }
    }

    pub(crate) fn held(&self, cap: CapKey) -> u32 {
        self.held.get(cap.0).copied().unwrap_or_default()
    }
}
