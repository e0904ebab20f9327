//! What goes into a pool, what comes out, and what travels between two of them.
//!
//! Fields that travel many times a second have names of one letter on the wire.

use poplarswitch_entity::{CallId, Incarnation};
use poplarswitch_scheduler as scheduler;
use serde::{Deserialize, Serialize};

/// Counts the asks that an origin makes for one call; an answer names its ask.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u32);

impl Epoch {
    /// The ask that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Counts the sessions that one origin has opened with one home.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SessionNumber(pub u64);

/// What an origin asks of a home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HomeInput {
    /// Feed the scheduler.
    Input {
        /// The call's epoch, copied to the outputs.
        #[serde(rename = "ask")]
        epoch: Epoch,
        /// What happened to the call.
        input: scheduler::Input,
    },
    /// Forget the call and free its slot.
    Release(CallId),
}

/// What a home orders an origin to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeOutput {
    /// The ask that it answers.
    #[serde(rename = "a")]
    pub epoch: Epoch,
    /// The scheduler's order.
    #[serde(rename = "o")]
    pub output: scheduler::Output,
}

/// A stretch of one ordered stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame<T> {
    /// The session that it belongs to.
    #[serde(rename = "s")]
    pub session: SessionNumber,
    /// Number of the first item.
    #[serde(rename = "f")]
    pub first: u64,
    /// Items of the opposite stream that have been received.
    #[serde(rename = "r")]
    pub received: u64,
    /// Whether the receiver must reply even without items.
    #[serde(rename = "p")]
    pub probe: bool,
    /// The items.
    #[serde(rename = "i")]
    pub items: Vec<T>,
}

/// A message between the pools of two VMs; may be lost, repeated, late or out of order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolMessage {
    /// From an origin to a home.
    Up(Frame<HomeInput>),
    /// From a home to an origin.
    Down(Frame<HomeOutput>),
    /// The home does not know the session; the origin must open another.
    Reset(SessionNumber),
}

impl PoolMessage {
    /// The calls that an origin hands to a home with this message.
    pub fn submitted(&self) -> impl Iterator<Item = CallId> {
        let asks = match self {
            Self::Up(frame) => frame.items.as_slice(),
            Self::Down(_) | Self::Reset(_) => &[],
        };
        asks.iter().filter_map(|ask| match ask {
            HomeInput::Input {
                input: scheduler::Input::Submit(request),
                ..
            } => Some(request.call),
            HomeInput::Input { .. } | HomeInput::Release(_) => None,
        })
    }
}

/// Everything that a pool reacts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Something happened to a call or an endpoint of this VM.
    Local(scheduler::Input),
    /// A message came from another VM.
    Peer {
        /// Its sender.
        from: Incarnation,
        /// The message.
        message: PoolMessage,
    },
    /// The live VMs of the cell that may be homes, this one included unless it is leaving.
    Members(Vec<Incarnation>),
}

/// Everything that a pool orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// An order about a call whose caller this VM holds.
    Local(scheduler::Output),
    /// A message to another VM of the cell.
    Send {
        /// Its receiver.
        to: Incarnation,
        /// The message.
        message: PoolMessage,
    },
}
