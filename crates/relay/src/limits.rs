//! Limits that endpoints name in their answers.

use crate::{ResponseInfo, ResponseKind, call_forwarder::CallForwarder, clock, shared::Core};
use poplarswitch_entity::Time;
use poplarswitch_ingress::{EndpointKey, LimitChange, LimitId};

impl Core {
    /// Identifier under which the limit of an endpoint is known to all VMs.
    pub(crate) fn limit_id(&self, key: EndpointKey) -> Option<LimitId> {
        let endpoint = self.endpoints.get(key)?;
        Some(LimitId::new(endpoint.name_hash, endpoint.entry.start_ms))
    }
}

impl CallForwarder {
    /// Records what an answer to a request that was sent at `sent` says of its endpoint's limit.
    pub(crate) fn observe_limit(&self, key: EndpointKey, sent: Time, info: &ResponseInfo) {
        // Another process than this endpoint may have answered.
        if matches!(info.kind, ResponseKind::OtherCall | ResponseKind::Displaced) {
            return;
        }
        let now = clock::now();
        let mut core = self.shared.core();
        let Some(id) = core.limit_id(key) else {
            return;
        };
        let change = core.limits.observe(now, id, sent, info.limit);
        let is_limited = core.limits.rate(id).is_some();
        drop(core);
        if is_limited {
            self.shared.metrics.limited_sends.inc();
        }
        if let Some(change) = change {
            self.log_limit(change);
        }
    }

    fn log_limit(&self, change: LimitChange) {
        let endpoint = &*self.record.endpoint;
        let id = &*self.request.call.id;
        match change {
            LimitChange::Named(rate) => {
                tracing::info!(event = "limit_named", endpoint, rate, id, "endpoint");
            }
            LimitChange::Ended => tracing::info!(event = "limit_ended", endpoint, id, "endpoint"),
        }
    }
}
