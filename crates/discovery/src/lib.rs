//! Answers to address queries of callers, and the drain of a leaving VM.
//!
//! Callers cache an answer and choose among its addresses on their own, so an answer lists
//! several VMs with weights and has a short time to live. A leaving VM is removed from the
//! answers at once; [`Drain`] then refuses calls from callers that still use its address, counts
//! the calls in flight and decides when the process may exit.

mod answer;
mod drain;
mod mutation;

#[cfg(test)]
mod answer_tests;
#[cfg(test)]
mod drain_tests;

pub use answer::{Answer, Candidate, Query, answer};
pub use drain::{Drain, Input, Output, Phase, Settings};
pub use mutation::Mutation;
