//! What happens in a world, and the faults that it can have.

use core::time::Duration;
use poplarswitch_store::{Reply, Request, RequestId};

/// Refers to a VM's place in a world; a place may see several incarnations.
pub type Place = usize;

/// Something that happens at a point in virtual time.
#[derive(Clone, Debug)]
pub enum Event<M> {
    /// A message arrives.
    Deliver {
        /// The sender.
        from: Place,
        /// The receiver.
        to: Place,
        /// What it says.
        message: M,
    },
    /// A request takes effect in the platform.
    Effect {
        /// Who asked.
        place: Place,
        /// Pairs it with its reply.
        id: RequestId,
        /// What was asked.
        request: Request,
        /// Whether the answer gets back.
        answered: bool,
    },
    /// A reply arrives.
    Reply {
        /// Who asked.
        place: Place,
        /// Pairs it with its request.
        id: RequestId,
        /// The reply.
        reply: Reply,
    },
    /// A VM wanted to be called again.
    Wake(Place),
    /// Something that the world scheduled itself.
    Custom {
        /// Where.
        place: Place,
        /// What, by the world's own numbering.
        code: u64,
    },
}

impl<M> Event<M> {
    /// The VM that it happens at, if any.
    pub const fn place(&self) -> Option<Place> {
        match self {
            Self::Deliver { to, .. } => Some(*to),
            Self::Reply { place, .. } | Self::Wake(place) | Self::Custom { place, .. } => {
                Some(*place)
            }
            Self::Effect { .. } => None,
        }
    }
}

/// How the platform behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// It answers within milliseconds.
    #[default]
    Up,
    /// It answers within seconds.
    Slow,
    /// It refuses everything.
    Down,
    /// Writes may be done, now or seconds later, and their answers are lost.
    Lossy,
}

/// Faults of the links.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkFaults {
    /// Messages lost, in percent.
    pub lost: u32,
    /// Messages delivered twice, in percent.
    pub doubled: u32,
    /// Longest delay beyond the normal one.
    pub delay: Duration,
}

/// What a world counts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Messages sent between VMs.
    pub messages: u64,
    /// Reads and watches sent to the platform.
    pub reads: u64,
    /// Writes sent to the platform.
    pub writes: u64,
}
