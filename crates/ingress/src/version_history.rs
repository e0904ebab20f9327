//! The software versions that each service has had lately, and since when none can have been missed.
//!
//! A view of the endpoints shows the versions of one moment. A version that came and went between two
//! views has left no trace in the later one, so the history of a VM begins anew at each gap: at its first
//! view, at a listing after the platform has lost the changes in between, and at a view of another VM that
//! begins later than its own one ends. Three things close a gap: time, the history of a VM that has none
//! there, and the entries of VMs in the platform. VMs write each version that they see, so the entries
//! name what streams began at, whoever is alive. A VM that doesn't answer closes none.

use crate::{
    endpoints::EndpointTable,
    entry::SoftwareVersion,
    revision::Revision,
    stale_vms::VmEntry,
    streams::{HISTORY_TIME, KeptVersion},
};
use core::time::Duration;
use poplarswitch_entity::{ServiceName, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which no endpoint must have had a version before its end is kept; endpoints that are
/// replaced leave gaps.
const KEPT_GAP: Duration = Duration::from_secs(5);
/// Maximum number of versions that a VM keeps in its entry.
const MAX_KEPT: usize = 200;
/// Time within which VMs have written a version that they have seen to their entries.
const ENTRY_WRITE_TIME: Duration = Duration::from_secs(1);

/// A service and a version that it has; an unknown version is none.
pub type ServiceVersion = (ServiceName, Option<SoftwareVersion>);

/// Up to where a view of the endpoints is complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViewEnd {
    /// When the platform was last known to have shown it as the newest.
    pub confirmed: Option<Time>,
    /// Revision of the platform.
    pub revision: Revision,
}

/// Where a history begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HistoryStart {
    at: Time,
    revision: Revision,
}

impl HistoryStart {
    /// Whether a view reaches the beginning, so that nothing is between them.
    fn is_reached_by(&self, end: &ViewEnd) -> bool {
        end.revision >= self.revision || end.confirmed >= Some(self.at)
    }
}

/// Another VM's history of a service, in reply to a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToldVersions {
    /// The versions that the service has had for longer than a stream lasts.
    pub versions: Vec<SoftwareVersion>,
    /// Up to where they are known; none if the VM doesn't tell.
    pub until: Option<ViewEnd>,
}

/// A VM's history of all services as sent to another VM, with times in microseconds relative to the
/// arrival of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentHistory {
    /// Since when no version has been missed.
    pub since: i64,
    /// Revision since which no version has been missed.
    pub from: Revision,
    /// Versions that no endpoint has now, and when they were last seen.
    pub passed: Vec<(ServiceName, SoftwareVersion, i64)>,
}

/// A version that endpoints of a service have or had.
#[derive(Clone, Debug)]
struct SeenVersion {
    software: Option<SoftwareVersion>,
    /// When it was last seen.
    last: Time,
    /// Whether an endpoint has it now.
    serves: bool,
    /// Whether an endpoint has it now or had it a short time ago.
    kept: bool,
}

/// The versions that this VM has seen lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionHistory {
    services: BTreeMap<ServiceName, Vec<SeenVersion>>,
    /// Change count of the endpoints when their versions were last read.
    change_count: Option<u64>,
    /// Services whose versions other processes had seen for longer than a stream lasts when this one
    /// started.
    settled: BTreeSet<ServiceName>,
    /// When the first view was seen, or the last one that followed a gap right after the start.
    first_view: Option<Time>,
    /// Since when no version has been missed.
    start: Option<HistoryStart>,
    /// The same before the gaps that entries can close; none if there is no such gap.
    before_gap: Option<HistoryStart>,
}

impl VersionHistory {
    /// Records versions that endpoints have now or had since the last view.
    pub(crate) fn add_seen(&mut self, now: Time, seen: impl Iterator<Item = ServiceVersion>) {
        for (service, software) in seen {
            self.add(&service, software.as_ref(), now);
        }
    }

    /// Whether a version was seen lately.
    pub(crate) fn knows(&self, (service, software): &ServiceVersion) -> bool {
        let mut versions = self.services.get(service).into_iter().flatten();
        versions.any(|version| version.software == *software)
    }

    /// Begins the history anew, at a gap before a listing as of a revision.
    pub(crate) fn begin(&mut self, now: Time, revision: Revision) {
        self.begin_at(now, HistoryStart { at: now, revision });
    }

