//! Evidence on which services this VM reaches.

use crate::{clock, shared::Shared};
use poplarswitch_ingress::EndpointKey;

impl Shared {
    /// Records that a new connection to an endpoint was opened.
    pub(crate) fn record_connected(&self, key: EndpointKey) {
        let mut core = self.core();
        let Some(endpoint) = core.endpoints.get(key) else {
            return;
        };
        let service = endpoint.entry.service.clone();
        let lost = core.reach.record_connected(&service);
        drop(core);
        if let Some(lost) = lost {
            tracing::info!(
                event = "reachable",
                service = service.as_str(),
                endpoints = lost.len(),
                "service"
            );
        }
    }

    /// Records that a connection to an endpoint could not be opened.
    pub(crate) fn record_unconnected(&self, key: EndpointKey) {
        let now = clock::now();
        self.metrics.connects_failed.inc();
        let mut guard = self.core();
        let core = &mut *guard;
        let Some(endpoint) = core.endpoints.get(key) else {
            return;
        };
        let service = endpoint.entry.service.clone();
        let available = core.endpoints.available(&service);
        let is_cut = core.reach.record_failed(now, &service, key, available);
        let endpoints = available.len();
        drop(guard);
        if is_cut {
            tracing::warn!(
                event = "unreachable",
                service = service.as_str(),
                endpoints,
                "service"
            );
        }
    }
}
