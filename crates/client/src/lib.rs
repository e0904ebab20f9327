//! A caller of the system: discovery, chat calls, service calls and typed outcomes.
//!
//! It does what the documents ask of a caller: it asks any VM which address to use and keeps
//! the answer for its time to live, goes to another address when one can't be reached, and
//! keeps the three outcomes "not run", "failed" and "in doubt" apart. The load tool, the demo
//! and the tests of the whole path are its users.

mod client;
mod directory;
mod stream;

#[cfg(test)]
mod directory_tests;
#[cfg(test)]
mod stream_tests;

pub use client::{CallReport, ChatCall, Client, Outcome, ServiceCall};
pub use directory::{Directory, DirectoryError};
