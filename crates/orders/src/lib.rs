//! Leases, fencing numbers and desired-state orders to engines.
//!
//! One VM at a time holds the lease of a group of engines and brings them to what the set
//! declares. Orders are absolute, carry the version of the lease as their fencing number, and
//! are verified by reading the engine back. Engines that check the number are safe from a
//! late holder; for the others an order is given only while the lease outlasts the longest
//! call and pause, and a new holder lets that time pass first.

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
    EndpointStatus, Input, LeaseObject, ModelLoad, Observation, Order, OrderOutcome, Output,
    Settings, WaitReason,
};
pub use lease::lease_key;
pub use machine::Core;
pub use mutation::Mutation;
