//! Clock of the process.
//!
//! Deadlines, grace periods and the age of confirmations are measured on a clock that also counts
//! the time for which the VM is suspended (`CLOCK_BOOTTIME`). The wall clock may jump, and
//! `CLOCK_MONOTONIC` stops while the VM is suspended.

use core::time::Duration;
use poplarswitch_entity::Time;
use rustix::time::{ClockId, clock_gettime};
use std::time::{SystemTime, UNIX_EPOCH};

/// Current time since boot, including the time for which the VM was suspended.
pub fn now() -> Time {
    let at = clock_gettime(ClockId::Boottime);
    Time(at.tv_sec as u64 * 1_000_000 + at.tv_nsec as u64 / 1_000)
}

/// Unix time in milliseconds by the wall clock, which may jump; only for numbers that should differ
/// between incarnations, and for times in the platform that outlive a process.
pub(crate) fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or(Duration::ZERO).as_millis() as u64
}
