//! Admission control and retry delays for refused calls.
//!
//! A VM limits the calls in flight by its memory; see [`crate::memory`]. A call that can't be placed is
//! refused at once, before any endpoint has run it. The refusal tells the caller when to retry: the delay grows with
//! the number of recent refusals and is spread over an interval, so that refused callers don't all
//! retry at the same time.

use crate::hash::hash_text;
use core::time::Duration;
use poplarswitch_entity::Time;

/// Minimum delay that a refused caller is given.
const MIN_DELAY: Duration = Duration::from_millis(100);
/// Divisor of the caller's remaining time that gives the maximum delay: a quarter, because callers
/// wait for at most a third of their remaining time.
const MAX_DELAY_DIVISOR: u32 = 4;
/// Time in which the count of recent refusals decays to half.
const REFUSAL_HALF_LIFE: Duration = Duration::from_millis(400);
/// Delay added for each recent refusal.
const DELAY_PER_REFUSAL: Duration = Duration::from_millis(400);

/// Computes the retry delays of refused calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionControl {
    recent_refusals: f64,
    updated: Time,
}

impl AdmissionControl {
    /// Records a refusal and returns the delay after which the caller should retry, given its
    /// remaining time.
    pub fn record_refusal(&mut self, now: Time, call_id: &str, time_left: Duration) -> Duration {
        let half_lives = now.since(self.updated).as_secs_f64() / REFUSAL_HALF_LIFE.as_secs_f64();
        self.recent_refusals = self.recent_refusals * 0.5_f64.powf(half_lives) + 1.0;
        self.updated = now;
        let max_delay = (time_left / MAX_DELAY_DIVISOR).max(MIN_DELAY);
        let longest = (MIN_DELAY + DELAY_PER_REFUSAL.mul_f64(self.recent_refusals)).min(max_delay);
        let spread = (hash_text(call_id) % 1_000) as f64 / 1_000.0;
        MIN_DELAY + longest.saturating_sub(MIN_DELAY).mul_f64(spread)
    }
}
