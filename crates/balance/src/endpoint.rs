//! The balancer's state of one endpoint.

use crate::load::Load;
use crate::pool::PoolKey;
use crate::view::PoolPosition;
use crate::{CapKey, Health};
use poplarswitch_entity::{AdapterName, DataCentre, EndpointName};
use poplarswitch_estimate::Ewma;
use slotmap::new_key_type;

new_key_type! {
    /// Identifies an endpoint in the balancer.
    pub struct EndpointKey;
}

/// Load level of an endpoint whose slots are all taken.
pub(crate) const FULL_LEVEL: u32 = 64;
/// Samples before the speed of an endpoint is compared with that of others.
const MIN_SAMPLES: u32 = 8;
/// Slowness below which endpoints count as equally fast.
const SLOWNESS_THRESHOLD: f64 = 1.5;
/// Largest factor by which slowness raises the level of an endpoint.
const MAX_SLOWNESS: f64 = 4.0;

/// The state of one endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Number of calls that the endpoint may run at the same time.
    pub slots: u32,
    pub(crate) pool: PoolKey,
    /// Position of the endpoint in its pool.
    pub(crate) position: PoolPosition,
    pub(crate) data_centre: DataCentre,
    pub(crate) adapters: Vec<AdapterName>,
    pub(crate) load: Load,
    pub(crate) health: Health,
    /// Number of the endpoint's calls that count towards each cap of the pool.
    pub(crate) cap_calls: Vec<u32>,
    /// Mean ratio of the times of the endpoint's calls to the median of their class on the route.
    pub(crate) slowness: Ewma,
    /// Whether the endpoint has left the pool; its state is kept until its calls have ended.
    pub(crate) retired: bool,
    /// The same endpoint under another route in a later set.
    pub(crate) successor: Option<EndpointKey>,
}

impl Endpoint {
    /// Calls of this balancer that are at the endpoint.
    pub const fn outstanding(&self) -> u32 {
        self.load.own()
    }

    /// Health of the endpoint.
    pub const fn health(&self) -> &Health {
        &self.health
    }

    /// Mean ratio of the endpoint's call times to the median; one is as fast as the median.
    pub fn slowness(&self) -> f64 {
        if self.slowness.count() >= MIN_SAMPLES {
            self.slowness.mean()
        } else {
            1.0
        }
    }

    /// Load level of the endpoint; lower is preferred.
    ///
    /// The level is the used share of the slots, times the slowness, scaled to `FULL_LEVEL`.
    /// `default_external` is the number of others' calls assumed without a recent load report.
    pub(crate) fn level(&self, default_external: f64) -> u32 {
        let calls = f64::from(self.load.own()) + self.load.external().unwrap_or(default_external);
        let share = calls / f64::from(self.slots.max(1));
        let slowness = self.slowness();
        let factor = if slowness < SLOWNESS_THRESHOLD {
            1.0
        } else {
            slowness.min(MAX_SLOWNESS)
        };
        // A slow idle endpoint ranks behind a fast idle one.
        let idle = (factor - 1.0) / MAX_SLOWNESS;
        ((share * factor + idle) * f64::from(FULL_LEVEL)) as u32
    }

    /// Whether another call of this balancer may be sent to the endpoint.
    pub(crate) const fn has_slot(&self) -> bool {
        self.load.own() < self.slots && !self.retired
    }

    pub(crate) fn count_caps(&mut self, caps: &[CapKey], begins: bool) {
        for cap in caps {
            if cap.0 >= self.cap_calls.len() {
                self.cap_calls.resize(cap.0 + 1, 0);
            }
            let calls = &mut self.cap_calls[cap.0];
            *calls = if begins {
                *calls + 1
            } else {
                calls.saturating_sub(1)
            };
        }
    }

    pub(crate) fn cap_calls(&self, cap: CapKey) -> u32 {
        self.cap_calls.get(cap.0).copied().unwrap_or_default()
    }
}
