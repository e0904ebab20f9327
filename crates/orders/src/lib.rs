//! Leases, fencing numbers and desired-state orders to engines.
//!
//! One VM at a time holds the lease of a group of engines and orders them to load what the set
//! declares. An order states the whole desired state, carries the version of the lease as its
//! fencing number, and is verified by observing the engine. Engines that check fencing numbers
//! refuse late orders of an earlier holder. For engines that do not, an order is sent only while
//! the lease remains valid for longer than the longest call and pause together, and a new holder
//! waits that long before its first order to them.

mod api;
mod desired;
mod lease;
mod machine;
mod mutation;
mod reconcile;

#[cfg(test)]
mod desired_tests;
#[cfg(test)]
mod lease_tests;
#[cfg(test)]
mod machine_tests;

pub use api::{
    EndpointStatus, Input, ModelLoad, Observation, Order, OrderOutcome, Output, Settings,
    WaitReason,
};
pub use lease::lease_key;
pub use machine::Core;
pub use mutation::Mutation;
pub use poplarswitch_lease::LeaseRecord as LeaseObject;
