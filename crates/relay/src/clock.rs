//! The clock of the process.
//!
//! Leases, deadlines and freshness are measured on the clock that goes on while the VM is
//! suspended. The time of day may jump, and the steady clock stops during a suspension.

use core::time::Duration;
use poplarswitch_entity::Time;
use rustix::time::{ClockId, clock_gettime};
use std::time::{SystemTime, UNIX_EPOCH};

/// Now, counting the time of suspensions.
pub fn now() -> Time {
    let at = clock_gettime(ClockId::Boottime);
    Time(at.tv_sec as u64 * 1_000_000 + at.tv_nsec as u64 / 1_000)
}

/// Unix milliseconds by the time of day; only for numbers that should differ between lives.
pub(crate) fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or(Duration::ZERO).as_millis() as u64
}
