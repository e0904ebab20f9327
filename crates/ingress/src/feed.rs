//! How configuration and endpoints reach a VM.
//!
//! The platform counts every call, so one VM of each data centre reads it for the others. These
//! form a tree below it, by their places in an order that all share, so that a list of thousands of
//! endpoints needn't leave one VM a hundred times. Each asks the VM above it. An answer carries the
//! change and how fresh the view is, as an offset from the moment at which the question arrived, so
//! no clock is compared and a question that was delayed makes the answer older, never newer. A VM
//! whose view grows old asks others, and reads the platform itself.

use crate::{
    config::Config,
    entry::{EndpointEntry, Removal},
};
use bytes::Bytes;
use core::{net::Ipv4Addr, time::Duration};
use poplarswitch_entity::Time;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Age of the proof at which a VM no longer relies on its neighbour.
const OLD: Duration = Duration::from_millis(2_400);
/// By how much each later neighbour waits longer, so that not all read the platform at once.
const STAGGER: Duration = Duration::from_millis(120);
/// Longest of these waits.
const MOST_STAGGER: Duration = Duration::from_millis(700);
/// VMs of a data centre that read the platform as soon as they start: one of them may be dead.
const FIRST_READERS: usize = 2;
/// Time after the start in which other VMs' beats are awaited before any other VM reads.
const SETTLE: Duration = Duration::from_millis(350);
/// Longest wait between failed reads of the first neighbour: the platform's return must be
/// noticed within its bounds.
const FIRST_WAIT: Duration = Duration::from_millis(700);
/// The same of any other.
const LAST_WAIT: Duration = Duration::from_secs(8);
/// VMs that ask one VM for news: all of a small data centre, and a tree of few levels in a large one.
const BRANCHES: usize = 8;
/// Time for which a neighbour that failed is not asked.
const AVOIDED: Duration = Duration::from_millis(1_500);

/// What a VM knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Version of its configuration.
    pub version: u64,
    /// The platform's revision that its view of the endpoints is of.
    pub revision: u64,
}

/// A question to a neighbour.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRequest {
    /// What the asker knows.
    pub cursor: Cursor,
    /// How long the answer may wait for a change, in milliseconds.
    #[serde(rename = "wait")]
    pub wait_ms: u32,
}

/// The answer to a question.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedReply {
    /// What the answerer knows.
    pub cursor: Cursor,
    /// The moment of the proof, in microseconds after the question arrived; negative if before.
    /// Nothing if the answerer has no proof.
    #[serde(rename = "proof")]
    pub config_confirmed: Option<i64>,
    /// The same for the view of the endpoints.
    #[serde(rename = "endpoints_proof")]
    pub endpoints_confirmed: Option<i64>,
    /// The answerer reads the platform, and its last call failed.
    #[serde(rename = "troubled")]
    pub platform_failed: bool,
    /// The configuration, if it is newer than the asker's.
    #[serde(rename = "declared")]
    pub config: Option<Config>,
    /// All endpoints, as a list of entries that is encoded once for all who ask.
    #[serde(rename = "whole")]
    pub snapshot: Option<Bytes>,
    /// Endpoints that are new or changed, if not all are told.
    pub entries: Vec<EndpointEntry>,
    /// Endpoints that are gone, or may be.
    pub removed: Vec<Removal>,
}

/// Where to get news from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From the platform.
    Platform,
    /// From another VM.
    Peer(Ipv4Addr),
}

/// Decides where a VM gets its news from.
#[derive(Clone, Debug)]
pub struct SourceSelector {
    started: Time,
    /// The platform's list of VMs has been read.
    listed: bool,
    failed_until: HashMap<Ipv4Addr, Time>,
}

impl SourceSelector {
    /// For a process that starts.
    pub fn new(started: Time) -> Self {
        Self {
            started,
            listed: false,
            failed_until: HashMap::new(),
        }
    }

    /// The longest wait between reads that fail: the later in the order, the longer, since the
    /// first neighbour that succeeds tells the others.
    pub fn max_backoff(me: Ipv4Addr, order: &[Ipv4Addr]) -> Duration {
        let rank = order.iter().position(|ip| *ip == me).unwrap_or(0);
        (FIRST_WAIT * (rank as u32 + 1)).min(LAST_WAIT)
    }

    /// Whether a view of some age is too old to rely on; one that never was is as old as the
    /// process.
    pub fn is_stale(&self, now: Time, age: Option<Duration>) -> bool {
        age.unwrap_or_else(|| now.since(self.started)) > OLD
    }

    /// The platform has told which VMs there are, though not which of them live.
    pub const fn mark_listed(&mut self) {
        self.listed = true;
    }

    /// Whether this VM reads the platform itself: it is the first of the neighbours in their
    /// shared order that isn't known to fail, or its view has grown old all the same. While it
    /// starts, it reads at once if it is among the first of those that are listed.
    pub fn should_read(
        &self,
        now: Time,
        me: Ipv4Addr,
        order: &[Ipv4Addr],
        age: Option<Duration>,
    ) -> bool {
        let rank = order.iter().position(|ip| *ip == me).unwrap_or(0);
        if age.is_none() && now.since(self.started) < SETTLE {
            return self.listed && rank < FIRST_READERS;
        }
        let age = age.unwrap_or_else(|| now.since(self.started));
        let first = order
            .iter()
            .find(|ip| **ip == me || !self.has_failed(now, **ip));
        let stagger = (STAGGER * rank as u32).min(MOST_STAGGER);
        first == Some(&me) || age > OLD + stagger
    }

    /// The VM to ask: the one above this VM in the tree, or above that if it failed, or any other
    /// that comes before this VM. If this VM's view is old, any that didn't fail. Nobody if this VM
    /// is the first and its view is fresh.
    pub fn upstream_peer(
        &self,
        now: Time,
        me: Ipv4Addr,
        order: &[Ipv4Addr],
        others: &[Ipv4Addr],
        age: Option<Duration>,
    ) -> Option<Ipv4Addr> {
        let old = self.is_stale(now, age);
        let willing = |ip: &&Ipv4Addr| **ip != me && !self.has_failed(now, **ip);
        if old {
            return order.iter().chain(others).find(willing).copied();
        }
        let rank = order.iter().position(|ip| *ip == me)?;
        let mut above = rank;
        while above > 0 {
            above = (above - 1) / BRANCHES;
            if !self.has_failed(now, order[above]) {
                return Some(order[above]);
            }
        }
        order[..rank].iter().find(willing).copied()
    }

    /// Notes that a neighbour failed, or that its view is old too.
    pub fn mark_failed(&mut self, now: Time, ip: Ipv4Addr) {
        self.failed_until.retain(|_, until| *until > now);
        self.failed_until.insert(ip, now + AVOIDED);
    }

    fn has_failed(&self, now: Time, ip: Ipv4Addr) -> bool {
        self.failed_until.get(&ip).is_some_and(|until| *until > now)
    }
}
