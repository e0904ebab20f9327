//! Gossip-based membership of VMs with a distributed failure detector.
//!
//! Every VM numbers its own heartbeats and gossips the highest heartbeat number that it knows of
//! each member. A member is alive as long as any VM sees its number rise, so a link that only one
//! VM has lost does not remove a member from the discovery answers. Whether this VM has a link to
//! a member is tracked separately, and forwarding stops as soon as that link closes. The
//! platform's list of VMs lags behind; it only supplies addresses to dial.

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
