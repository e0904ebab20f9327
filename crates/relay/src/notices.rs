//! What endpoints say of themselves in their responses, to calls and to requests for reports.

use crate::{
    ResponseInfo, ResponseKind,
    call_forwarder::CallForwarder,
    clock,
    shared::{Core, Shared},
};
use core::net::SocketAddr;
use poplarswitch_entity::Time;
use poplarswitch_ingress::{EndpointKey, EndpointNotice, NamedPause};

/// Source of changes, in logs, that endpoints tell of themselves.
const NOTICE_SOURCE: &str = "endpoint";

impl Core {
    /// The endpoints at an address; with `start_ms`, only the incarnation that started then.
    fn endpoints_at(&self, address: SocketAddr, start_ms: Option<u64>) -> Vec<EndpointKey> {
        let endpoints = self.endpoints.iter();
        let matching = endpoints.filter(|(_, endpoint)| {
            let entry = &endpoint.entry;
            entry.address == address && start_ms.is_none_or(|start| start == entry.start_ms)
        });
        matching.map(|(key, _)| key).collect()
    }
}

impl Shared {
    /// Takes in what the process at an address says of itself in a response to a request that is not
    /// for a call; `start_ms` is the start of that process, if it is known.
    pub(crate) fn record_notice_at(
        &self,
        address: SocketAddr,
        start_ms: Option<u64>,
        notice: EndpointNotice,
    ) {
        if notice == EndpointNotice::default() {
            return;
        }
        let keys = self.core().endpoints_at(address, start_ms);
        for key in keys {
            self.record_notice(key, clock::now(), notice, None);
        }
    }

    /// Takes in what an endpoint says of itself in a response to a request that was sent at `sent`; `call`
    /// is the identifier of the call.
    pub(crate) fn record_notice(
        &self,
        key: EndpointKey,
        sent: Time,
        notice: EndpointNotice,
        call: Option<&str>,
    ) {
        if notice.leaving {
            self.record_leaving(key);
        }
        self.record_pause(key, notice.pause, call);
        self.record_bound(key, sent, notice.max_rejections);
    }

    fn record_bound(&self, key: EndpointKey, sent: Time, max_rejections: Option<f64>) {
        let mut core = self.core();
        let is_changed = core
            .endpoints
            .record_bound(clock::now(), key, sent, max_rejections);
        let name = core.endpoints.get(key).map(|e| e.entry.name.clone());
        drop(core);
        if let Some(name) = name.filter(|_| is_changed) {
            let endpoint = name.as_str();
            tracing::info!(event = "brittle", endpoint, max_rejections, "endpoint");
        }
    }

    pub(crate) fn record_leaving(&self, key: EndpointKey) {
        let change = self.core().endpoints.record_leaving(key);
        self.handle_endpoint_changes(change.as_slice(), NOTICE_SOURCE);
    }

    fn record_pause(&self, key: EndpointKey, pause: NamedPause, call: Option<&str>) {
        if pause == NamedPause::None {
            return;
        }
        let now = clock::now();
        let mut core = self.core();
        let Some(endpoint) = core.endpoints.get_mut(key) else {
            return;
        };
        let endpoint_name = endpoint.entry.name.clone();
        let endpoint_name = endpoint_name.as_str();
        match pause {
            NamedPause::None => {}
            NamedPause::For(length) => {
                let is_extended = endpoint.pause.extend(now, length);
                let ms = endpoint.pause.until().since(now).as_millis() as u64;
                drop(core);
                self.metrics.pauses.inc();
                if is_extended {
                    tracing::info!(
                        event = "paused",
                        endpoint = endpoint_name,
                        ms,
                        id = call,
                        "endpoint"
                    );
                }
            }
            NamedPause::Unreadable => {
                drop(core);
                tracing::info!(
                    event = "pause_unreadable",
                    endpoint = endpoint_name,
                    id = call,
                    "endpoint"
                );
            }
        }
    }
}

impl CallForwarder {
    /// Logs that a brittle endpoint has rejected the call, with what this VM knew before.
    pub(crate) fn log_rejection(&self, key: EndpointKey, info: &ResponseInfo) {
        let Some(max_rejections) = info.notice.max_rejections else {
            return;
        };
        self.shared.metrics.brittle_rejections.inc();
        let now = clock::now();
        let core = self.shared.core();
        let Some(endpoint) = core.endpoints.get(key) else {
            return;
        };
        let name = endpoint.entry.name.clone();
        let (open_calls, slots) = (endpoint.open_calls, endpoint.entry.slots);
        let owner = core.endpoints.slot_owner(now, key).map(|ip| ip.to_string());
        let known = core.endpoints.bound_source(now, key).as_str();
        let vms = core.membership.alive_count(now);
        drop(core);
        tracing::info!(
            event = "rejected",
            endpoint = name.as_str(),
            id = &*self.request.call.id,
            max_rejections,
            known,
            open_calls,
            owner,
            slots,
            vms,
            uptime_ms = now.since(self.shared.started).as_millis() as u64,
            is_trial = self.trial.is_some(),
            is_begun = self.request.pin.is_begun(),
            "endpoint"
        );
    }

    /// Takes in what the response to the call says of its endpoint.
    pub(crate) fn observe_notice(&self, key: EndpointKey, sent: Time, info: &ResponseInfo) {
        // Another process than this endpoint may have answered.
        if matches!(info.kind, ResponseKind::OtherCall | ResponseKind::Displaced) {
            return;
        }
        let call = Some(&*self.request.call.id);
        self.shared.record_notice(key, sent, info.notice, call);
    }
}
