//! Admission, ordering, dispatch and retry of calls as a state machine without I/O.
//!
//! The scheduler takes `(now, input)` and appends outputs. It opens no socket, reads no
//! clock and draws randomness from a seeded generator only, so that the same inputs give
//! the same outputs in a test, in the benchmark and in a VM.

mod api;
mod scheduler;

#[cfg(test)]
mod scheduler_tests;

pub use api::{
    CacheEvent, Dispatch, End, Ended, Fault, Input, LoadReport, Mode, Output, Policy, Progress,
    Refusal, RefusalReason, Request, Running, Stop, StopReason, Verdict, VerdictKind,
};
pub use scheduler::Scheduler;
