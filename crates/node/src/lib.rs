//! The entry VM's process: ports, adapters, threads, metrics and time line.
//!
//! The process is a shell around cores without I/O. One thread owns the cores and decides;
//! callers are served by asynchronous tasks, endpoints are called on blocking threads, and
//! both talk to the decision thread by typed events. [`Node`] is a library, so that several
//! of them can run in one process for demonstrations and tests.

mod call;
mod callers;
mod counters;
mod event;
mod event_loop;
mod node;
mod operators;
mod orders;
mod platform;
mod ports;
mod reports;
mod run;
mod setup;
mod shared;

pub use node::{DrainHandle, Node, StartError};
pub use setup::Setup;
