//! Links between VMs: WebSocket connections that carry typed messages.
//!
//! One thread serves all links. Messages to a peer wait in a bounded queue and are dropped
//! and counted when it is full; the cores behind tolerate loss. Who is dialled, and when
//! again, is the membership's decision; this package only carries it out.

mod handshake;
mod hub;
mod link;
mod table;

#[cfg(test)]
mod hub_tests;

pub use hub::{Hub, HubSettings, PeerEvent};
