//! The software version to which each stream belongs.
//!
//! A stream may go on only at endpoints of the version that began it. The VM that forwards the first
//! event of a stream records its origin, and tells two other VMs, which rendezvous hashing selects by
//! the caller's attempt. A VM that is asked to continue a stream looks among its own records, then asks
//! other VMs. Records are kept for longer than callers wait, and their number is limited.
//!
//! Without a record, the stream is known to be of the only version that its service has had for as
//! long; otherwise it goes on nowhere. VMs keep the versions that they have seen, and while there are
//! several also the streams that they have begun, in their entries in the platform, for the case that
//! all VMs end at once.

use crate::{
    endpoints::EndpointTable,
    entry::SoftwareVersion,
    hash::{hash_pair, hash_text},
    kept_streams::{KeptStreams, RememberedStreams, stream_keepers},
    revision::Revision,
    stale_vms::VmEntry,
    version_history::{SentHistory, ServiceVersion, VersionHistory, ViewEnd},
};
use core::{net::Ipv4Addr, time::Duration};
use poplarswitch_entity::{ServiceName, Time, VmName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Time for which the origin of a stream is kept after its last event that began an answer.
const RECORD_TTL: Duration = Duration::from_mins(1);
/// Maximum number of origins that are kept; the oldest are dropped first.
const MAX_RECORDS: usize = 50_000;
/// Time for which a service must have had one version for a stream without a record to be of it.
pub(crate) const HISTORY_TIME: Duration = Duration::from_secs(30);
/// Number of other VMs that are told of an origin.
const COPY_COUNT: usize = 2;
/// Number of VMs up to which all of them are asked for an origin.
const SMALL_CLUSTER: usize = 12;
/// Number of VMs that are asked in larger clusters; one of them may have started after the record.
const ASKED_COUNT: usize = COPY_COUNT + 2;
/// Number of streams of which all VMs together tell the keepers once a service has several versions.
const MAX_RETOLD: usize = 4_000;

/// Identifier of a stream: a hash of the caller's attempt that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Identifier of the stream whose first event this attempt brought.
    pub fn new(first_attempt: &str) -> Self {
        Self(hash_text(first_attempt))
    }
}

/// Service and version to which a stream belongs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceName,
    /// The version of the software that began the stream.
    pub software: SoftwareVersion,
}

/// A version of a service that a VM has seen, as it is kept in the VM's entry in the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptVersion {
    /// The service.
    pub service: ServiceName,
    /// The version; an unknown one stands for any.
    pub software: SoftwareVersion,
    /// When it was last seen, in Unix milliseconds; none if an endpoint had it when the entry was
    /// written.
    pub last_ms: Option<u64>,
}

/// Whether the versions in an entry lack something that VMs which start have to know.
pub fn lacks_versions(written: &[KeptVersion], current: &[KeptVersion]) -> bool {
    let is_same = |a: &KeptVersion, b: &KeptVersion| {
        a.service == b.service
            && a.software == b.software
            && a.last_ms.is_none() == b.last_ms.is_none()
    };
    let is_missing =
        |version: &KeptVersion, list: &[KeptVersion]| !list.iter().any(|v| is_same(v, version));
    let mut serving = written.iter().filter(|version| version.last_ms.is_none());
    current.iter().any(|version| is_missing(version, written))
        || serving.any(|version| is_missing(version, current))
}

/// A datagram between VMs about the origins of streams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamMessage {
    /// Origins to keep: each with its streams.
    #[serde(rename = "origins")]
    Origins(Vec<(StreamOrigin, Vec<StreamId>)>),
    /// Request for the origin of a stream.
    #[serde(rename = "find")]
    Find {
        /// Number of the request, which the reply repeats.
        serial: u32,
        /// The stream, if its first attempt is known.
        stream: Option<StreamId>,
        /// Service of the route.
        service: ServiceName,
    },
    /// Reply to a request.
    #[serde(rename = "found")]
    Found {
        /// Number of the request.
        serial: u32,
        /// The origin, if it is known.
        origin: Option<StreamOrigin>,
        /// The versions that the service has had for longer than a stream lasts, if the VM can have
        /// missed none.
        versions: Option<Vec<SoftwareVersion>>,
        /// Age in milliseconds of the last confirmation of the view that shows them; VMs of an earlier
        /// version don't send it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        view_age_ms: Option<u32>,
        /// Revision of that view; VMs of an earlier version don't send it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        view_revision: Option<Revision>,
    },
}

/// Origins of streams that are known to this VM.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    origins: HashMap<StreamId, Record>,
    /// Streams in the order of their records, with the time of each record.
    order: VecDeque<(StreamId, Time)>,
    /// Streams for this VM's entry in the platform.
    remembered: RememberedStreams,
    /// Versions of each service that were seen lately.
    pub(crate) versions: VersionHistory,
    /// Services with several versions of whose earlier streams the keepers have been told.
    retold: BTreeSet<ServiceName>,
}

