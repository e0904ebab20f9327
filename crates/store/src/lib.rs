//! Typed requests and replies of the platform's object API, and an in-memory double of it.
//!
//! The cores that need the platform emit [`Request`]s and are fed [`Reply`]s, so that a test
//! can lose, delay or reorder either. A write has three outcomes, not two: it was done, it was
//! not done, or nobody knows; [`Reply::Unknown`] makes the third one impossible to overlook.

mod api;
mod memory;

#[cfg(test)]
mod memory_tests;

pub use api::{
    Key, ListedObject, MAX_VALUE_BYTES, Precondition, Reply, Request, RequestId, Version,
    Versioned, VmRecord, VmState,
};
pub use memory::MemoryStore;
