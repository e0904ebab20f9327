//! The software version to which each stream belongs.
//!
//! A stream may go on only at endpoints of the version that began it. The VM that forwards the first
//! event of a stream records its origin, and tells two other VMs, which rendezvous hashing selects by
//! the caller's attempt. A VM that is asked to continue a stream looks among its own records, then asks
//! other VMs. Records are kept for longer than callers wait, and their number is limited.
//!
//! Without a record, the stream is known to be of the only version that its service has had for as
//! long; otherwise it goes on nowhere.

use crate::{
    endpoints::EndpointTable,
    entry::SoftwareVersion,
    hash::{hash_pair, hash_text},
};
use core::{net::Ipv4Addr, time::Duration};
use poplarswitch_entity::{ServiceName, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Time for which the origin of a stream is kept after its last event that began an answer.
const RECORD_TTL: Duration = Duration::from_mins(1);
/// Maximum number of origins that are kept; the oldest are dropped first.
const MAX_RECORDS: usize = 50_000;
/// Time for which a service must have had one version for a stream without a record to be of it.
const HISTORY_TIME: Duration = Duration::from_secs(30);
/// Number of other VMs that are told of an origin.
const COPY_COUNT: usize = 2;
/// Number of VMs up to which all of them are asked for an origin.
const SMALL_CLUSTER: usize = 12;
/// Number of VMs that are asked in larger clusters; one of them may have started after the record.
const ASKED_COUNT: usize = COPY_COUNT + 2;

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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceName,
    /// The version of the software that began the stream.
    pub software: SoftwareVersion,
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
        /// The versions that the service has had for longer than a stream lasts, if the VM has run
        /// for as long.
        versions: Option<Vec<SoftwareVersion>>,
    },
}

/// Versions at which a stream may go on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionPin {
    /// Any: the caller has received nothing yet.
    #[default]
    Any,
    /// Only this version.
    Only(SoftwareVersion),
    /// None: the version that began the stream is unknown.
    Nowhere,
}

impl VersionPin {
    /// Whether the stream has begun.
    pub const fn is_begun(&self) -> bool {
        !matches!(self, Self::Any)
    }

    /// The version that endpoints must have, if the stream has begun.
    pub const fn required(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Only(software) => Some(software),
            Self::Any | Self::Nowhere => None,
        }
    }
}

/// Origins of streams that are known to this VM.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    origins: HashMap<StreamId, (StreamOrigin, Time)>,
    /// Streams in the order of their records, with the time of each record.
    order: VecDeque<(StreamId, Time)>,
    /// Versions of each service that were seen lately.
    versions: BTreeMap<ServiceName, Vec<SeenVersion>>,
    /// Change count of the endpoints when their versions were last read.
    change_count: Option<u64>,
}

/// A version that endpoints of a service have or had.
#[derive(Clone, Debug)]
struct SeenVersion {
    software: Option<SoftwareVersion>,
    /// When it was last seen.
    last: Time,
    /// Whether an endpoint has it now.
    serves: bool,
}

impl StreamOrigins {
    /// Records the origin of a stream.
    pub fn record(&mut self, now: Time, stream: StreamId, origin: &StreamOrigin) {
        self.origins.insert(stream, (origin.clone(), now));
        self.order.push_back((stream, now));
        self.expire(now);
    }

    /// Records origins that another VM has told.
    pub fn merge(&mut self, now: Time, origins: &[(StreamOrigin, Vec<StreamId>)]) {
        for (origin, streams) in origins {
            for stream in streams {
                self.record(now, *stream, origin);
            }
        }
    }

