//! The port to the platform's object API, its rate budget, and the way to it over HTTP.
//!
//! The platform counts every call, so each VM keeps to its own share of the fleet's rate and
//! backs off while the platform is away. Nothing on the path of an ordinary call waits for
//! it: callers of [`Client`] run on a thread of their own.

mod backoff;
mod budget;
mod client;
mod http;
mod records;

#[cfg(test)]
mod backoff_tests;
#[cfg(test)]
mod budget_tests;
#[cfg(test)]
mod client_tests;

pub use backoff::Backoff;
pub use budget::{Budget, Rates, Spend};
pub use client::{Client, Counters, Platform};
pub use http::{HttpPlatform, HttpPlatformError, SendError};
pub use records::{ExecuteError, Executor, Page, RecordCall, RecordReply, Records, WireRequest};
