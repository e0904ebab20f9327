//! Who is let in, and when a refused caller should come back.
//!
//! A VM bounds the calls that it holds by its memory. A call that can't be placed is refused
//! unrun at once; the time after which its caller should return grows with the number of
//! refusals, and is spread so that callers don't return together.

use crate::hash::hash_text;
use core::time::Duration;
use poplarswitch_entity::Time;

/// Memory that a call in flight takes, its connections included.
const CALL_BYTES: u64 = 48 << 10;
/// Part of the memory that calls may take.
const CALLS_PERCENT: u64 = 50;
/// Shortest wait that a refused caller is told.
const LEAST_WAIT: Duration = Duration::from_millis(100);
/// Part of its time that a caller is told to wait at most; callers wait a third of it.
const MOST_PART: u32 = 4;
/// Time in which the pressure of refusals halves.
const PRESSURE_HALF: Duration = Duration::from_millis(400);
/// Wait for each refusal of the last moments.
const WAIT_STEP: Duration = Duration::from_millis(400);

/// Whether a call is let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is.
    Admitted,
    /// It is refused unrun.
    Refused {
        /// When its caller should come back.
        retry_after: Duration,
    },
}

/// The gate of a VM.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionControl {
    max_calls: usize,
    recent_refusals: f64,
    updated: Time,
}

impl AdmissionControl {
    /// For a VM with an amount of memory, in bytes.
    pub const fn new(memory: u64) -> Self {
        Self {
            max_calls: (memory * CALLS_PERCENT / 100 / CALL_BYTES) as usize,
            recent_refusals: 0.0,
            updated: Time::ZERO,
        }
    }

    /// Lets a call in unless the VM holds as many as it can.
    pub fn admit(&mut self, now: Time, in_flight: usize, call: &str, left: Duration) -> Admission {
        if in_flight < self.max_calls {
            return Admission::Admitted;
        }
        Admission::Refused {
            retry_after: self.record_refusal(now, call, left),
        }
    }

    /// Notes a refusal of a call with some time left; returns when its caller should come back.
    pub fn record_refusal(&mut self, now: Time, call: &str, left: Duration) -> Duration {
        let halves = now.since(self.updated).as_secs_f64() / PRESSURE_HALF.as_secs_f64();
        self.recent_refusals = self.recent_refusals * 0.5_f64.powf(halves) + 1.0;
        self.updated = now;
        let most = (left / MOST_PART).max(LEAST_WAIT);
        let longest = (LEAST_WAIT + WAIT_STEP.mul_f64(self.recent_refusals)).min(most);
        let spread = (hash_text(call) % 1_000) as f64 / 1_000.0;
        LEAST_WAIT + longest.saturating_sub(LEAST_WAIT).mul_f64(spread)
    }
}
