//! Detection of lost links to endpoints, and of their return.
//!
//! Failed connections of calls are the first evidence; see [`poplarswitch_ingress::Reach`]. While a
//! service may be cut off, a few connections at a time are opened to its endpoints, so that the VM is soon
//! sure. After a cut, each endpoint that was lost gets one connection before calls use it again.

use crate::{
    clock,
    forwarding::short_service_hash,
    shared::{Core, Shared},
};
use core::{iter, time::Duration};
use futures_util::{StreamExt as _, future::join_all, stream::FuturesUnordered};
use poplarswitch_entity::{ServiceName, Time};
use poplarswitch_ingress::{EndpointKey, Health, Reachability};
use std::{collections::HashSet, sync::Arc};
use tokio::time::{sleep, timeout};

/// Interval between checks of a service that is cut off.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of connections that a check opens to a service.
const MAX_CHECKED: usize = 4;
/// Number of connections that a check opens to a service that is known to be cut off.
const CUT_CHECKED: usize = 2;
/// Time after which a service without new connections is checked while another one is cut off.
const UNTRIED_TIME: Duration = Duration::from_secs(1);
/// Time in which VMs without traffic to a service find out that they have lost it too, and report it.
const VERDICT_TIME: Duration = Duration::from_millis(1_200);
/// Time after which a stopped check begins again if no connection has failed meanwhile.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);

impl Core {
    fn reachability(&self, now: Time, service: &ServiceName) -> Reachability {
        let available = self.endpoints.available(service);
        self.reach.state(now, service, available)
    }

    /// Services that have endpoints, of which this VM reaches none.
    pub(crate) fn lost_services(&self, now: Time) -> Vec<ServiceName> {
        let services = self.endpoints.services();
        let lost = services.filter(|name| self.reachability(now, name) == Reachability::Cut);
        lost.cloned().collect()
    }

    /// Whether this VM reaches no endpoint of any service.
    pub(crate) fn is_isolated(&self, now: Time) -> bool {
        let mut services = self.endpoints.services().peekable();
        services.peek().is_some()
            && services.all(|name| self.reachability(now, name) == Reachability::Cut)
    }

    /// Endpoints to which connections should be tried.
    fn unchecked(&mut self, now: Time) -> Vec<EndpointKey> {
        let states: Vec<(ServiceName, Reachability)> = self
            .endpoints
            .services()
            .map(|name| (name.clone(), self.reachability(now, name)))
            .collect();
        let has_cut = states.iter().any(|(_, state)| *state == Reachability::Cut);
        let mut keys = Vec::new();
        for (service, state) in states {
            let available = self.endpoints.available(&service);
            let untested = self.reach.untested(&service, available);
            let tried_since = now - UNTRIED_TIME;
            match state {
                Reachability::Suspect => keys.extend(untested.into_iter().take(MAX_CHECKED)),
                Reachability::Cut => {
                    let start = now.0 as usize / CHECK_INTERVAL.as_micros() as usize;
                    let order = available.iter().cycle().skip(start % available.len());
                    keys.extend(order.take(CUT_CHECKED.min(available.len())));
                }
                Reachability::Reached
                    if !self.reach.is_tried_since(tried_since, &service)
                        && (has_cut
                            || self.helpers.is_lost_by_any(short_service_hash(&service))) =>
                {
                    keys.extend(untested.into_iter().take(MAX_CHECKED));
                }
                Reachability::Reached => {}
            }
        }
        keys
    }
}

impl Shared {
    /// Records that a new connection to an endpoint was opened.
    pub(crate) fn record_connected(self: &Arc<Self>, key: EndpointKey) {
        let mut core = self.core();
        let Some(endpoint) = core.endpoints.get(key) else {
            return;
        };
        let service = endpoint.entry.service.clone();
        let lost = core.reach.record_connected(clock::now(), &service);
        drop(core);
        let Some(lost) = lost else {
            return;
        };
        tracing::info!(
            event = "reachable",
            service = service.as_str(),
            endpoints = lost.len(),
            "service"
        );
        self.notify_change();
        tokio::spawn(restore(Arc::clone(self), lost));
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
        self.reach_news.notify_one();
        if is_cut {
            tracing::warn!(
                event = "unreachable",
                service = service.as_str(),
                endpoints,
                "service"
            );
            self.losses.send_replace(());
            self.notify_change();
        }
    }

