//! Frames between VMs.
//!
//! A link opens with a greeting in each direction, which carries a number drawn for this link,
//! and then a hello that proves knowledge of the shared secret for exactly that number. Only
//! after both does a message count. Every message carries the sender's clock, so that the
//! time lines of all VMs can be put in one order.

use poplarswitch_keys::KeysMessage;
use poplarswitch_members::{Identity, MembersMessage};
use poplarswitch_pool::PoolMessage;
use poplarswitch_publish::PublishMessage;
use poplarswitch_timeline::Stamp;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// The version of the protocol between VMs.
pub const PROTOCOL: u32 = 1;

/// Largest frame between VMs, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Deepest nesting of a frame; what comes before the proof of the secret is read as well, so
/// it must not reach the end of the reader's stack.
const MAX_DEPTH: usize = 64;

/// Opens a link, before anything is known of the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// The sender's version of the protocol.
    pub protocol: u32,
    /// Drawn by the sender for this link.
    pub nonce: u64,
}

/// Says who the sender is and proves that it knows the secret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender.
    pub identity: Identity,
    /// Digest of the secret, the receiver's number and the sender's incarnation.
    pub proof: Vec<u8>,
}

/// A message from one of the cores.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// About who is alive.
    Members(MembersMessage),
    /// About calls and slots.
    Pool(PoolMessage),
    /// About the set in force.
    Publish(PublishMessage),
    /// About calls that must run at most once.
    Keys(KeysMessage),
}

/// A message and the clock of its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's clock.
    pub at: Stamp,
    /// The message.
    pub message: PeerMessage,
}

/// A frame that can't be written or read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("frame: {message}"))]
pub struct FrameError {
    message: String,
}

/// Writes a frame.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, FrameError> {
    let mut bytes = Vec::new();
    match ciborium::into_writer(value, &mut bytes) {
        Ok(()) => Ok(bytes),
        Err(error) => FrameSnafu {
            message: error.to_string(),
        }
        .fail(),
    }
}

/// Reads a frame.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    ciborium::de::from_reader_with_recursion_limit(bytes, MAX_DEPTH).map_err(|error| {
        FrameSnafu {
            message: error.to_string(),
        }
        .build()
    })
}