/// What is known of a stream.
#[derive(Clone, Debug)]
struct Record {
    origin: StreamOrigin,
    at: Time,
    /// Whether this VM forwards or forwarded it.
    is_own: bool,
}

impl StreamOrigins {
    /// Records the origin of a stream that this VM forwards.
    pub fn record(&mut self, now: Time, stream: StreamId, origin: &StreamOrigin) {
        self.insert(now, stream, origin, true);
    }

    fn insert(&mut self, now: Time, stream: StreamId, origin: &StreamOrigin, is_own: bool) {
        let record = Record {
            origin: origin.clone(),
            at: now,
            is_own,
        };
        self.origins.insert(stream, record);
        self.order.push_back((stream, now));
        self.expire(now);
    }

    /// The latest streams that this VM forwards of services that have had several versions only since
    /// the last call. They began before, so the keepers have to be told of them. `vms` is the number
    /// of VMs that are alive.
    pub fn take_retold(&mut self, vms: usize) -> Vec<(StreamId, StreamOrigin)> {
        let Self {
            versions, retold, ..
        } = self;
        retold.retain(|service| versions.has_several(service));
        let is_news = |origin: &StreamOrigin| {
            versions.has_several(&origin.service) && !retold.contains(&origin.service)
        };
        let latest = self.order.iter().rev().filter_map(|(stream, at)| {
            let record = self.origins.get(stream)?;
            let is_told = record.is_own && record.at == *at && is_news(&record.origin);
            is_told.then(|| (*stream, record.origin.clone()))
        });
        let mut streams: Vec<_> = latest.take(MAX_RETOLD.div_ceil(vms.max(1))).collect();
        streams.reverse();
        let several = self.versions.services_with_several();
        self.retold.extend(several.cloned());
        streams
    }

    /// Whether VMs keep the streams of a service in their entries.
    pub fn keeps(&self, service: &ServiceName) -> bool {
        self.versions.has_several(service)
    }

    /// Whether VMs keep the streams of any service in their entries.
    pub fn keeps_any(&self) -> bool {
        self.versions.services_with_several().next().is_some()
    }

    /// Remembers a stream for this VM's entry; returns whether the entry lacks it.
    pub fn remember(&mut self, now: Time, stream: StreamId, origin: &StreamOrigin) -> bool {
        self.remembered.add(now, stream, origin);
        self.keeps(&origin.service)
    }

    /// When this VM's entry has to be written because it lacks streams; none if it lacks none.
    pub fn streams_due(&self) -> Option<Time> {
        self.remembered.write_due(|service| self.keeps(service))
    }

    /// The streams for a write of this VM's entry in the platform.
    pub fn write_streams(&mut self, now: Time) -> Vec<KeptStreams> {
        let keeps = |service: &ServiceName| self.versions.has_several(service);
        self.remembered.write(now, keeps)
    }

    /// Records origins that another VM has told.
    pub fn merge(&mut self, now: Time, origins: &[(StreamOrigin, Vec<StreamId>)]) {
        for (origin, streams) in origins {
            for stream in streams {
                let known = self.origins.get(stream);
                let is_own = known.is_some_and(|record| record.is_own);
                self.insert(now, *stream, origin, is_own);
            }
        }
    }

