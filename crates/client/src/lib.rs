//! A caller of the system: discovery, chat calls, service calls and typed outcomes.
//!
//! The client follows the documented protocol for callers. It asks any VM for the addresses to
//! use and caches the list for its time to live, tries another address if one can't be reached,
//! and distinguishes the outcomes "not run", "failed" and "in doubt". It is used by the load tool,
//! the demo and the tests of the whole path of a call.

mod client;
mod directory;
mod stream;

#[cfg(test)]
mod client_tests;
#[cfg(test)]
mod directory_tests;
#[cfg(test)]
mod stream_tests;

pub use client::{CallReport, ChatCall, Client, Outcome, ServiceCall};
pub use directory::{Directory, DirectoryError};