    /// Begins the history anew. Entries of VMs close the gap unless the platform may have lost them, too.
    fn begin_at(&mut self, now: Time, start: HistoryStart) {
        let first_view = *self.first_view.get_or_insert(now);
        if start.at <= first_view + ENTRY_WRITE_TIME {
            // The gap before the first view is longer by that; the same closes it.
            self.first_view = Some(first_view.max(start.at));
            self.before_gap = None;
        } else {
            let before = self.before_gap.or(self.start);
            self.before_gap = before.filter(|before| before.revision.era == start.revision.era);
        }
        self.start = Some(start);
    }

    /// Whether the entries of VMs may close a gap.
    pub(crate) const fn has_open_gap(&self) -> bool {
        self.before_gap.is_some()
    }

    /// Takes in the versions in the entries of VMs, for which the platform was asked at `sent`. Nothing is
    /// taken in if there is no gap to close: an entry of a VM that has ended names what it saw last.
    pub(crate) fn read_entries(&mut self, now: Time, sent: Time, unix_ms: u64, vms: &[VmEntry]) {
        let (Some(before), Some(start)) = (self.before_gap, self.start) else {
            return;
        };
        self.add_kept(now, unix_ms, vms);
        if sent >= start.at + ENTRY_WRITE_TIME {
            self.start = Some(before);
            self.before_gap = None;
        }
    }

    /// Takes in the versions that VMs kept in their entries, at the start of this process. A version that
    /// had endpoints when its entry was written counts as seen until now.
    pub(crate) fn restore(&mut self, now: Time, unix_ms: u64, vms: &[VmEntry]) {
        let oldest_ms = unix_ms.saturating_sub(HISTORY_TIME.as_millis() as u64);
        for vm in vms.iter().filter(|vm| vm.start_ms <= oldest_ms) {
            let services = vm.versions.iter().map(|kept| kept.service.clone());
            self.settled.extend(services);
        }
        self.add_kept(now, unix_ms, vms);
    }

    fn add_kept(&mut self, now: Time, unix_ms: u64, vms: &[VmEntry]) {
        for kept in vms.iter().flat_map(|vm| &vm.versions) {
            let last_ms = kept.last_ms.unwrap_or(unix_ms);
            let age = Duration::from_millis(unix_ms.saturating_sub(last_ms));
            if age < HISTORY_TIME {
                self.add(&kept.service, Some(&kept.software), now - age);
            }
        }
    }

    /// The history for another VM whose request arrived at `arrived`; none before the first view.
    pub(crate) fn sent(&mut self, arrived: Time, endpoints: &EndpointTable) -> Option<SentHistory> {
        self.read(endpoints);
        let offset = |at: Time| at.0.cast_signed() - arrived.0.cast_signed();
        let services = self.services.iter();
        let passed = services.flat_map(|(service, versions)| {
            let passed = versions.iter().filter(|version| !version.serves);
            passed.map(|version| {
                let software = version.software.clone().unwrap_or_default();
                (service.clone(), software, offset(version.last))
            })
        });
        let start = self.start?;
        Some(SentHistory {
            since: offset(start.at),
            from: start.revision,
            passed: passed.collect(),
        })
    }

    /// Takes in the history of another VM together with its view up to `end`, in reply to a request that was
    /// sent at `sent`. The view of this VM was complete up to `own_end` before.
    pub(crate) fn merge(
        &mut self,
        now: Time,
        sent: Time,
        told: &SentHistory,
        end: &ViewEnd,
        own_end: &ViewEnd,
    ) {
        let local = |offset: i64| Time(sent.0.saturating_add_signed(offset));
        for (service, software, last) in &told.passed {
            self.add(service, Some(software), local(*last).min(now));
        }
        let start = HistoryStart {
            at: local(told.since),
            revision: told.from,
        };
        match self.start {
            Some(own) if !own.is_reached_by(end) => {}
            Some(own) if start.is_reached_by(own_end) => {
                if start.at < own.at {
                    self.start = Some(start);
                    self.before_gap = self.before_gap.filter(|before| before.at < start.at);
                }
            }
            _ => self.begin_at(now, start),
        }
    }

