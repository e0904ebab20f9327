//! The port to the platform's object API, its rate budget, and the way to it over HTTP.
//!
//! The platform counts every call, so each VM keeps to its own share of the fleet's rate and
//! backs off while the platform is away. Nothing on the path of an ordinary call waits for
//! it: callers of [`Client`] run on a thread of their own.

mod backoff;
mod client;
mod http;
mod rate_limit;
mod records;

#[cfg(test)]
mod backoff_tests;
#[cfg(test)]
mod client_tests;
#[cfg(test)]
mod rate_limit_tests;

pub use backoff::Backoff;
pub use client::{Client, Counters, Platform};
pub use http::{HttpPlatform, HttpPlatformError, SendError};
pub use rate_limit::{CallKind, RateLimiter, Rates};
pub use records::{
    ExecuteError, Executor, Page, RecordCall, RecordCodec, RecordReply, WireRequest,
};
