//! A histogram whose old samples fade.
//!
//! Reading a quantile walks the histogram, so the quantiles that decisions use are kept and
//! refreshed every few samples instead of at each read.

use hdrhistogram::Histogram;

/// Largest value told apart, in the caller's unit.
const MAX_VALUE: u64 = 1 << 32;
/// Significant decimal digits kept of each value.
const DIGITS: u8 = 1;
/// Samples after which all weights are halved.
const HALF_LIFE: u64 = 1_024;
/// Samples between two refreshes of the kept quantiles.
const REFRESH: u32 = 16;
/// Samples up to which each one refreshes the kept quantiles.
const EARLY: u64 = 32;
/// The quantile that stands for a bad case.
const HIGH: f64 = 0.95;

/// Decaying quantiles of one quantity.
#[derive(Clone, Debug)]
pub struct Sketch {
    histogram: Histogram<u32>,
    sum: f64,
    pending: u32,
    median: u64,
    high: u64,
}

impl Default for Sketch {
    fn default() -> Self {
        let histogram =
            Histogram::new_with_bounds(1, MAX_VALUE, DIGITS).expect("constant bounds are valid");
        Self {
            histogram,
            sum: 0.0,
            pending: 0,
            median: 0,
            high: 0,
        }
    }
}

impl Sketch {
    /// Adds a sample; values beyond the range count as its ends.
    pub fn record(&mut self, value: u64) {
        let value = value.clamp(1, MAX_VALUE);
        self.histogram.saturating_record(value);
        self.sum += value as f64;
        self.pending += 1;
        if self.histogram.len() >= HALF_LIFE {
            self.fade();
        }
        if self.pending >= REFRESH || self.histogram.len() <= EARLY {
            self.refresh();
        }
    }

    /// Samples held, after decay.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// The middle value, if any sample was seen.
    pub fn median(&self) -> Option<u64> {
        (self.count() > 0).then_some(self.median)
    }

    /// The value that 95 in 100 samples do not exceed.
    pub fn p95(&self) -> Option<u64> {
        (self.count() > 0).then_some(self.high)
    }

    /// The mean, if any sample was seen.
    pub fn mean(&self) -> Option<u64> {
        (self.count() > 0).then(|| (self.sum / self.count() as f64) as u64)
    }

    fn fade(&mut self) {
        let before = self.histogram.len() as f64;
        let halves: Vec<(u64, u32)> = self
            .histogram
            .iter_recorded()
            .map(|step| (step.value_iterated_to(), step.count_at_value() / 2))
            .collect();
        self.histogram.reset();
        for (value, count) in halves {
            self.histogram.saturating_record_n(value, count);
        }
        self.sum *= self.histogram.len() as f64 / before;
    }

    fn refresh(&mut self) {
        self.pending = 0;
        self.median = self.histogram.value_at_quantile(0.5);
        self.high = self.histogram.value_at_quantile(HIGH);
    }
}
