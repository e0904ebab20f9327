//! Answers which address a caller should use, and the drain of a leaving VM.
//!
//! Callers keep an answer for a while and then connect on their own, so an answer lists
//! several VMs with weights and a short time to live. A VM that leaves is out of the answers
//! at once; [`Drain`] then refuses late comers, counts what is in flight and says when the
//! process may exit.

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