    /// Whether an endpoint can't be reached because this VM has lost its service, which other VMs reach.
    pub(crate) async fn is_cut_off(self: &Arc<Self>, key: EndpointKey) -> bool {
        self.record_unconnected(key);
        let others = {
            let core = self.core();
            let service = core.endpoints.get(key).map(|e| e.entry.service.clone());
            let Some(service) = service else {
                return false;
            };
            let others = core.endpoints.available(&service).iter();
            let others = others.filter(|other| **other != key).copied();
            (service, others.take(MAX_CHECKED).collect::<Vec<_>>())
        };
        let (service, others) = others;
        let mut links: FuturesUnordered<_> =
            others.into_iter().map(|key| self.check_link(key)).collect();
        while let Some(is_open) = links.next().await {
            if is_open {
                return false;
            }
        }
        let start = clock::now();
        sleep(VERDICT_TIME).await;
        let hash = short_service_hash(&service);
        // Reports from the last part of the wait include what the others have found out meanwhile.
        let late = start + VERDICT_TIME * 3 / 4;
        self.core().helpers.is_kept_by_any(late, hash)
    }

    /// Opens a connection to an endpoint and keeps it for calls; returns whether that succeeded.
    async fn check_link(self: &Arc<Self>, key: EndpointKey) -> bool {
        let address = {
            let core = self.core();
            core.endpoints.get(key).map(|e| e.entry.address)
        };
        let Some(address) = address else {
            return false;
        };
        let Ok(connection) = self.acquire(key, address, true).await else {
            return false;
        };
        self.return_connection(key, connection.sender, None);
        true
    }

    /// Checks a link in the background unless a connection to the service has been tried since a time.
    pub(crate) fn spawn_link_check(self: &Arc<Self>, key: EndpointKey, since: Time) {
        let is_tried = {
            let core = self.core();
            let service = core.endpoints.get(key).map(|e| &e.entry.service);
            service.is_none_or(|service| core.reach.is_tried_since(since, service))
        };
        if !is_tried {
            let shared = Arc::clone(self);
            tokio::spawn(async move { shared.check_link(key).await });
        }
    }

    /// Opens a connection to an endpoint that was lost, and ends its ejection if that succeeds.
    async fn restore_link(self: &Arc<Self>, key: EndpointKey) {
        if self.check_link(key).await
            && let Some(endpoint) = self.core().endpoints.get_mut(key)
        {
            Health::record_reachable(&mut endpoint.health);
        }
    }
}

/// Checks services that may be cut off until the process exits.
pub(crate) async fn watch(shared: Arc<Shared>) {
    loop {
        let keys = shared.core().unchecked(clock::now());
        if keys.is_empty() {
            // A time-out has the same effect as news.
            let _news = timeout(IDLE_INTERVAL, shared.reach_news.notified()).await;
            continue;
        }
        join_all(keys.into_iter().map(|key| shared.check_link(key))).await;
        if !shared.core().lost_services(clock::now()).is_empty() {
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Opens a connection to each endpoint that was lost, a few at a time.
async fn restore(shared: Arc<Shared>, lost: Vec<EndpointKey>) {
    let mut lost: HashSet<EndpointKey> = lost.into_iter().collect();
    while !lost.is_empty() {
        let keys: Vec<EndpointKey> = lost.iter().copied().take(MAX_CHECKED).collect();
        for key in &keys {
            lost.remove(key);
        }
        let checks = iter::zip(&keys, iter::repeat(&shared));
        join_all(checks.map(|(key, shared)| shared.restore_link(*key))).await;
    }
}
