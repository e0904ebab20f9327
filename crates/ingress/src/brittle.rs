//! Endpoints that crash when they have to reject too many calls for want of room.
//!
//! Such endpoints say in all their responses how many rejections in a second they bear, from all VMs
//! together. Rejections come in bursts, because several VMs send at the same time, so they are avoided
//! rather than counted: together, the VMs keep no more calls open at the endpoint than it has slots; see
//! [`crate::slots`]. After a rejection, nothing is sent for a while, so that the rejections of all VMs stay
//! well under the bound.
//!
//! All endpoints of a service are brittle, or none. VMs tell each other of bounds in their heartbeats,
//! because one that has not called a service lately would send to it as to any other.

use crate::{
    endpoints::{EndpointKey, EndpointTable},
    hash::hash_text,
    slots::Slots,
};
use core::time::Duration;
use poplarswitch_entity::{ServiceName, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Time for which a service counts as brittle after one of its endpoints has said so.
const SERVICE_TTL: Duration = Duration::from_secs(10);
/// Fraction of the bound that the rejections of all VMs may reach.
const BOUND_FRACTION: f64 = 0.5;
/// Minimum time without calls after a rejection.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum time without calls after a rejection.
const MAX_BACKOFF: Duration = Duration::from_mins(10);
/// Maximum number of services whose bounds are kept.
const MAX_SERVICES: usize = 256;

/// Bound on the rejections of an endpoint in a second, and when it was last named.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RejectionBound {
    /// Rejections in a second, for all VMs together.
    pub rate: f64,
    /// When a response last named it.
    pub named: Time,
}

impl RejectionBound {
    /// Whether the bound still holds for endpoints of the service that have not named one.
    pub fn holds(&self, now: Time) -> bool {
        now.since(self.named) < SERVICE_TTL
    }

    /// Time without calls after a rejection, for each of `vms` VMs.
    pub fn backoff(&self, vms: usize) -> Duration {
        let seconds = vms.max(1) as f64 / (self.rate.max(f64::MIN_POSITIVE) * BOUND_FRACTION);
        let backoff = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_BACKOFF);
        backoff.clamp(MIN_BACKOFF, MAX_BACKOFF)
    }
}

/// Source of a VM's knowledge of the bound of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BoundSource {
    /// The endpoint has named it to this VM.
    Endpoint,
    /// Another endpoint of its service has.
    Service,
    /// No bound is known.
    Unknown,
}

impl BoundSource {
    /// Name for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Endpoint => "endpoint",
            Self::Service => "service",
            Self::Unknown => "unknown",
        }
    }
}

/// A VM's knowledge of the bound of a service, for other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BoundRecord(
    /// Short hash of the service.
    pub u32,
    /// Rejections in a second that its endpoints bear.
    pub f64,
    /// Age of the response that named it, in milliseconds.
    pub u32,
);

/// Bounds of endpoints and their services, and the slots that they limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct RejectionBounds {
    endpoints: HashMap<EndpointKey, RejectionBound>,
    /// Bounds by the short hash of the service.
    services: BTreeMap<u32, RejectionBound>,
    /// When a response last said that a service has no bound.
    ended: BTreeMap<u32, Time>,
    pub(crate) slots: Slots,
}

impl RejectionBounds {
    fn is_empty(&self) -> bool {
        self.endpoints.is_empty() && self.services.is_empty()
    }

    /// Forgets an endpoint.
    pub(crate) fn remove(&mut self, key: EndpointKey) {
        self.endpoints.remove(&key);
    }
}

impl EndpointTable {
    /// Records whether a response to a request that was sent at `sent` names a bound, in rejections a
    /// second. Returns whether that has changed.
    pub fn record_bound(
        &mut self,
        now: Time,
        key: EndpointKey,
        sent: Time,
        rate: Option<f64>,
    ) -> bool {
        if rate.is_none() && self.bounds.is_empty() {
            return false;
        }
        let Some(service) = self.get(key).map(|e| short_hash_of(&e.entry.service)) else {
            return false;
        };
        let Some(rate) = rate else {
            let known = self.bounds.services.get(&service);
            if known.is_some_and(|known| sent < known.named) {
                // The endpoint may have answered before it named the bound.
                return false;
            }
            self.bounds.services.remove(&service);
            self.bounds.ended.insert(service, now);
            return self.bounds.endpoints.remove(&key).is_some();
        };
        let bound = RejectionBound { rate, named: now };
        if !self.insert_bound(service, bound) {
            return false;
        }
        let before = self.bounds.endpoints.insert(key, bound);
        before.is_none_or(|before| before.rate.to_bits() != rate.to_bits())
    }

    fn insert_bound(&mut self, service: u32, bound: RejectionBound) -> bool {
        let services = &mut self.bounds.services;
        let is_full = services.len() >= MAX_SERVICES && !services.contains_key(&service);
        if !is_full {
            services.insert(service, bound);
        }
        !is_full
    }

    /// Takes in what another VM knows of bounds.
    pub fn merge_bounds(&mut self, now: Time, records: &[BoundRecord]) {
        for BoundRecord(service, rate, age_ms) in records {
            let age = Duration::from_millis(u64::from(*age_ms));
            let ended = self.bounds.ended.get(service);
            let known = self.bounds.services.get(service);
            let is_news = known.is_none_or(|known| now.since(known.named) > age)
                && ended.is_none_or(|ended| now.since(*ended) > age);
            if age < SERVICE_TTL && is_news && rate.is_finite() {
                let named = Time(now.0.saturating_sub(age.as_micros() as u64));
                self.insert_bound(*service, RejectionBound { rate: *rate, named });
            }
        }
    }

    /// Bounds of services, for other VMs; forgets those that nobody has named for long.
    pub fn bound_news(&mut self, now: Time) -> Vec<BoundRecord> {
        let bounds = &mut self.bounds;
        bounds.services.retain(|_, bound| bound.holds(now));
        bounds
            .ended
            .retain(|_, ended| now.since(*ended) < SERVICE_TTL);
        let records = bounds.services.iter().map(|(service, bound)| {
            let age = now.since(bound.named).as_millis() as u32;
            BoundRecord(*service, bound.rate, age)
        });
        records.collect()
    }

    /// Source of this VM's knowledge of the bound of an endpoint.
    pub fn bound_source(&self, now: Time, key: EndpointKey) -> BoundSource {
        match self.bound(now, key) {
            None => BoundSource::Unknown,
            Some(_) if self.bounds.endpoints.contains_key(&key) => BoundSource::Endpoint,
            Some(_) => BoundSource::Service,
        }
    }

    /// The bound of an endpoint, or that of its service if the endpoint has not answered.
    pub(crate) fn bound(&self, now: Time, key: EndpointKey) -> Option<RejectionBound> {
        if self.bounds.is_empty() {
            return None;
        }
        let own = self.bounds.endpoints.get(&key);
        own.copied().or_else(|| {
            let service = short_hash_of(&self.get(key)?.entry.service);
            let bound = self.bounds.services.get(&service).copied()?;
            bound.holds(now).then_some(bound)
        })
    }
}

/// Short hash of a service, which identifies it in heartbeats.
fn short_hash_of(service: &ServiceName) -> u32 {
    (hash_text(service.as_str()) >> 32) as u32
}
