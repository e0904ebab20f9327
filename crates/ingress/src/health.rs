//! Health of endpoints as observed by calls.
//!
//! Health checks can be wrong in both directions, so only the results of calls count. An endpoint
//! that doesn't answer, or that fails a large share of its calls, is ejected for a time that
//! doubles with each ejection until a call succeeds. After that time, the next call serves as the
//! probe.

use core::time::Duration;
use poplarswitch_entity::Time;

/// Duration of the first ejection.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Maximum duration of an ejection; callers' deadlines are a few seconds.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Time for which an endpoint gets no calls after it refused one because it was full.
const FULL_BACKOFF: Duration = Duration::from_millis(100);
/// Weight of the newest call in the failure rate.
const EWMA_WEIGHT: f64 = 0.15;
/// Failure rate from which an endpoint is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.45;
/// Failure rate that is assumed after an ejection.
const POST_EJECTION_RATE: f64 = 0.25;

/// Health of one incarnation of an endpoint, as observed by this VM's calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    ejected_until: Time,
    full_until: Time,
    ejections: u32,
    failure_rate: f64,
}

impl Health {
    /// Records a call that was answered successfully.
    pub fn record_success(&mut self) {
        self.ejections = 0;
        self.failure_rate -= self.failure_rate * EWMA_WEIGHT;
    }

    /// Records a failed call; returns true if the failure rate has reached the limit for ejection.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.failure_rate += (1.0 - self.failure_rate) * EWMA_WEIGHT;
        if self.failure_rate < EJECTION_FAILURE_RATE {
            return false;
        }
        self.failure_rate = POST_EJECTION_RATE;
        self.eject(now);
        true
    }

    /// Records a failed connection attempt and ejects the endpoint.
    pub fn record_unreachable(&mut self, now: Time) {
        self.failure_rate += (1.0 - self.failure_rate) * EWMA_WEIGHT;
        self.eject(now);
    }

    /// Records a connection that was opened after others had failed, and ends the ejection.
    pub fn record_reachable(&mut self) {
        self.ejected_until = Time::default();
        self.ejections = 0;
    }

    /// Records a refusal because the endpoint is full.
    pub fn record_full(&mut self, now: Time) {
        self.full_until = now + FULL_BACKOFF;
    }

    /// Whether the endpoint is ejected, so that calls go elsewhere.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Whether the endpoint refused a call a short time ago.
    pub fn is_full(&self, now: Time) -> bool {
        now < self.full_until
    }

    /// Moving average of the share of failed calls, from 0 to 1.
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn eject(&mut self, now: Time) {
        // Failures of calls that were already in flight at the ejection give no new information.
        if self.is_ejected(now) {
            return;
        }
        let ejection = MIN_EJECTION * 2_u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = now + ejection.min(MAX_EJECTION);
        self.ejections += 1;
    }
}
