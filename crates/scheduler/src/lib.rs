//! Admission, ordering, dispatch and retry of calls as a state machine without I/O.
//!
//! The scheduler takes the current time and an input, and appends its outputs to a list. It
//! opens no socket, reads no clock and draws random numbers from a seeded generator only, so
//! the same inputs give the same outputs in a test, in the benchmark and in a VM.
//!
//! The module `api` defines the inputs and outputs, and `call`, `table`, `route_state` and
//! `registry` hold the data. The operations are in modules of their own: `submit` admits calls,
//! `adopt` takes over running calls, `serve` dispatches, `finish` handles progress, ends and
//! cancellations, `retry` decides what follows a fault, `expire` ends queue waits, and `reload`
//! puts a new set into force. `measure` updates latency estimates, `wait_estimate` predicts queue
//! waits, and `reserve` and `fixed_reserve` keep slots free.

mod adopt;
mod api;
mod call;
mod counters;
mod expire;
mod finish;
mod fixed_reserve;
mod measure;
mod registry;
mod reload;
mod reserve;
mod retry;
mod route_state;
mod scheduler;
mod serve;
mod submit;
mod table;
mod tuning;
mod wait_estimate;

#[cfg(test)]
mod cold_start_tests;
#[cfg(test)]
mod finish_tests;
#[cfg(test)]
mod fixture;
#[cfg(test)]
mod reload_tests;
#[cfg(test)]
mod retry_tests;
#[cfg(test)]
mod scheduler_tests;
#[cfg(test)]
mod serve_tests;
#[cfg(test)]
mod stress_tests;
#[cfg(test)]
mod submit_tests;

pub use api::{
    CacheEvent, Conclusion, ConclusionKind, Dispatch, End, Ended, Fault, Input, LoadReport, Mode,
    Output, Policy, Progress, Refusal, RefusalReason, Request, Running, Stop, StopReason,
};
pub use counters::Counters;
pub use poplarswitch_queue::starvation_bound;
pub use scheduler::Scheduler;
pub use tuning::Tuning;
