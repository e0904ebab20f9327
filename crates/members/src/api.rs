//! Members, messages between VMs, and the inputs and outputs of [`Core`](crate::Core).

use bon::Builder;
use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::{CellName, DataCentre, Incarnation, VmName};
use poplarswitch_store::VmRecord;
use serde::{Deserialize, Serialize};

/// Identity of one incarnation of a VM; exchanged when a link opens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
pub struct Identity {
    /// Name of the VM; a replacement has the same name.
    #[builder(into)]
    pub vm: VmName,
    /// Identifier of this process lifetime of the VM.
    pub incarnation: Incarnation,
    /// Start time in milliseconds since the Unix epoch; orders the incarnations of one VM name.
    pub started: u64,
    /// Data centre of the VM.
    #[builder(into)]
    pub data_centre: DataCentre,
    /// Cell of the VM; the VMs of a cell share schedulers.
    #[builder(into)]
    pub cell: CellName,
    /// Address of the VM's port for peers.
    pub address: SocketAddr,
    /// Address of the VM's port for callers.
    pub caller_address: SocketAddr,
}

/// Load that a VM reports while it has no set.
pub const JOINING_LOAD: u16 = u16::MAX;

/// State of a member as this VM knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The member sends heartbeats, but has no set yet and accepts no calls.
    Joining,
    /// Some VM receives the member's heartbeats, and the member accepts calls.
    Alive,
    /// No VM has received a heartbeat of the member for some time.
    Suspect,
    /// The member finishes its calls and accepts no new ones.
    Leaving,
    /// The member is considered dead, or a later incarnation has replaced it.
    Gone,
}

/// A member as this VM knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the member.
    pub identity: Identity,
    /// State of the member.
    pub state: State,
    /// Load in thousandths of the member's capacity, or [`JOINING_LOAD`].
    pub load: u16,
    /// Whether this VM has an open link to the member.
    pub linked: bool,
}

/// Finding of the failure detector about a member; a greater mark is worse.
///
/// It is made by the VMs of the member's cell, or by others if the whole cell is silent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureMark {
    /// The member is not suspected.
    #[default]
    Fine,
    /// The member has been silent since the heartbeat that the mark is sent with.
    Suspect,
    /// The member has been silent for so long that it is considered dead.
    Gone,
}

/// The newest heartbeat of a member that a VM knows of, and its content; a tuple on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "SeenTuple", into = "SeenTuple")]
pub struct SeenHeartbeat {
    /// The member that sent the heartbeat.
    pub incarnation: Incarnation,
    /// Number of the heartbeat.
    pub seq: u64,
    /// Time since the heartbeat was received, in milliseconds, as the sender of this entry knows.
    pub age_ms: u32,
    /// Finding of the failure detector about the member.
    pub mark: FailureMark,
    /// Whether the member is leaving.
    pub leaving: bool,
    /// Load of the member in thousandths, or [`JOINING_LOAD`].
    pub load: u16,
}

type SeenTuple = (Incarnation, u64, u32, u8, u16);

const LEAVING_BIT: u8 = 4;

impl From<SeenHeartbeat> for SeenTuple {
    fn from(seen: SeenHeartbeat) -> Self {
        let leaving = if seen.leaving { LEAVING_BIT } else { 0 };
        let flags = seen.mark as u8 | leaving;
        (seen.incarnation, seen.seq, seen.age_ms, flags, seen.load)
    }
}

impl From<SeenTuple> for SeenHeartbeat {
    fn from((incarnation, seq, age_ms, flags, load): SeenTuple) -> Self {
        let mark = match flags & 3 {
            0 => FailureMark::Fine,
            1 => FailureMark::Suspect,
            _ => FailureMark::Gone,
        };
        let leaving = flags & LEAVING_BIT != 0;
        Self {
            incarnation,
            seq,
            age_ms,
            mark,
            leaving,
            load,
        }
    }
}

