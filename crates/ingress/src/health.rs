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
    rest_until: Time,
    full_until: Time,
    streak: u32,
    failing: f64,
}

impl Health {
    /// A call was answered well.
    pub fn note_success(&mut self) {
        self.streak = 0;
        self.failing -= self.failing * NEWEST_WEIGHT;
    }

    /// A call failed; returns whether the endpoint is rested from now on.
    pub fn note_failure(&mut self, now: Time) -> bool {
        self.failing += (1.0 - self.failing) * NEWEST_WEIGHT;
        if self.failing < FAILING {
            return false;
        }
        self.failing = AFTER_REST;
        self.rest(now);
        true
    }

    /// No connection could be opened; the endpoint is rested.
    pub fn note_unreachable(&mut self, now: Time) {
        self.failing += (1.0 - self.failing) * NEWEST_WEIGHT;
        self.rest(now);
    }

    /// The endpoint refused a call because it is full.
    pub fn note_full(&mut self, now: Time) {
        self.full_until = now + FULL_REST;
    }

    /// Whether calls should go elsewhere.
    pub fn is_resting(&self, now: Time) -> bool {
        now < self.rest_until
    }

    /// Whether it refused a call a moment ago.
    pub fn is_full(&self, now: Time) -> bool {
        now < self.full_until
    }

    /// Share of calls that fail, from 0 to 1.
    pub const fn failing(&self) -> f64 {
        self.failing
    }

    fn rest(&mut self, now: Time) {
        // Calls that were under way when the rest began say nothing new.
        if self.is_resting(now) {
            return;
        }
        let rest = FIRST_REST * 2_u32.saturating_pow(self.streak.min(8));
        self.rest_until = now + rest.min(LONGEST_REST);
        self.streak += 1;
    }
}