    /// Origin of a stream.
    pub fn get(&self, now: Time, stream: StreamId) -> Option<&StreamOrigin> {
        let (origin, at) = self.origins.get(&stream)?;
        (now.since(*at) < RECORD_TTL).then_some(origin)
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
                .is_some_and(|(_, last)| *last == at)
            {
                self.origins.remove(&stream);
            }
        }
    }

    /// Notes which versions serve now.
    pub fn note_versions(&mut self, now: Time, endpoints: &EndpointTable) {
        if self.change_count != Some(endpoints.change_count()) {
            self.change_count = Some(endpoints.change_count());
            self.read_versions(endpoints);
        }
        for versions in self.versions.values_mut() {
            for version in versions.iter_mut().filter(|version| version.serves) {
                version.last = now;
            }
            versions.retain(|version| now.since(version.last) < HISTORY_TIME);
        }
        self.versions.retain(|_, versions| !versions.is_empty());
        self.expire(now);
    }

    fn read_versions(&mut self, endpoints: &EndpointTable) {
        for version in self.versions.values_mut().flatten() {
            version.serves = false;
        }
        for (_, endpoint) in endpoints.iter() {
            let entry = &endpoint.entry;
            if !self.versions.contains_key(&entry.service) {
                self.versions.insert(entry.service.clone(), Vec::new());
            }
            let Some(versions) = self.versions.get_mut(&entry.service) else {
                continue;
            };
            let known = versions.iter_mut();
            match known
                .into_iter()
                .find(|known| known.software == entry.software)
            {
                Some(known) => known.serves = true,
                None => versions.push(SeenVersion {
                    software: entry.software.clone(),
                    last: Time::ZERO,
                    serves: true,
                }),
            }
        }
    }

    /// The versions that a service has had for longer than a stream lasts; none if this process
    /// started later than that. An unknown version is among them as an unknown one.
    pub fn history(
        &self,
        now: Time,
        started: Time,
        service: &ServiceName,
    ) -> Option<Vec<SoftwareVersion>> {
        if now.since(started) < HISTORY_TIME {
            return None;
        }
        let versions = self.versions.get(service)?.iter();
        let versions = versions.map(|version| version.software.clone().unwrap_or_default());
        Some(versions.collect())
    }

    /// The only version that a service has had for longer than a stream lasts, if there is one.
    ///
    /// A process that started at `started` hasn't seen what was before. Then either `told`, the
    /// histories of other VMs, or `unix_ms`, the time of day, must show it: all endpoints must be
    /// older than that.
    pub fn only_version(
        &self,
        now: Time,
        started: Time,
        unix_ms: u64,
        service: &ServiceName,
        endpoints: &EndpointTable,
        told: &[Vec<SoftwareVersion>],
    ) -> Option<SoftwareVersion> {
        let [only] = self.versions.get(service)?.as_slice() else {
            return None;
        };
        let only = only.software.as_ref().filter(|only| only.is_known())?;
        let of_service = endpoints.iter().map(|(_, endpoint)| &endpoint.entry);
        let mut of_service = of_service.filter(|entry| entry.service == *service);
        let oldest_ms = unix_ms.saturating_sub(HISTORY_TIME.as_millis() as u64);
        if told.iter().flatten().any(|version| version != only) {
            return None;
        }
        let is_settled = now.since(started) >= HISTORY_TIME || !told.is_empty();
        let all_match = of_service.all(|entry| {
            entry.software.as_ref() == Some(only) && (is_settled || entry.start_ms <= oldest_ms)
        });
        all_match.then(|| only.clone())
    }
}

/// The VMs among `others` that are told of the origin of a stream.
pub fn copy_holders(stream: StreamId, others: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
    nearest(stream, others, COPY_COUNT)
}

/// The VMs among `others` that are asked for the origin of a stream.
pub fn asked_vms(stream: StreamId, others: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
    if others.len() < SMALL_CLUSTER {
        return others.to_vec();
    }
    nearest(stream, others, ASKED_COUNT)
}

fn nearest(StreamId(stream): StreamId, others: &[Ipv4Addr], count: usize) -> Vec<Ipv4Addr> {
    let mut others = others.to_vec();
    let weight = |ip: &Ipv4Addr| hash_pair(u64::from(ip.to_bits()), stream);
    others.sort_unstable_by_key(|ip| core::cmp::Reverse(weight(ip)));
    others.truncate(count);
    others
}
