//! A VM's share of the platform's rates.

use core::time::Duration;
use poplarswitch_entity::Time;

/// Micro-tokens that one call costs.
const CALL: u64 = 1_000_000;

/// Calls a second that one VM may make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rates {
    /// Writes a second.
    pub writes: u32,
    /// Reads a second, watches included.
    pub reads: u32,
}

impl Rates {
    /// Divides the fleet's rates evenly; each VM may make at least one call a second.
    pub const fn share(fleet: Self, vms: u32) -> Self {
        let vms = if vms == 0 { 1 } else { vms };
        Self {
            writes: at_least_one(fleet.writes / vms),
            reads: at_least_one(fleet.reads / vms),
        }
    }
}

/// What a call counts as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A write or delete.
    Write,
    /// A read, listing or watch.
    Read,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: u32,
    level: u64,
    filled: Time,
}

impl Bucket {
    const fn new(rate: u32) -> Self {
        Self {
            rate,
            level: rate as u64 * CALL,
            filled: Time::ZERO,
        }
    }

    fn fill(&mut self, now: Time) {
        let gained = now.0.saturating_sub(self.filled.0) * u64::from(self.rate);
        self.level = (self.level + gained).min(u64::from(self.rate) * CALL);
        self.filled = now;
    }

    fn try_take(&mut self, now: Time) -> Result<(), Duration> {
        self.fill(now);
        if self.level >= CALL {
            self.level -= CALL;
            return Ok(());
        }
        let missing = CALL - self.level;
        Err(Duration::from_micros(
            missing.div_ceil(u64::from(self.rate)),
        ))
    }
}

/// Token buckets for writes and reads; each holds one second's worth.
#[derive(Clone, Copy, Debug)]
pub struct RateLimiter {
    writes: Bucket,
    reads: Bucket,
}

impl RateLimiter {
    /// Starts with full buckets.
    pub const fn new(rates: Rates) -> Self {
        Self {
            writes: Bucket::new(at_least_one(rates.writes)),
            reads: Bucket::new(at_least_one(rates.reads)),
        }
    }

    /// Changes the rates; what is saved up beyond a second's worth is lost.
    pub fn set_rates(&mut self, rates: Rates) {
        self.writes.rate = at_least_one(rates.writes);
        self.reads.rate = at_least_one(rates.reads);
    }

    /// Takes one call's worth, or says how long to wait for it.
    pub fn try_take(&mut self, now: Time, kind: CallKind) -> Result<(), Duration> {
        match kind {
            CallKind::Write => self.writes.try_take(now),
            CallKind::Read => self.reads.try_take(now),
        }
    }
}

const fn at_least_one(rate: u32) -> u32 {
    if rate == 0 { 1 } else { rate }
}
