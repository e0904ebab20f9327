//! Speed of each endpoint, learned from its calls.
//!
//! Answers the load of services whose engines differ in speed: as many calls for a slow engine as
//! for a fast one make the slow one late while the fast one idles. A VM sees few calls of each of
//! many engines, so VMs exchange their estimates and each takes the weighted mean of its own and the
//! others'. An estimate is the logarithm of the speed relative to the mean of the service. What a
//! call shows is the pause between its events, which doesn't contain the wait before it.

mod evidence;
mod gaps;
mod rates;
mod spread;

#[cfg(test)]
mod rates_tests;

pub use gaps::GapRecorder;
pub use rates::{RateRecord, Rates};
