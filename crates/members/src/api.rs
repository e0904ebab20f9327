//! Members, messages between VMs, and the core's inputs and outputs.

use bon::Builder;
use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::{CellName, DataCentre, Incarnation, VmName};
use poplarswitch_store::VmRecord;
use serde::{Deserialize, Serialize};

/// Who a VM is during one life of its process; exchanged when a link opens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
pub struct Identity {
    /// The VM's name, kept when it is replaced.
    #[builder(into)]
    pub vm: VmName,
    /// This life of its process.
    pub incarnation: Incarnation,
    /// Wall-clock milliseconds at its start; orders the lives of one name.
    pub started: u64,
    /// Where it stands.
    #[builder(into)]
    pub data_centre: DataCentre,
    /// The cell it schedules with.
    #[builder(into)]
    pub cell: CellName,
    /// The address of its peer port.
    pub address: SocketAddr,
    /// The address that callers connect to.
    pub caller_address: SocketAddr,
}

/// The load that a VM tells of itself while it has no set.
pub const JOINING_LOAD: u16 = u16::MAX;

/// How alive a member is, as this VM believes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It is heard, but has no set yet and takes no calls.
    Joining,
    /// Somebody hears its heartbeats.
    Alive,
    /// Nobody has heard it for a while.
    Suspect,
    /// It finishes its calls and takes no new ones.
    Leaving,
    /// It is dead or replaced.
    Gone,
}

/// A VM as this VM knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Who it is.
    pub identity: Identity,
    /// How alive it is.
    pub state: State,
    /// Its load in thousandths of what it can carry.
    pub load: u16,
    /// Whether this VM has a working link to it.
    pub linked: bool,
}

/// What the cell of a member has found about it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureMark {
    /// Nothing amiss.
    #[default]
    Fine,
    /// Silent since the heartbeat of the same entry.
    Suspect,
    /// Silent for so long that it counts as dead.
    Gone,
}

/// What one VM knows of another's heartbeats; a tuple on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "SeenTuple", into = "SeenTuple")]
pub struct SeenHeartbeat {
    /// Whose heartbeats.
    pub incarnation: Incarnation,
    /// The newest heartbeat heard of, by anybody.
    pub seq: u64,
    /// Milliseconds since the sender heard of it.
    pub age_ms: u32,
    /// What its cell has found about it.
    pub mark: FailureMark,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Its load in thousandths.
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

/// A message between the membership cores of two VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MembersMessage {
    /// The sender is alive.
    Heartbeat(SeenHeartbeat),
    /// What the sender knows of others.
    Digest(Vec<SeenHeartbeat>),
    /// The sender asks what the receiver knows of some members.
    #[serde(rename = "doubt")]
    DigestRequest(Vec<Incarnation>),
    /// The sender lacks the identities of some members.
    #[serde(rename = "want")]
    IdentityRequest(Vec<Incarnation>),
    /// Identities that were asked for.
    Identities(Vec<Identity>),
}

/// Everything that the core reacts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A message came over a link.
    Message {
        /// The sender.
        from: Incarnation,
        /// What it says.
        message: MembersMessage,
    },
    /// A link opened, in either direction.
    Linked(Identity),
    /// The last link to a peer broke.
    Unlinked(Incarnation),
    /// Nobody answered at an address.
    DialFailed(SocketAddr),
    /// The platform's lagging list of VMs.
    Listed(Vec<VmRecord>),
    /// This VM's own load in thousandths.
    Load(u16),
    /// This VM starts to leave.
    Leave,
}

/// Everything that the core orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message over a link.
    Send {
        /// The receiver.
        to: Incarnation,
        /// What to say.
        message: MembersMessage,
    },
    /// Open a link to the VM at an address.
    Dial(SocketAddr),
    /// Close a link to a member that is suspected or gone, or that nothing comes over.
    Close(Incarnation),
    /// Read the platform's list of VMs.
    List,
    /// A member's state changed, or a new member appeared.
    Changed {
        /// Which member.
        incarnation: Incarnation,
        /// Its new state.
        state: State,
    },
    /// This VM was paused; views are stale until `Core::is_fresh` holds again.
    Paused(Duration),
}

/// Periods and bounds of the core.
#[derive(Clone, Debug, Builder)]
pub struct Settings {
    /// Peer addresses to try first.
    #[builder(default)]
    pub seeds: Vec<SocketAddr>,
    /// Time between two heartbeats to a linked peer.
    #[builder(default = Duration::from_millis(500))]
    pub heartbeat_interval: Duration,
    /// Time between two summaries of the cells.
    #[builder(default = Duration::from_secs(2))]
    pub summary_interval: Duration,
    /// Time between two comparisons of everything with a random peer.
    #[builder(default = Duration::from_secs(30))]
    pub sync_interval: Duration,
    /// Silence in the own cell after which a member is suspected, if another VM confirms.
    #[builder(default = Duration::from_secs(2))]
    pub suspect_after: Duration,
    /// Silence of a link after which it is closed, whatever others hear.
    #[builder(default = Duration::from_secs(4))]
    pub link_timeout: Duration,
    /// Silence in the own cell after which a member is suspected if nobody can confirm.
    #[builder(default = Duration::from_secs(5))]
    pub unconfirmed_after: Duration,
    /// Silence of another cell as a whole after which its members are suspected.
    #[builder(default = Duration::from_secs(24))]
    pub cell_timeout: Duration,
    /// Silence after which a member is gone.
    #[builder(default = Duration::from_mins(1))]
    pub gone_after: Duration,
    /// Time for which a member that is gone is remembered.
    #[builder(default = Duration::from_mins(10))]
    pub forget_after: Duration,
    /// Time between two ticks from which this VM counts as paused.
    #[builder(default = Duration::from_millis(1_500))]
    pub pause_threshold: Duration,
    /// Links to members of other cells that this VM opens.
    #[builder(default = 3)]
    pub remote_links: usize,
    /// Time between two readings of the platform's list.
    #[builder(default = Duration::from_mins(1))]
    pub list_interval: Duration,
}
