//! Distribution of the configuration and the endpoints to the VMs.
//!
//! The platform counts every call, so only one VM of each data centre reads it for the others.
//! The other VMs form a tree below this reader, by their rank in an order that is the same on all
//! VMs, so that no VM has to send a list of thousands of endpoints a hundred times. Each VM
//! requests changes from its parent in the tree.
//!
//! A reply contains the changes and the time at which the view was confirmed, as an offset from the
//! arrival of the request. Clocks are never compared, and a delayed request makes the confirmation
//! older, never newer. A VM whose view becomes stale asks other VMs and reads the platform itself.

use crate::{
    config::Config,
    entry::{EndpointEntry, Removal},
    membership::Membership,
    outage::ServedAges,
    packed::Packed,
    revision::Revision,
    startup::PeerState,
    version_history::SentHistory,
};
use bytes::Bytes;
use core::{net::Ipv4Addr, time::Duration};
use poplarswitch_entity::Time;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Maximum time for which a reply is delayed until there is a change.
pub const FEED_WAIT: Duration = Duration::from_millis(800);
/// Time limit for the beginning of a reply, in addition to [`FEED_WAIT`].
pub const REPLY_MARGIN: Duration = Duration::from_millis(300);
/// Time without any part of a reply that has begun after which it is given up. A slow link may take
/// longer for the whole reply.
pub const BODY_SILENCE_LIMIT: Duration = Duration::from_secs(1);

/// Age of the last confirmation above which a view is stale.
const MAX_VIEW_AGE: Duration = Duration::from_millis(2_400);
/// Additional delay per rank before a VM with a stale view reads the platform, so that not all VMs
/// read it at once.
const READ_STAGGER: Duration = Duration::from_millis(120);
/// Maximum of the additional delay before a VM with a stale view reads the platform.
const MAX_READ_STAGGER: Duration = Duration::from_millis(700);
/// Number of VMs of a data centre that read the platform as soon as they start; more than one,
/// because one may be dead.
const INITIAL_READERS: usize = 2;
/// Time after the start in which a VM of a higher rank waits for heartbeats before it reads the
/// platform.
const STARTUP_WAIT: Duration = Duration::from_millis(350);
/// Time after the start in which the first VM also asks another one, which may have a newer
/// configuration than the platform if that has come back from a copy.
const STARTUP_ASK_TIME: Duration = Duration::from_secs(3);
/// Increase of the maximum backoff per rank; it is also the maximum backoff of the first VM, which
/// must notice the platform's return within its bounds.
const BACKOFF_PER_RANK: Duration = Duration::from_millis(700);
/// Upper limit of the maximum backoff at any rank.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Maximum number of VMs that request changes from the same VM: all of a small data centre, and a
/// tree of few levels in a large one.
const TREE_FANOUT: usize = 8;
/// Time for which a peer that failed is not asked.
const FAILED_PEER_TIME: Duration = Duration::from_millis(1_500);

/// Versions of the configuration and the endpoints that a VM has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Version of the configuration.
    pub version: u64,
    /// Platform revision of the view of the endpoints.
    #[serde(flatten)]
    pub revision: Revision,
}

/// Request to another VM for changes of the configuration and the endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRequest {
    /// Versions that the requesting VM has.
    pub cursor: Cursor,
    /// Maximum time to wait for a change before replying, in milliseconds.
    #[serde(rename = "wait")]
    pub wait_ms: u32,
    /// Whether the requesting VM knows eras; VMs of an earlier version don't send it.
    #[serde(default)]
    pub has_eras: bool,
    /// Whether the requesting VM reads packed values; VMs of an earlier version don't send it.
    #[serde(default)]
    pub unpacks: bool,
}

impl FeedRequest {
    /// Versions that the requesting VM has; a revision without an era is taken as one of `era`.
    pub const fn cursor_in(&self, era: u64) -> Cursor {
        let Cursor { version, revision } = self.cursor;
        Cursor {
            version,
            revision: if self.has_eras {
                revision
            } else {
                revision.in_era(era)
            },
        }
    }
}

