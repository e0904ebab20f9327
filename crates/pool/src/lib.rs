//! Shares one scheduler per pool of endpoints among the VMs of a cell.
//!
//! The endpoints of one route form a pool. One live VM of the cell, chosen by rendezvous hashing,
//! is the home of the route: its scheduler decides on all calls of the route, so that priorities
//! hold across the whole pool. The VM that a call's caller is connected to is the call's origin:
//! it sends the inputs of the scheduler to the home and carries out the outputs that come back.
//!
//! The choice of the home is only a hint: the VMs need not agree on it. Only the origin dispatches
//! a call, it accepts outputs from one home at a time, and it numbers the call's assignments to
//! homes by epochs, so that outputs for an earlier epoch have no effect. While two VMs act as home
//! of a route, they may overcommit an endpoint, but a call cannot run twice.

mod channel;
mod local_call;
mod local_scheduler;
mod message;
mod mutation;
mod pool;
mod ranking;
mod sessions;
mod status;

#[cfg(test)]
mod channel_tests;
#[cfg(test)]
mod pool_tests;

pub use message::{Epoch, Frame, HomeInput, HomeOutput, Input, Output, PoolMessage, SessionNumber};
pub use mutation::Mutation;
pub use pool::Pool;
pub use status::{Counters, Status};