    /// Origin of a stream.
    pub fn get(&self, now: Time, stream: StreamId) -> Option<&StreamOrigin> {
        let record = self.origins.get(&stream)?;
        (now.since(record.at) < RECORD_TTL).then_some(&record.origin)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn expire(&mut self, now: Time) {
        while let Some((stream, at)) = self.order.front().copied() {
            let is_old = now.since(at) >= RECORD_TTL;
            if !is_old && self.order.len() <= MAX_RECORDS {
                return;
            }
            self.order.pop_front();
            // The stream may have been recorded again.
            if self
                .origins
                .get(&stream)
                .is_some_and(|record| record.at == at)
            {
                self.origins.remove(&stream);
            }
        }
    }

    /// Notes which versions serve now; returns whether [`Self::kept_versions`] has changed.
    pub fn note_versions(&mut self, now: Time, endpoints: &EndpointTable) -> bool {
        let is_changed = self.versions.note(now, endpoints);
        self.expire(now);
        is_changed
    }

    /// Records versions that endpoints have now or had since the last view.
    pub fn add_versions(&mut self, now: Time, seen: impl Iterator<Item = ServiceVersion>) {
        self.versions.add_seen(now, seen);
    }

    /// Whether a version of a service was seen lately.
    pub fn knows_version(&self, version: &ServiceVersion) -> bool {
        self.versions.knows(version)
    }

    /// Records a listing as of a revision, which doesn't show what was between it and the last view.
    pub fn record_gap(&mut self, now: Time, revision: Revision) {
        self.versions.begin(now, revision);
    }

    /// Whether the entries of VMs may tell which versions this VM has missed.
    pub const fn has_open_gap(&self) -> bool {
        self.versions.has_open_gap()
    }

    /// Takes in what VMs kept in their entries, for which the platform was asked at `sent`.
    pub fn read_entries(&mut self, now: Time, sent: Time, unix_ms: u64, vms: &[VmEntry]) {
        self.restore_streams(now, vms);
        self.versions.read_entries(now, sent, unix_ms, vms);
    }

    /// The history of versions for another VM whose request arrived at `arrived`.
    pub fn sent_history(
        &mut self,
        arrived: Time,
        endpoints: &EndpointTable,
    ) -> Option<SentHistory> {
        self.versions.sent(arrived, endpoints)
    }

    /// Takes in the history of another VM together with its view up to `end`, in reply to a request that was
    /// sent at `sent`. The view of this VM was complete up to `own_end` before.
    pub fn merge_history(
        &mut self,
        now: Time,
        sent: Time,
        told: &SentHistory,
        end: &ViewEnd,
        own_end: &ViewEnd,
    ) {
        self.versions.merge(now, sent, told, end, own_end);
    }

    /// The versions for this VM's entry in the platform, all of a service or none.
    pub fn kept_versions(&self, now: Time, unix_ms: u64) -> Vec<KeptVersion> {
        self.versions.kept(now, unix_ms)
    }

    /// Takes in the versions and the streams that VMs kept in their entries, at the start of this
    /// process of the VM `local_vm` at `unix_ms`.
    ///
    /// A version that had endpoints when its entry was written counts as seen until now.
    pub fn restore(&mut self, now: Time, unix_ms: u64, local_vm: &VmName, vms: &[VmEntry]) {
        self.restore_streams(now, vms);
        let own = vms.iter().filter(|vm| vm.name == *local_vm);
        for kept in own.flat_map(|vm| &vm.streams) {
            for stream in &kept.streams {
                self.remembered.add(now, *stream, &kept.origin);
            }
        }
        self.versions.restore(now, unix_ms, vms);
    }

    /// Takes in the streams that VMs kept in their entries, some of which may have ended since.
    pub fn restore_streams(&mut self, now: Time, vms: &[VmEntry]) {
        for kept in vms.iter().flat_map(|vm| &vm.streams) {
            for stream in &kept.streams {
                self.restore_stream(now, *stream, &kept.origin);
            }
        }
    }

    /// Records the origin of a stream from an entry. One that differs from what is known leaves the
    /// version unknown.
    fn restore_stream(&mut self, now: Time, stream: StreamId, origin: &StreamOrigin) {
        match self.get(now, stream) {
            Some(known) if known == origin => {}
            Some(_) => {
                let unknown = StreamOrigin {
                    service: origin.service.clone(),
                    software: SoftwareVersion::default(),
                };
                self.insert(now, stream, &unknown, false);
            }
            None => self.insert(now, stream, origin, false),
        }
    }

    /// The versions that a service has had for longer than a stream lasts; none if some can have been
    /// missed. An unknown version is among them as an unknown one.
    pub fn history(
        &self,
        now: Time,
        started: Time,
        service: &ServiceName,
    ) -> Option<Vec<SoftwareVersion>> {
        self.versions.whole(now, started, service)
    }
}

/// The VMs among `others` that are told of the origin of a stream.
pub fn copy_holders(stream: StreamId, others: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
    nearest(stream, others, COPY_COUNT)
}

/// The VMs that are asked for the origin of a stream, of the others that are alive and those that are
/// `known`. One that has not been heard of may have started a moment ago, and holds what the others
/// kept; this VM may itself have heard of few yet.
pub fn asked_vms(stream: StreamId, alive: &[Ipv4Addr], known: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
    if known.len() < SMALL_CLUSTER {
        return known.to_vec();
    }
    let mut asked = nearest(stream, alive, ASKED_COUNT);
    asked.extend(nearest(stream, known, COPY_COUNT));
    asked.extend(stream_keepers(alive));
    asked.sort_unstable();
    asked.dedup();
    asked
}

fn nearest(StreamId(stream): StreamId, others: &[Ipv4Addr], count: usize) -> Vec<Ipv4Addr> {
    let mut others = others.to_vec();
    let weight = |ip: &Ipv4Addr| hash_pair(u64::from(ip.to_bits()), stream);
    others.sort_unstable_by_key(|ip| core::cmp::Reverse(weight(ip)));
    others.truncate(count);
    others
}
