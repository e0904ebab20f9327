//! Inputs and outputs of a pool, and the messages between the pools of two VMs.
//!
//! Fields of frequent messages have names of one letter on the wire.

use poplarswitch_entity::{CallId, Incarnation};
use poplarswitch_scheduler as scheduler;
use serde::{Deserialize, Serialize};

/// Number of a call's assignment to a home.
///
/// The origin increments it whenever it submits the call to a home again, and ignores outputs
/// for an earlier epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u32);

impl Epoch {
    /// The epoch after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Number of a session, increased by the origin with each session that it opens.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SessionNumber(pub u64);

/// An item from an origin to a home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HomeInput {
    /// An input of the home's scheduler.
    Input {
        /// The call's epoch, which the outputs for the call repeat.
        #[serde(rename = "ask")]
        epoch: Epoch,
        /// The input.
        input: scheduler::Input,
    },
    /// Removes the call and frees its slot.
    Release(CallId),
}

/// An item from a home to an origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeOutput {
    /// The epoch under which the call was submitted.
    #[serde(rename = "a")]
    pub epoch: Epoch,
    /// The output of the home's scheduler.
    #[serde(rename = "o")]
    pub output: scheduler::Output,
}

/// Consecutive items of a stream, with an acknowledgement for the opposite stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame<T> {
    /// The session that the frame belongs to.
    #[serde(rename = "s")]
    pub session: SessionNumber,
    /// Number of the first item, counted from 0.
    #[serde(rename = "f")]
    pub first: u64,
    /// Number of items of the opposite stream that were received in order.
    #[serde(rename = "r")]
    pub received: u64,
    /// Whether the receiver must reply even without items.
    #[serde(rename = "p")]
    pub probe: bool,
    /// The items.
    #[serde(rename = "i")]
    pub items: Vec<T>,
}

/// A message between the pools of two VMs, which may be lost, duplicated, delayed or reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolMessage {
    /// From an origin to a home.
    Up(Frame<HomeInput>),
    /// From a home to an origin.
    Down(Frame<HomeOutput>),
    /// From a home that does not know the session to its origin, which must open a new one.
    Reset(SessionNumber),
}

impl PoolMessage {
    /// The calls that this message submits to a home.
    pub fn submitted(&self) -> impl Iterator<Item = CallId> {
        let items = match self {
            Self::Up(frame) => frame.items.as_slice(),
            Self::Down(_) | Self::Reset(_) => &[],
        };
        items.iter().filter_map(|item| match item {
            HomeInput::Input {
                input: scheduler::Input::Submit(request),
                ..
            } => Some(request.call),
            HomeInput::Input { .. } | HomeInput::Release(_) => None,
        })
    }
}

/// An input of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// An event of a call or an endpoint, observed by this VM.
    Local(scheduler::Input),
    /// A message from another VM.
    Peer {
        /// The sender.
        from: Incarnation,
        /// The message.
        message: PoolMessage,
    },
    /// The live VMs of the cell that may be homes, including this VM unless it is leaving.
    Members(Vec<Incarnation>),
}

/// An output of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// An output of the scheduler for a call whose caller is connected to this VM.
    Local(scheduler::Output),
    /// A message to another VM of the cell.
    Send {
        /// The receiver.
        to: Incarnation,
        /// The message.
        message: PoolMessage,
    },
}
