//! Selection of the VM to which a call is forwarded.
//!
//! A VM that doesn't reach the endpoints of a service forwards its calls to VMs that do. Each VM reports
//! its load and the services that it has lost in its heartbeats. Reports are some hundred milliseconds
//! old and several VMs may forward at once, so the less loaded of two random VMs is selected.

use crate::service_work::ServiceWork;
use core::{net::Ipv4Addr, time::Duration};
use poplarswitch_entity::Time;
use std::collections::HashMap;

/// Time for which a report is used.
const REPORT_TTL: Duration = Duration::from_millis(1_200);

/// Load and lost services of a VM, from its latest heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerReport {
    /// When the heartbeat was received.
    pub at: Time,
    /// Open calls by endpoint: short hash of the endpoint's name, number of calls.
    pub open_calls: Vec<(u32, u16)>,
    /// Short hashes of the services that the VM doesn't reach; none if it takes no forwarded calls.
    pub lost_services: Option<Vec<u32>>,
    /// Work by service, if the VM tells it.
    pub works: Vec<ServiceWork>,
}

impl PeerReport {
    fn load(&self) -> u32 {
        let counts = self.open_calls.iter().map(|(_, count)| u32::from(*count));
        counts.fold(0, u32::saturating_add)
    }

    fn takes_calls_for(&self, service: u32) -> bool {
        let lost = self.lost_services.as_ref();
        lost.is_some_and(|lost| !lost.contains(&service))
    }
}

/// Reports of other VMs, and the calls that this VM has forwarded to them.
#[derive(Clone, Debug, Default)]
pub struct Helpers {
    reports: HashMap<Ipv4Addr, PeerReport>,
    /// Forwarded calls that are open.
    forwarded: HashMap<Ipv4Addr, u32>,
}

impl Helpers {
    /// Records the report of a VM.
    pub fn record(&mut self, ip: Ipv4Addr, report: PeerReport) {
        self.reports.insert(ip, report);
    }

    /// Removes reports that are too old.
    pub fn expire(&mut self, now: Time) {
        self.reports
            .retain(|_, report| now.since(report.at) < REPORT_TTL);
    }

    /// Reports that are recent enough.
    pub fn reports(&self) -> impl Iterator<Item = &PeerReport> {
        self.reports.values()
    }

    /// Whether a VM has reported that it doesn't reach a service with this short hash.
    pub fn is_lost_by_any(&self, service: u32) -> bool {
        let mut lost = self.reports.values().flat_map(|r| &r.lost_services);
        lost.any(|lost| lost.contains(&service))
    }

    /// Whether a VM has reported since `start` that it has not lost a service with this short hash.
    pub fn is_kept_by_any(&self, start: Time, service: u32) -> bool {
        let mut reports = self.reports.values();
        reports.any(|report| report.at >= start && report.takes_calls_for(service))
    }

    /// Records that a call is forwarded to a VM.
    pub fn begin(&mut self, ip: Ipv4Addr) {
        *self.forwarded.entry(ip).or_default() += 1;
    }

    /// Records that a forwarded call has ended.
    pub fn end(&mut self, ip: Ipv4Addr) {
        let Some(count) = self.forwarded.get_mut(&ip) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.forwarded.remove(&ip);
        }
    }

    /// Selects one of the VMs `ready` for a call to a service with a short hash; `draws` are random
    /// numbers.
    pub fn select(
        &self,
        now: Time,
        service: u32,
        ready: impl Iterator<Item = Ipv4Addr>,
        draws: [u64; 2],
    ) -> Option<Ipv4Addr> {
        let load = |ip| {
            let report = self.reports.get(&ip)?;
            let is_recent = now.since(report.at) < REPORT_TTL;
            let forwarded = self.forwarded.get(&ip).copied().unwrap_or_default();
            (is_recent && report.takes_calls_for(service))
                .then(|| report.load().saturating_add(forwarded))
        };
        let mut helpers: Vec<(u32, Ipv4Addr)> =
            ready.filter_map(|ip| Some((load(ip)?, ip))).collect();
        helpers.sort_unstable_by_key(|(_, ip)| *ip);
        let first = helpers.get(index(draws[0], helpers.len())?).copied()?;
        helpers.retain(|helper| *helper != first);
        let second = index(draws[1], helpers.len()).map(|index| helpers[index]);
        second.map_or(Some(first.1), |second| Some(first.min(second).1))
    }
}

/// A random index of a list.
fn index(draw: u64, len: usize) -> Option<usize> {
    (len > 0).then(|| (draw % len.max(1) as u64) as usize)
}
