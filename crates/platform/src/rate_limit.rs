//! Rate limiter for calls to the platform.

use core::time::Duration;
use poplarswitch_entity::Time;

/// Cost of a call, in millionths of a token.
const MICROTOKENS_PER_CALL: u64 = 1_000_000;

/// Maximum rates of calls to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rates {
    /// Writes and deletes per second.
    pub writes: u32,
    /// Reads per second, including listings and watches.
    pub reads: u32,
}

impl Rates {
    /// Divides the rates of all VMs together evenly; each VM gets at least one call per second.
    pub const fn share(total: Self, vms: u32) -> Self {
        let vms = if vms == 0 { 1 } else { vms };
        Self {
            writes: at_least_one(total.writes / vms),
            reads: at_least_one(total.reads / vms),
        }
    }
}

/// Rate that a call counts towards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Rate of writes and deletes.
    Write,
    /// Rate of reads, listings and watches.
    Read,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: u32,
    microtokens: u64,
    last_refill: Time,
}

impl Bucket {
    const fn new(rate: u32) -> Self {
        Self {
            rate,
            microtokens: rate as u64 * MICROTOKENS_PER_CALL,
            last_refill: Time::ZERO,
        }
    }

    fn refill(&mut self, now: Time) {
        let gained = now.0.saturating_sub(self.last_refill.0) * u64::from(self.rate);
        self.microtokens =
            (self.microtokens + gained).min(u64::from(self.rate) * MICROTOKENS_PER_CALL);
        self.last_refill = now;
    }

    fn try_take(&mut self, now: Time) -> Result<(), Duration> {
        self.refill(now);
        if self.microtokens >= MICROTOKENS_PER_CALL {
            self.microtokens -= MICROTOKENS_PER_CALL;
            return Ok(());
        }
        let missing = MICROTOKENS_PER_CALL - self.microtokens;
        Err(Duration::from_micros(
            missing.div_ceil(u64::from(self.rate)),
        ))
    }
}

/// Token buckets for writes and reads; each holds the tokens of one second.
#[derive(Clone, Copy, Debug)]
pub struct RateLimiter {
    writes: Bucket,
    reads: Bucket,
}

impl RateLimiter {
    /// Creates a rate limiter with full buckets.
    pub const fn new(rates: Rates) -> Self {
        Self {
            writes: Bucket::new(at_least_one(rates.writes)),
            reads: Bucket::new(at_least_one(rates.reads)),
        }
    }

    /// Changes the rates; tokens beyond those of one second at the new rate are dropped.
    pub fn set_rates(&mut self, rates: Rates) {
        self.writes.rate = at_least_one(rates.writes);
        self.reads.rate = at_least_one(rates.reads);
    }

    /// Takes the token for a call.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is available, if there is none.
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
