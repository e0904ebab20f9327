//! Runs calls at endpoints, each on a blocking thread of its own.
//!
//! A run passes each part on to the caller as it comes and can be stopped from the decision
//! thread at any moment. How it ended is told in the terms that the scheduler needs: whether
//! a byte was sent decides between "not run" and "in doubt".

mod chat;
mod connection;
mod runner;
mod service;
mod sse;
mod stop;

#[cfg(test)]
mod sse_fuzz_tests;
#[cfg(test)]
mod sse_tests;

pub(crate) use runner::Job;
pub(crate) use stop::StopHandle;