/// Reply to a [`FeedRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedReply {
    /// Versions that the replying VM has.
    pub cursor: Cursor,
    /// When the configuration was last confirmed to be the newest, in microseconds relative to the
    /// arrival of the request (negative if earlier); none if it never was.
    #[serde(rename = "proof")]
    pub config_confirmed: Option<i64>,
    /// When the view of the endpoints was last confirmed, in microseconds relative to the arrival
    /// of the request; none if it never was.
    #[serde(rename = "endpoints_proof")]
    pub endpoints_confirmed: Option<i64>,
    /// Whether the replying VM reads the platform and its last call to it failed.
    #[serde(rename = "troubled")]
    pub platform_failed: bool,
    /// The configuration for a VM of an earlier version, if it is newer than that of this VM.
    #[serde(rename = "declared")]
    pub config: Option<Config>,
    /// The configuration, if it is newer than that of the requesting VM.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub packed_config: Option<Packed>,
    /// All entries in encoded form for a VM of an earlier version, if the changes are not known.
    #[serde(rename = "whole")]
    pub snapshot: Option<Bytes>,
    /// All entries, if the changes are not known; they are encoded once for all requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub packed_snapshot: Option<Packed>,
    /// New or changed entries, if there is no snapshot.
    pub entries: Vec<EndpointEntry>,
    /// Removed or lapsed entries.
    pub removed: Vec<Removal>,
    /// Whether the replying VM knows eras; VMs of an earlier version don't send it.
    #[serde(default)]
    pub has_eras: bool,
    /// Whether the replying VM has ended its check at the start; VMs of an earlier version don't send
    /// it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub is_checked: Option<bool>,
    /// When the platform has served VMs, as of the reply; VMs of an earlier version don't send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub served: Option<ServedAges>,
    /// The versions of endpoints that the replying VM has seen; VMs of an earlier version don't send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub history: Option<SentHistory>,
}

impl FeedReply {
    /// State of the replying VM for one that starts.
    pub fn peer_state(&self) -> PeerState {
        if self.cursor.version > 0 && self.is_checked.unwrap_or(true) {
            PeerState::Serving
        } else {
            PeerState::Starting
        }
    }

    /// Takes revisions that have no eras, including those of a decoded snapshot, as revisions of
    /// `era`.
    pub fn set_missing_eras(&mut self, snapshot: &mut [EndpointEntry], era: u64) {
        if self.has_eras {
            return;
        }
        let entries = self.entries.iter_mut().chain(snapshot);
        let revisions = entries
            .map(|entry| &mut entry.revision)
            .chain(self.removed.iter_mut().map(|removal| &mut removal.revision))
            .chain([&mut self.cursor.revision]);
        revisions.for_each(|revision| revision.era = era);
    }
}

/// Source of configuration and endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform.
    Platform,
    /// Another VM.
    Peer(Ipv4Addr),
}

/// Selects the source from which a VM gets the configuration and the endpoints.
#[derive(Clone, Debug)]
pub struct SourceSelector {
    started: Time,
    /// The list of VMs has been read from the platform.
    listed: bool,
    failed_until: HashMap<Ipv4Addr, Time>,
}

impl SourceSelector {
    /// Creates the selector of a process that started at `started`.
    pub fn new(started: Time) -> Self {
        Self {
            started,
            listed: false,
            failed_until: HashMap::new(),
        }
    }

    /// The maximum backoff between failed reads of the platform. It grows with the rank in `order`,
    /// because the first VM whose read succeeds informs the others.
    pub fn max_backoff(local_ip: Ipv4Addr, order: &[Ipv4Addr]) -> Duration {
        let rank = order.iter().position(|ip| *ip == local_ip).unwrap_or(0);
        (BACKOFF_PER_RANK * (rank as u32 + 1)).min(MAX_BACKOFF)
    }

    /// Whether a view of this age is stale; without an age, the time since the start counts.
    pub fn is_stale(&self, now: Time, age: Option<Duration>) -> bool {
        age.unwrap_or_else(|| now.since(self.started)) > MAX_VIEW_AGE
    }

    /// Records that the list of VMs has been read from the platform; it doesn't show which of them
    /// are alive.
    pub const fn mark_listed(&mut self) {
        self.listed = true;
    }

    /// Whether the list of VMs has been read from the platform.
    pub const fn is_listed(&self) -> bool {
        self.listed
    }

