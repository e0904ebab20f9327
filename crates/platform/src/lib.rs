//! Client of the platform's object API, with a rate limit and a connection over HTTP.
//!
//! The platform limits the rate of calls of all VMs together, so each VM keeps to its share of
//! that rate, and backs off while the platform is unavailable. [`Client`] blocks, so it is used
//! on threads of its own. A caller's call waits for the platform only if its idempotency key has
//! to be claimed there.

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
