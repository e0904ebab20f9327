//! Messages between VMs, and the headers and bodies of the HTTP interfaces.
//!
//! Data that leaves a process has a type here: errors for callers, the list of addresses, the
//! status for operators, and the frames between VMs. The bodies of chat calls are passed on
//! unchanged; only the few fields that scheduling depends on are read.

mod address;
mod chat;
mod content;
mod error;
pub mod headers;
mod keyed;
mod peer;
mod status;

#[cfg(test)]
mod body_fuzz_tests;
#[cfg(test)]
mod chat_tests;
#[cfg(test)]
mod content_tests;
#[cfg(test)]
mod error_tests;
#[cfg(test)]
mod peer_fuzz_tests;
#[cfg(test)]
mod peer_tests;

pub use address::{AddressList, WeightedAddress};
pub use chat::{ChatError, ChatHead, Message, ModelCard, ModelList, TokenUsage};
pub use content::Content;
pub use error::{ErrorBody, ErrorCode, ErrorInfo, Ran, Step};
pub use keyed::{KeyedAnswer, KeyedRequest};
pub use peer::{
    Envelope, FrameError, Greeting, Hello, MAX_FRAME_BYTES, PROTOCOL, PeerMessage, decode, encode,
};
pub use status::{
    CallCounts, ClassStatus, EndpointState, EndpointStatus, MemberStatus, Phase, PlatformStatus,
    Status,
};