    /// Notes which versions serve now; returns whether [`Self::kept`] has changed.
    pub(crate) fn note(&mut self, now: Time, endpoints: &EndpointTable) -> bool {
        self.read(endpoints);
        let mut is_changed = false;
        for versions in self.services.values_mut() {
            for version in versions.iter_mut() {
                if version.serves {
                    version.last = now;
                }
                let kept = now.since(version.last) < KEPT_GAP;
                is_changed |= version.kept != kept;
                version.kept = kept;
            }
            versions.retain(|version| now.since(version.last) < HISTORY_TIME);
        }
        self.services.retain(|_, versions| !versions.is_empty());
        is_changed
    }

    /// The versions for this VM's entry in the platform, all of a service or none.
    pub(crate) fn kept(&self, now: Time, unix_ms: u64) -> Vec<KeptVersion> {
        let mut kept = Vec::new();
        for (service, versions) in &self.services {
            if kept.len() + versions.len() > MAX_KEPT {
                break;
            }
            kept.extend(versions.iter().map(|version| {
                KeptVersion {
                    service: service.clone(),
                    software: version.software.clone().unwrap_or_default(),
                    last_ms: (!version.kept).then(|| {
                        unix_ms.saturating_sub(now.since(version.last).as_millis() as u64)
                    }),
                }
            }));
        }
        kept
    }

    /// The versions that a service has had for longer than a stream lasts, if none can have been missed
    /// since; `started` is the start of this process. An unknown version is among them as an unknown one.
    pub(crate) fn whole(
        &self,
        now: Time,
        started: Time,
        service: &ServiceName,
    ) -> Option<Vec<SoftwareVersion>> {
        if !self.is_whole(now, started) {
            return None;
        }
        let versions = self.services.get(service)?.iter();
        let versions = versions.map(|version| version.software.clone().unwrap_or_default());
        Some(versions.collect())
    }

    /// Whether no version can have been missed for longer than a stream lasts.
    pub(crate) fn is_whole(&self, now: Time, started: Time) -> bool {
        let since = self.start.map_or(started, |start| start.at);
        now.since(since) >= HISTORY_TIME
    }

    /// Whether the history has had no gap since the first view of this process.
    pub(crate) fn is_whole_since_start(&self) -> bool {
        self.start.map(|start| start.at) <= self.first_view
    }

    /// Whether a history that is known up to `end` has no gap to this one.
    pub(crate) fn follows(&self, end: &ViewEnd) -> bool {
        self.start.is_none_or(|start| start.is_reached_by(end))
    }

    /// The version that a service has had lately, if it has had a single one.
    pub(crate) fn single(&self, service: &ServiceName) -> Option<&SoftwareVersion> {
        let [only] = self.services.get(service)?.as_slice() else {
            return None;
        };
        only.software.as_ref()
    }

    /// Whether another process has shown which versions a service had before this one started.
    pub(crate) fn is_settled(&self, service: &ServiceName) -> bool {
        self.settled.contains(service)
    }

    /// Whether a service has had several versions lately.
    pub(crate) fn has_several(&self, service: &ServiceName) -> bool {
        self.services
            .get(service)
            .is_some_and(|versions| versions.len() > 1)
    }

    /// The services that have had several versions lately.
    pub(crate) fn services_with_several(&self) -> impl Iterator<Item = &ServiceName> {
        let services = self.services.iter();
        let several = services.filter(|(_, versions)| versions.len() > 1);
        several.map(|(service, _)| service)
    }

    fn add(&mut self, service: &ServiceName, software: Option<&SoftwareVersion>, last: Time) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Vec::new());
        }
        let Some(versions) = self.services.get_mut(service) else {
            return;
        };
        let mut known = versions.iter_mut();
        match known.find(|known| known.software.as_ref() == software) {
            Some(known) => known.last = known.last.max(last),
            None => versions.push(SeenVersion {
                software: software.cloned(),
                last,
                serves: false,
                kept: false,
            }),
        }
    }

    /// Reads which versions serve now.
    fn read(&mut self, endpoints: &EndpointTable) {
        let change_count = Some(endpoints.change_count());
        if core::mem::replace(&mut self.change_count, change_count) == change_count {
            return;
        }
        for version in self.services.values_mut().flatten() {
            version.serves = false;
        }
        for (_, endpoint) in endpoints.iter() {
            let entry = &endpoint.entry;
            self.add(&entry.service, entry.software.as_ref(), Time::ZERO);
            let versions = self.services.get_mut(&entry.service).into_iter().flatten();
            for version in versions.filter(|version| version.software == entry.software) {
                version.serves = true;
            }
        }
    }
}
