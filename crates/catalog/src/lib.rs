//! A checked set, resolved into typed keys for the request path.
//!
//! Names are looked up once, when a set comes into force; after that the scheduler walks
//! keys. A catalog is immutable and shared by pointer, so a request sees one set from its
//! first decision to its last.

mod build;
mod lookup;

#[cfg(test)]
mod build_tests;

pub use build::BuildError;
pub use lookup::{
    Catalog, ClassEntry, ClassKey, EndpointEntry, EndpointKey, Route, RouteKey, TierEntry, TierKey,
    WorkspaceEntry, WorkspaceKey,
};
