//! Membership of VMs by heartbeats, incarnations and shared suspicion.
//!
//! Every VM counts its own heartbeats and passes on the highest counts that it has heard of.
//! A member is alive as long as its count rises for anybody, so a link that only one VM has
//! lost does not take a member out of the discovery answers; whether this VM itself can reach
//! a member is kept apart, and forwarding stops at once when a link breaks. The platform's
//! list lags: it only names addresses worth a try.

mod api;
mod core_machine;
mod gossip;
mod links;
mod mutation;
mod suspicion;
mod table;

#[cfg(test)]
mod core_machine_tests;

pub use api::{
    Identity, Input, JOINING_LOAD, Mark, Member, MembersMessage, Output, Seen, Settings, State,
};
pub use core_machine::Core;
pub use mutation::Mutation;
