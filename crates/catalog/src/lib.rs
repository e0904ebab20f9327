//! A verified set, resolved into typed keys for fast look-ups while calls are handled.
//!
//! References by name are resolved once, when a set comes into force; the scheduler then uses
//! keys. A catalog is immutable and shared by `Arc`, so code that holds one sees a consistent set.

mod build;
mod lookup;

#[cfg(test)]
mod build_tests;

pub use build::BuildError;
pub use lookup::{
    Catalog, ClassEntry, ClassKey, EndpointEntry, EndpointKey, Route, RouteKey, TierEntry, TierKey,
    WorkspaceEntry, WorkspaceKey,
};
