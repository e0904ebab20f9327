//! Links between VMs: WebSocket connections that carry typed messages.
//!
//! One thread serves all links. Messages to a peer are queued in a bounded queue. A message that
//! does not fit is dropped, and [`Hub::send`] returns false so that the caller can count it; the
//! state machines that exchange the messages tolerate loss. The membership decides which peers are
//! dialled and when; this crate only opens the connections.

mod handshake;
mod hub;
mod link;
mod table;

#[cfg(test)]
mod hub_tests;

pub use hub::{Hub, HubSettings, PeerEvent};
