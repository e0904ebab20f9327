//! Typed requests and replies of the platform's object API, and an in-memory implementation of
//! it for tests.
//!
//! The state machines that need the platform emit [`Request`]s and receive [`Reply`]s as input,
//! so that a test can drop, delay or reorder both. A write has three outcomes: it was done, it
//! was not done, or it is not known whether it was done. The third one is a variant of its own,
//! [`Reply::Unknown`], so that callers have to handle it.

mod api;
mod memory;

#[cfg(test)]
mod memory_tests;

pub use api::{
    Key, ListedObject, MAX_VALUE_BYTES, Precondition, Reply, Request, RequestId, Version,
    Versioned, VmRecord, VmState,
};
pub use memory::MemoryStore;
