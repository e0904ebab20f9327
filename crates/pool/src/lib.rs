//! Shares one scheduler per pool of endpoints among the VMs of a cell.
//!
//! The endpoints of one route form a pool. One live VM of the cell is the pool's home, by
//! rendezvous hash, and its scheduler orders all calls of that route, so that the pool has
//! one order of priority. The VM that holds a caller's connection is the call's origin: it
//! sends the scheduler's inputs to the home and carries out the outputs that come back.
//!
//! A home is only a hint. The origin alone dispatches, it follows one home at a time, and
//! it numbers each of its asks, so that an answer to an older ask changes nothing. Two
//! homes for a moment may overcommit an endpoint; they can't run a call twice.

mod channel;
mod desk;
mod links;
mod message;
mod mutation;
mod own;
mod pool;
mod ranking;
mod status;

#[cfg(test)]
mod channel_tests;
#[cfg(test)]
mod pool_tests;

pub use message::{Epoch, Frame, HomeInput, HomeOutput, Input, Output, PoolMessage, SessionNumber};
pub use mutation::Mutation;
pub use pool::Pool;
pub use status::{Counters, Status};