    /// VMs of the data centre that may be the source of changes, in an order that is the same on all of
    /// them; `age` is that of the VM's view.
    pub fn order(&self, now: Time, vms: &Membership, age: Option<Duration>) -> Vec<Ipv4Addr> {
        if age.is_some() {
            vms.local_vms(now)
        } else {
            vms.listed_local_vms(now)
        }
    }

    /// Whether a VM with a view of this `age` reads the platform itself; see [`Self::should_read`].
    pub fn reads_platform(&self, now: Time, vms: &Membership, age: Option<Duration>) -> bool {
        self.should_read(now, vms.local_ip(), &self.order(now, vms, age), age)
    }

    /// The VM that a VM with a view of this `age` asks for changes; see [`Self::upstream_peer`].
    pub fn next_peer(
        &self,
        now: Time,
        vms: &Membership,
        age: Option<Duration>,
    ) -> Option<Ipv4Addr> {
        let local_ip = vms.local_ip();
        let mut others: Vec<Ipv4Addr> = vms.alive(now).map(|member| member.ip).collect();
        if others.is_empty() {
            // This VM may have just started, and has heard of nobody yet.
            others = vms.listed_local_vms(now);
        }
        // The order differs between VMs, so that VMs with stale views don't all ask the same VM.
        others.sort_unstable_by_key(|ip| ip.to_bits() ^ local_ip.to_bits().rotate_left(7));
        self.upstream_peer(now, local_ip, &self.order(now, vms, age), &others, age)
    }

    /// Whether this VM reads the platform itself. It does if it is the first VM of `order` that
    /// isn't known to fail, or if its view of this `age` has become stale. During the start it
    /// reads at once if it is among the first of the listed VMs.
    pub fn should_read(
        &self,
        now: Time,
        local_ip: Ipv4Addr,
        order: &[Ipv4Addr],
        age: Option<Duration>,
    ) -> bool {
        let rank = order.iter().position(|ip| *ip == local_ip).unwrap_or(0);
        if age.is_none() && now.since(self.started) < STARTUP_WAIT {
            return self.listed && rank < INITIAL_READERS;
        }
        let age = age.unwrap_or_else(|| now.since(self.started));
        let first = order
            .iter()
            .find(|ip| **ip == local_ip || !self.has_failed(now, **ip));
        let stagger = (READ_STAGGER * rank as u32).min(MAX_READ_STAGGER);
        first == Some(&local_ip) || age > MAX_VIEW_AGE + stagger
    }

    /// The VM to ask for changes: the parent in the tree, or its nearest ancestor that hasn't
    /// failed, or else any earlier VM of `order`. With a stale view, the first VM of `order` and
    /// `others` that hasn't failed. If this VM is the first of `order` and its view is fresh, any of
    /// `others` while it has just started, then none.
    pub fn upstream_peer(
        &self,
        now: Time,
        local_ip: Ipv4Addr,
        order: &[Ipv4Addr],
        others: &[Ipv4Addr],
        age: Option<Duration>,
    ) -> Option<Ipv4Addr> {
        let stale = self.is_stale(now, age);
        let usable = |ip: &&Ipv4Addr| **ip != local_ip && !self.has_failed(now, **ip);
        if stale {
            return order.iter().chain(others).find(usable).copied();
        }
        let rank = order.iter().position(|ip| *ip == local_ip)?;
        if rank == 0 && now.since(self.started) < STARTUP_ASK_TIME {
            return others.iter().find(usable).copied();
        }
        let mut parent = rank;
        while parent > 0 {
            parent = (parent - 1) / TREE_FANOUT;
            if !self.has_failed(now, order[parent]) {
                return Some(order[parent]);
            }
        }
        order[..rank].iter().find(usable).copied()
    }

    /// Records that a peer failed or has a stale view itself.
    pub fn mark_failed(&mut self, now: Time, ip: Ipv4Addr) {
        self.failed_until.retain(|_, until| *until > now);
        self.failed_until.insert(ip, now + FAILED_PEER_TIME);
    }

    fn has_failed(&self, now: Time, ip: Ipv4Addr) -> bool {
        self.failed_until.get(&ip).is_some_and(|until| *until > now)
    }
}
