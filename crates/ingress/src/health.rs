//! What calls have shown of an endpoint.
//!
//! Health answers may be false in both directions, so only the calls themselves count. An
//! endpoint that doesn't answer, or that fails much of its work, is rested for a time that
//! doubles while it goes on failing; then its next call is the probe.

use core::time::Duration;
use poplarswitch_entity::Time;

/// First rest of an endpoint that can't be reached.
const FIRST_REST: Duration = Duration::from_millis(500);
/// Longest rest; callers' deadlines are a few seconds.
const LONGEST_REST: Duration = Duration::from_secs(4);
/// Rest of an endpoint that refuses calls because it is full.
const FULL_REST: Duration = Duration::from_millis(100);
/// Weight of the newest call in the share of failures.
const NEWEST_WEIGHT: f64 = 0.15;
/// Share of failures above which an endpoint is rested.
const FAILING: f64 = 0.45;
/// Share of failures that is remembered after a rest.
const AFTER_REST: f64 = 0.25;

/// Health of one life of an endpoint, as this VM's calls have shown it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    ejected_until: Time,
    full_until: Time,
    ejections: u32,
    failure_rate: f64,
}

impl Health {
    /// A call was answered well.
    pub fn record_success(&mut self) {
        self.ejections = 0;
        self.failure_rate -= self.failure_rate * NEWEST_WEIGHT;
    }

    /// A call failed; returns whether the endpoint is rested from now on.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.failure_rate += (1.0 - self.failure_rate) * NEWEST_WEIGHT;
        if self.failure_rate < FAILING {
            return false;
        }
        self.failure_rate = AFTER_REST;
        self.eject(now);
        true
    }

    /// No connection could be opened; the endpoint is rested.
    pub fn record_unreachable(&mut self, now: Time) {
        self.failure_rate += (1.0 - self.failure_rate) * NEWEST_WEIGHT;
        self.eject(now);
    }

    /// The endpoint refused a call because it is full.
    pub fn record_full(&mut self, now: Time) {
        self.full_until = now + FULL_REST;
    }

    /// Whether calls should go elsewhere.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Whether it refused a call a moment ago.
    pub fn is_full(&self, now: Time) -> bool {
        now < self.full_until
    }

    /// Share of calls that fail, from 0 to 1.
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn eject(&mut self, now: Time) {
        // Calls that were under way when the rest began say nothing new.
        if self.is_ejected(now) {
            return;
        }
        let rest = FIRST_REST * 2_u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = now + rest.min(LONGEST_REST);
        self.ejections += 1;
    }
}
