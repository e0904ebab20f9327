//! The relay between callers and endpoints.
//!
//! One asynchronous process on each entry VM: callers' connections on one side, kept connections
//! to endpoints on the other, and beside them a view of configuration, endpoints and other VMs.
//! All decisions are made by the `ingress` package; this one moves bytes, keeps time and writes
//! down what was decided. The names of a deployment's protocol are behind [`Protocol`].

mod attempt;
mod beats;
mod callers;
mod clock;
mod dialect;
mod events;
mod feed;
mod job;
mod logs;
mod metrics;
mod placing;
mod pool;
mod questions;
mod reader;
mod record;
mod registry;
mod reply;
mod run;
mod seat;
mod serve;
mod settings;
mod shared;
mod snapshot;
mod store;
mod stream;
mod tcp;
mod watched;

#[cfg(test)]
mod events_tests;
#[cfg(test)]
mod logs_tests;
#[cfg(test)]
mod snapshot_tests;

pub use clock::now;
pub use dialect::{
    ForwardMetadata, HeaderError, PlatformCall, PlatformReply, Protocol, Query, ResponseInfo,
    ResponseKind,
};
pub use logs::{LogWriter, init_logs};
pub use run::{StartError, run};
pub use settings::{Bounds, Listen, RelaySettings};
