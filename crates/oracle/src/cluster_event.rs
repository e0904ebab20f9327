//! Events of a simulation, and the faults of its links and its platform.

use core::time::Duration;
use poplarswitch_store::{Reply, Request, RequestId};

/// Index of a node of a simulation: a VM, an operator or a service.
///
/// A node keeps its index when a new incarnation replaces its process.
pub type NodeIndex = usize;

/// An event at a point in virtual time.
#[derive(Clone, Debug)]
pub enum Event<M> {
    /// A message arrives at its receiver.
    Deliver {
        /// The sender.
        from: NodeIndex,
        /// The receiver.
        to: NodeIndex,
        /// The message.
        message: M,
    },
    /// A request arrives at the platform and takes effect.
    Request {
        /// The node that sent the request.
        node: NodeIndex,
        /// Identifies the request in its reply.
        id: RequestId,
        /// The request.
        request: Request,
        /// Whether the node gets the reply.
        answered: bool,
    },
    /// A reply of the platform arrives.
    Reply {
        /// The node that sent the request.
        node: NodeIndex,
        /// Identifies the request.
        id: RequestId,
        /// The reply.
        reply: Reply,
    },
    /// The wake-up time of a node has come.
    Wake(NodeIndex),
    /// An event that the simulation itself has scheduled.
    Custom {
        /// The node that it belongs to.
        node: NodeIndex,
        /// A number that the simulation interprets.
        code: u64,
    },
}

impl<M> Event<M> {
    /// The node that handles the event; none for a request, which the platform handles.
    pub const fn node(&self) -> Option<NodeIndex> {
        match self {
            Self::Deliver { to, .. } => Some(*to),
            Self::Reply { node, .. } | Self::Wake(node) | Self::Custom { node, .. } => Some(*node),
            Self::Request { .. } => None,
        }
    }
}

/// Health of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformHealth {
    /// Requests are answered within milliseconds.
    #[default]
    Up,
    /// Requests are answered within seconds.
    Slow,
    /// All requests are refused.
    Down,
    /// Writes are done at once, seconds later or never, and their replies are lost; so are some
    /// replies to reads.
    Lossy,
}

/// Faults of the links between nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkFaults {
    /// Messages that are lost, in percent.
    pub loss_percent: u32,
    /// Messages that arrive twice, in percent.
    pub duplicate_percent: u32,
    /// Maximum delay in addition to the normal one.
    pub max_delay: Duration,
}

/// Counters of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Messages sent between nodes.
    pub messages: u64,
    /// Reads and watches sent to the platform.
    pub reads: u64,
    /// Writes sent to the platform.
    pub writes: u64,
}
