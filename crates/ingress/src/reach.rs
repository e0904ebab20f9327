//! Reachability of services from this VM.
//!
//! A VM may lose its links to endpoints while callers, the platform and the other VMs still reach it. A
//! failed connection only shows that its endpoint is down or unreachable. If connections to several
//! endpoints of a service fail and none succeeds in between, the VM may be cut off from the service; if
//! those to all of its endpoints fail, or to enough of them, it is. Only new connections count: during a
//! cut, open ones may live on, and they may also hang.

use crate::endpoints::EndpointKey;
use core::time::Duration;
use poplarswitch_entity::{ServiceName, Time};
use std::collections::HashMap;

/// Number of endpoints whose connections must fail before a service of more endpoints counts as cut off.
const MAX_EVIDENCE: usize = 16;
/// Number of endpoints whose connections must fail before a service may be cut off.
const MIN_SUSPECTS: usize = 2;
/// Time for which a failed connection counts if the service isn't cut off.
const EVIDENCE_TTL: Duration = Duration::from_secs(2);

/// Whether this VM reaches the endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reachability {
    /// Nothing indicates a cut.
    Reached,
    /// Connections to several endpoints have failed and none has succeeded since.
    Suspect,
    /// Connections to all endpoints, or to a sufficient number of them, have failed.
    Cut,
}

/// Failed connections to the endpoints of a service since the last successful one.
#[derive(Clone, Debug, Default)]
struct Failures {
    endpoints: HashMap<EndpointKey, Time>,
    is_cut: bool,
}

/// Reachability of all services.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    services: HashMap<ServiceName, Failures>,
    /// When the last connection to an endpoint of each service was tried.
    tried: HashMap<ServiceName, Time>,
}

impl Reach {
    /// Records a new connection to an endpoint of a service. If the service was cut off, returns the
    /// endpoints that could not be reached.
    pub fn record_connected(
        &mut self,
        now: Time,
        service: &ServiceName,
    ) -> Option<Vec<EndpointKey>> {
        self.tried.insert(service.clone(), now);
        let failures = self.services.remove(service)?;
        failures
            .is_cut
            .then(|| failures.endpoints.into_keys().collect())
    }

    /// Records a failed connection to an endpoint of a service whose endpoints are `available`; returns
    /// whether the service is cut off from now on.
    pub fn record_failed(
        &mut self,
        now: Time,
        service: &ServiceName,
        key: EndpointKey,
        available: &[EndpointKey],
    ) -> bool {
        self.tried.insert(service.clone(), now);
        let failures = self.services.entry(service.clone()).or_default();
        if !failures.is_cut {
            failures
                .endpoints
                .retain(|_, at| now.since(*at) < EVIDENCE_TTL);
        }
        failures.endpoints.insert(key, now);
        let was_cut = failures.is_cut;
        failures.is_cut |= failures.reachability(available) == Reachability::Cut;
        failures.is_cut && !was_cut
    }

    /// Whether this VM reaches a service whose endpoints are `available`.
    pub fn state(
        &self,
        now: Time,
        service: &ServiceName,
        available: &[EndpointKey],
    ) -> Reachability {
        let Some(failures) = self.services.get(service) else {
            return Reachability::Reached;
        };
        if failures.is_cut {
            return failures.reachability(available);
        }
        let recent = failures.endpoints.iter();
        let recent =
            recent.filter(|(key, at)| now.since(**at) < EVIDENCE_TTL && available.contains(key));
        if recent.count() >= MIN_SUSPECTS {
            Reachability::Suspect
        } else {
            Reachability::Reached
        }
    }

    /// Whether a connection to an endpoint of a service has been tried since `start`.
    pub fn is_tried_since(&self, start: Time, service: &ServiceName) -> bool {
        self.tried.get(service).is_some_and(|at| *at >= start)
    }

    /// Endpoints among `available` to which no connection has failed since the last successful one to
    /// their service.
    pub fn untested(&self, service: &ServiceName, available: &[EndpointKey]) -> Vec<EndpointKey> {
        let failures = self.services.get(service);
        let is_failed = |key| failures.is_some_and(|f| f.endpoints.contains_key(key));
        let untested = available.iter().filter(|key| !is_failed(*key));
        untested.copied().collect()
    }
}

impl Failures {
    fn reachability(&self, available: &[EndpointKey]) -> Reachability {
        let failed = available
            .iter()
            .filter(|key| self.endpoints.contains_key(*key));
        let failed = failed.count();
        if failed == 0 {
            Reachability::Reached
        } else if failed >= available.len().min(MAX_EVIDENCE) {
            Reachability::Cut
        } else {
            Reachability::Suspect
        }
    }
}
