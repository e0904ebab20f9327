//! Times and answer lengths of the recent calls of one class on one route.

use crate::Sketch;
use core::time::Duration;

/// Decaying quantiles of the calls of one class on one route.
#[derive(Clone, Debug, Default)]
pub struct Profile {
    first_output: Sketch,
    duration: Sketch,
    tokens: Sketch,
    time_per_token: Sketch,
}

impl Profile {
    /// Records the time from dispatch to first output.
    pub fn record_first_output(&mut self, elapsed: Duration) {
        self.first_output.record(elapsed.as_micros() as u64);
    }

    /// Records the duration and the length in tokens of a complete answer.
    pub fn record_answer(&mut self, elapsed: Duration, tokens: u32) {
        self.duration.record(elapsed.as_micros() as u64);
        self.tokens.record(u64::from(tokens));
    }

    /// Records the mean time per token over a part of an answer.
    pub fn record_time_per_token(&mut self, per_token: Duration) {
        self.time_per_token.record(per_token.as_micros() as u64);
    }

    /// Number of answers recorded, after decay.
    pub fn count(&self) -> u64 {
        self.duration.count()
    }

    /// Number of times per token recorded, after decay.
    pub fn time_per_token_count(&self) -> u64 {
        self.time_per_token.count()
    }

    /// Median time per token, if any was recorded.
    pub fn time_per_token_median(&self) -> Option<Duration> {
        self.time_per_token.median().map(Duration::from_micros)
    }

    /// Median time from dispatch to first output, if any was recorded.
    pub fn first_output_median(&self) -> Option<Duration> {
        self.first_output.median().map(Duration::from_micros)
    }

    /// Time from dispatch to first output that 95 in 100 calls do not exceed.
    pub fn first_output_p95(&self) -> Option<Duration> {
        self.first_output.p95().map(Duration::from_micros)
    }

    /// Median time that a call holds its slot.
    pub fn duration_median(&self) -> Option<Duration> {
        self.duration.median().map(Duration::from_micros)
    }

    /// Mean time that a call holds its slot.
    pub fn duration_mean(&self) -> Option<Duration> {
        self.duration.mean().map(Duration::from_micros)
    }

    /// Time that 95 in 100 calls hold their slot at most.
    pub fn duration_p95(&self) -> Option<Duration> {
        self.duration.p95().map(Duration::from_micros)
    }

    /// Median length of an answer, in tokens.
    pub fn tokens_median(&self) -> Option<u64> {
        self.tokens.median()
    }

    /// Length that 95 in 100 answers do not exceed, in tokens.
    pub fn tokens_p95(&self) -> Option<u64> {
        self.tokens.p95()
    }
}
