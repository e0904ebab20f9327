//! Frames between VMs.
//!
//! A connection starts with a [`Greeting`] in each direction, which carries a random nonce of the
//! sender. Each side then sends a [`Hello`], which proves knowledge of the shared secret for the
//! other side's nonce. Messages are accepted only after both. Every message carries the
//! sender's logical clock, so that the timelines of all VMs can be merged into one order.

use poplarswitch_keys::KeysMessage;
use poplarswitch_members::{Identity, MembersMessage};
use poplarswitch_pool::PoolMessage;
use poplarswitch_publish::PublishMessage;
use poplarswitch_timeline::Stamp;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// Version of the protocol between VMs.
pub const PROTOCOL: u32 = 1;

/// Maximum length of a frame between VMs.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Maximum nesting depth of a frame. Frames are decoded before the peer is authenticated, so
/// their nesting must not overflow the stack.
const MAX_DEPTH: usize = 64;

/// First frame on a connection, sent before the peer is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// Protocol version of the sender.
    pub protocol: u32,
    /// Random number that the sender drew for this connection.
    pub nonce: u64,
}

/// Second frame on a connection: identity of the sender and proof that it knows the secret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Identity of the sender.
    pub identity: Identity,
    /// Digest of the secret, the receiver's nonce and the sender's incarnation.
    pub proof: Vec<u8>,
}

/// A message for one of the state machines of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// Message about the membership of VMs.
    Members(MembersMessage),
    /// Message about calls and slots.
    Pool(PoolMessage),
    /// Message about the set in force.
    Publish(PublishMessage),
    /// Message about calls that must run at most once.
    Keys(KeysMessage),
}

/// A message with the clock of its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's clock when it sent the message.
    pub at: Stamp,
    /// The message.
    pub message: PeerMessage,
}

/// Error of the encoding or decoding of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("frame: {message}"))]
pub struct FrameError {
    message: String,
}

/// Encodes a frame as CBOR.
///
/// # Errors
///
/// Returns an error if the value can't be serialised.
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

/// Decodes a frame from CBOR.
///
/// # Errors
///
/// Returns an error if the bytes are not a frame of this type or are nested too deeply.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    ciborium::de::from_reader_with_recursion_limit(bytes, MAX_DEPTH).map_err(|error| {
        FrameSnafu {
            message: error.to_string(),
        }
        .build()
    })
}