/// A message between the [`Core`](crate::Core)s of two VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MembersMessage {
    /// A new heartbeat of the sender.
    Heartbeat(SeenHeartbeat),
    /// Newest heartbeats that the sender knows of, of itself and of other members.
    Digest(Vec<SeenHeartbeat>),
    /// Request for the newest heartbeats that the receiver knows of these members.
    #[serde(rename = "doubt")]
    DigestRequest(Vec<Incarnation>),
    /// Request for the identities of these members.
    #[serde(rename = "want")]
    IdentityRequest(Vec<Incarnation>),
    /// Answer to an identity request, with the identities that the sender knows.
    Identities(Vec<Identity>),
}

/// An event for [`Core::handle`](crate::Core::handle).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A message arrived over a link.
    Message {
        /// The sender.
        from: Incarnation,
        /// The message.
        message: MembersMessage,
    },
    /// The first link to a VM opened, dialled by either side.
    Linked(Identity),
    /// The last link to a VM closed.
    Unlinked(Incarnation),
    /// Dialling an address failed.
    DialFailed(SocketAddr),
    /// The platform's list of VMs, which lags behind.
    Listed(Vec<VmRecord>),
    /// Load of this VM in thousandths, or [`JOINING_LOAD`].
    Load(u16),
    /// This VM is leaving.
    Leave,
}

/// An action requested by [`Core`](crate::Core).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message over a link.
    Send {
        /// The receiver.
        to: Incarnation,
        /// The message.
        message: MembersMessage,
    },
    /// Open a link to the VM at this address.
    Dial(SocketAddr),
    /// Close the link to a member that is suspected or gone, or whose link is silent.
    Close(Incarnation),
    /// Read the platform's list of VMs.
    List,
    /// A member was added, or its state changed.
    Changed {
        /// The member.
        incarnation: Incarnation,
        /// The member's new state.
        state: State,
    },
    /// This VM was paused for this time; its view is stale until `Core::is_fresh` returns true.
    Paused(Duration),
}

/// Intervals, timeouts and limits of [`Core`](crate::Core).
#[derive(Clone, Debug, Builder)]
pub struct Settings {
    /// Peer addresses that are dialled while no live member is known there.
    #[builder(default)]
    pub seeds: Vec<SocketAddr>,
    /// Time between two heartbeats to each linked peer.
    #[builder(default = Duration::from_millis(500))]
    pub heartbeat_interval: Duration,
    /// Time between two digests with the newest heartbeat of each cell.
    #[builder(default = Duration::from_secs(2))]
    pub summary_interval: Duration,
    /// Time between two full digests, each sent to one random peer.
    #[builder(default = Duration::from_secs(30))]
    pub sync_interval: Duration,
    /// Silence after which a member of the same cell is suspected if another VM confirms it.
    #[builder(default = Duration::from_secs(2))]
    pub suspect_after: Duration,
    /// Silence after which a link is closed, even if other VMs receive the member's heartbeats.
    #[builder(default = Duration::from_secs(4))]
    pub link_timeout: Duration,
    /// Silence after which a member of the same cell is suspected without a confirmation.
    #[builder(default = Duration::from_secs(5))]
    pub unconfirmed_after: Duration,
    /// Silence of all members of another cell after which its members are suspected.
    #[builder(default = Duration::from_secs(24))]
    pub cell_timeout: Duration,
    /// Silence of a member of the same cell, or of the whole of another cell, after which a member
    /// is considered dead.
    #[builder(default = Duration::from_mins(1))]
    pub gone_after: Duration,
    /// Time after which a dead or replaced member is removed; also the silence after which a member
    /// of another cell is considered dead even if its cell is not silent.
    #[builder(default = Duration::from_mins(10))]
    pub forget_after: Duration,
    /// Time between two inputs or ticks from which this VM is considered to have been paused.
    #[builder(default = Duration::from_millis(1_500))]
    pub pause_threshold: Duration,
    /// Number of links that this VM opens to members of other cells.
    #[builder(default = 3)]
    pub remote_links: usize,
    /// Time between two reads of the platform's list of VMs.
    #[builder(default = Duration::from_mins(1))]
    pub list_interval: Duration,
}
