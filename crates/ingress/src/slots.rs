//! Slots of brittle endpoints, shared by all VMs.
//!
//! A brittle endpoint crashes when it has to reject too many calls, so together the VMs keep no more calls
//! open there than it has slots. For each such endpoint, rendezvous hashing selects one of the VMs that are
//! alive as its owner, which grants slots: a call takes one before it is sent and returns it when it ends.
//! VMs that wait are served in the order of the ranks of their calls, then of their requests.
//!
//! Requests and grants are datagrams that state totals rather than changes, so that lost, repeated and
//! reordered ones do no harm: a [`SlotRequest`] says how many slots its VM holds, with the first grants up to
//! a number, and a [`SlotGrant`] how many slots the VM has been granted so far.
//!
//! While the owner doesn't answer, or has not been the owner for long enough to know who holds slots, each
//! VM keeps the slots that it holds, and after a while uses a fixed share. The shares of all VMs add up to
//! the slots; with more VMs than slots, those with the highest weights have one slot each.

mod lease;
mod pool;
mod table;

pub use lease::SlotDecision;
pub use table::{SlotFleet, SlotOutbox};

use crate::{endpoints::EndpointKey, limits::LimitId};
use core::{net::Ipv4Addr, time::Duration};
use lease::SlotLeases;
use pool::SlotPools;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Maximum number of requests or grants in one datagram.
pub const MAX_SLOT_RECORDS: usize = 10;

/// A datagram between VMs about slots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SlotMessage {
    /// Requests to the owner of endpoints.
    #[serde(rename = "slots")]
    Requests(Vec<SlotRequest>),
    /// Grants of the owner.
    #[serde(rename = "slot_grants")]
    Grants(Vec<SlotGrant>),
}

/// Slots that a VM holds and wants.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Incarnation of the endpoint.
    pub id: u64,
    /// Number that is drawn when a process starts; serials of other processes can't be compared.
    pub epoch: u32,
    /// Number of the request; earlier requests are void.
    pub serial: u32,
    /// Slots that the VM holds.
    pub held: u32,
    /// Number of slots that it had been granted then; those granted later are not among `held`.
    pub seen: u32,
    /// Further slots that it wants.
    pub wanted: u32,
    /// Rank of the most urgent call that wants one, 0 first.
    pub rank: u8,
    /// Whether the VM waits if there is none now.
    pub waits: bool,
    /// Whether the endpoint has just rejected a call of the VM.
    pub rejected: bool,
    /// Rejections in a second that the endpoint bears, as far as the VM knows.
    pub max_rejections: f64,
}

/// Reply to a [`SlotRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Incarnation of the endpoint.
    pub id: u64,
    /// Number of the receiver's last request.
    pub serial: u32,
    /// Number of slots that the receiver has been granted so far.
    pub granted: u32,
    /// Number of slots that other VMs wait for.
    pub queue: u32,
    /// Whether the sender grants slots; an owner that doesn't know yet who holds slots doesn't.
    pub acts: bool,
}

/// The VMs and an endpoint, as far as the sharing of its slots depends on them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SlotShare {
    /// The VM that grants slots; none before the list of VMs has been read.
    pub owner: Option<Ipv4Addr>,
    /// Number of VMs among which the slots are divided without the owner.
    pub vms: usize,
    /// Position of this VM among them in the order of their weights.
    pub position: usize,
    /// Slots of the endpoint.
    pub slots: u32,
    /// Slots that the owner may grant: fewer at a VM that is cut off from most of the others, which may
    /// have an owner of their own.
    pub grantable: u32,
    /// Calls of this VM that are open there.
    pub open_calls: u32,
    /// Rejections in a second that the endpoint bears.
    pub max_rejections: f64,
    /// Time since this process started.
    pub uptime: Duration,
}

impl SlotShare {
    /// Slots that this VM may hold without the owner.
    pub fn fixed(&self) -> u32 {
        let vms = self.vms.max(1) as u32;
        let has_extra = (self.position as u32) < self.slots % vms;
        self.slots / vms + u32::from(has_extra)
    }
}

/// Slots that this VM holds and those that it grants.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slots {
    fleet: SlotFleet,
    /// Places of this VM among those that share the slots of brittle endpoints.
    seats: HashMap<LimitId, table::Seat>,
    /// Keys of the brittle endpoints.
    keys: HashMap<LimitId, EndpointKey>,
    leases: SlotLeases,
    pools: SlotPools,
}

/// Identifier in datagrams.
const fn raw(LimitId(id): LimitId) -> u64 {
    id
}
