//! Runs calls at endpoints, each on its own blocking thread.
//!
//! A run passes each part of the response on as it arrives, and the event loop can stop it at any
//! time. Its end is reported in the scheduler's terms: a failure before the first byte was sent
//! means that the call did not run, a later one leaves the call in doubt.

mod chat;
mod connection;
mod runner;
mod service;
mod sse;
mod stop;

#[cfg(test)]
mod chat_tests;
#[cfg(test)]
mod sse_fuzz_tests;
#[cfg(test)]
mod sse_tests;

pub(crate) use runner::Job;
pub(crate) use stop::StopHandle;
