//! Streams that a VM keeps in its entry in the platform.
//!
//! While a service has several versions, nothing else tells after a loss of all VMs at which one a
//! stream began. Streams last for seconds, so they are written several times a second; the platform
//! limits and counts writes, so two VMs write them for all. The entries are read by each VM that
//! starts, so they name the latest streams only.

use crate::{
    hash::{hash_pair, hash_text},
    streams::{StreamId, StreamOrigin},
};
use core::{net::Ipv4Addr, time::Duration};
use poplarswitch_entity::{ServiceName, Time};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Time for which a stream is kept.
const KEEP_TIME: Duration = Duration::from_mins(1);
/// Maximum number of streams that a VM remembers for its entry.
const MAX_REMEMBERED: usize = 4_000;
/// Maximum number of streams of a service in an entry.
const MAX_KEPT: usize = 2_000;
/// Time between two writes that only add streams.
const WRITE_INTERVAL: Duration = Duration::from_millis(350);
/// Time between two writes that add [`MANY_STREAMS`] or more.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of streams that a loss of all VMs must not leave without a version.
const MANY_STREAMS: usize = 16;
/// Number of VMs that keep streams; more than one, because one may be cut off from the platform.
const KEEPER_COUNT: usize = 2;

/// Streams of one origin in the entry of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptStreams {
    /// The origin.
    pub origin: StreamOrigin,
    /// The streams.
    pub streams: Vec<StreamId>,
}

#[derive(Clone, Debug)]
struct RememberedStream {
    at: Time,
    id: StreamId,
    origin: StreamOrigin,
    is_written: bool,
}

/// The latest streams of all VMs, at a VM that keeps them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RememberedStreams {
    streams: VecDeque<RememberedStream>,
    /// When an entry with streams was last written.
    last_write: Option<Time>,
}

impl RememberedStreams {
    /// Adds a stream, and drops those that are no longer kept.
    pub(crate) fn add(&mut self, now: Time, id: StreamId, origin: &StreamOrigin) {
        self.streams.push_back(RememberedStream {
            at: now,
            id,
            origin: origin.clone(),
            is_written: false,
        });
        let is_old = |stream: &RememberedStream| now.since(stream.at) >= KEEP_TIME;
        while self.streams.len() > MAX_REMEMBERED || self.streams.front().is_some_and(is_old) {
            self.streams.pop_front();
        }
    }

    /// When the entry has to be written because it lacks streams of services that it `keeps`; none if
    /// it lacks none.
    pub(crate) fn write_due(&self, keeps: impl Fn(&ServiceName) -> bool) -> Option<Time> {
        let is_lacking =
            |stream: &&RememberedStream| !stream.is_written && keeps(&stream.origin.service);
        let lacking = self.streams.iter().filter(is_lacking).take(MANY_STREAMS);
        let interval = match lacking.count() {
            0 => return None,
            MANY_STREAMS.. => MIN_WRITE_INTERVAL,
            _ => WRITE_INTERVAL,
        };
        Some(self.last_write.map_or(Time::ZERO, |at| at + interval))
    }

    /// The streams for a write of the entry: the latest ones of each service that it `keeps`. Of several
    /// origins of a stream, the latest counts.
    pub(crate) fn write(
        &mut self,
        now: Time,
        keeps: impl Fn(&ServiceName) -> bool,
    ) -> Vec<KeptStreams> {
        self.streams
            .retain(|stream| now.since(stream.at) < KEEP_TIME);
        let mut counts: BTreeMap<&ServiceName, usize> = BTreeMap::new();
        let mut kept: Vec<KeptStreams> = Vec::new();
        let mut seen = HashSet::new();
        for stream in self.streams.iter_mut().rev() {
            let RememberedStream {
                id,
                origin,
                is_written,
                ..
            } = stream;
            if !keeps(&origin.service) {
                continue;
            }
            *is_written = true;
            if !seen.insert(*id) {
                continue;
            }
            let origin = &*origin;
            let count = counts.entry(&origin.service).or_default();
            *count += 1;
            if *count > MAX_KEPT {
                continue;
            }
            match kept.iter_mut().find(|kept| kept.origin == *origin) {
                Some(kept) => kept.streams.push(*id),
                None => kept.push(KeptStreams {
                    origin: origin.clone(),
                    streams: vec![*id],
                }),
            }
        }
        if !kept.is_empty() {
            self.last_write = Some(now);
        }
        kept
    }
}

/// The VMs among `vms`, all that are alive, which keep the streams of all.
pub fn stream_keepers(vms: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
    let mut keepers = vms.to_vec();
    keepers.sort_unstable_by_key(|ip| hash_pair(hash_text("streams"), u64::from(ip.to_bits())));
    keepers.truncate(KEEPER_COUNT);
    keepers
}
