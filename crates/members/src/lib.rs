//! Membership of VMs by heartbeats, incarnations and shared suspicion.
//!
//! Every VM counts its own heartbeats and passes on the highest counts that it has heard of.
//! A member is alive as long as its count rises for anybody, so a link that only one VM has
//! lost does not take a member out of the discovery answers; whether this VM itself can reach
//! a member is kept apart, and forwarding stops at once when a link breaks. The platform's
//! list lags: it only names addresses worth a try.

mod api;
mod gossip;
mod links;
mod machine;
mod mutation;
mod suspicion;
mod table;

#[cfg(test)]
mod machine_tests;

pub use api::{
    FailureMark, Identity, Input, JOINING_LOAD, Member, MembersMessage, Output, SeenHeartbeat,
    Settings, State,
};
pub use machine::Core;
pub use mutation::Mutation;
