//! The process of an entry VM: ports, threads, connections, metrics and the timeline.
//!
//! All decisions are made by state machines without I/O, which are owned by one thread, the
//! event loop. Asynchronous tasks serve the callers and blocking threads call the endpoints;
//! both send typed events to the event loop. [`Node`] is a library type, so that several nodes
//! can run in one process in demonstrations and tests.

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
