//! A histogram whose old samples decay.
//!
//! Reading a quantile scans the histogram, so the quantiles in use are cached and refreshed
//! after every few samples instead of at each read.

use hdrhistogram::Histogram;

/// Largest value that is recorded, in the caller's unit; larger ones are clamped to it.
const MAX_VALUE: u64 = 1 << 32;
/// Significant decimal digits that are kept of each value.
const SIGNIFICANT_DIGITS: u8 = 1;
/// Number of held samples at which all counts are halved.
const DECAY_SAMPLES: u64 = 1_024;
/// Samples between two refreshes of the cached quantiles.
const REFRESH_SAMPLES: u32 = 16;
/// Number of samples up to which each sample refreshes the cached quantiles.
const WARM_UP_SAMPLES: u64 = 32;
/// Quantile that is cached besides the median, as a pessimistic estimate.
const P95: f64 = 0.95;

/// Decaying quantiles of one quantity.
#[derive(Clone, Debug)]
pub struct Sketch {
    histogram: Histogram<u32>,
    sum: f64,
    pending: u32,
    median: u64,
    p95: u64,
}

impl Default for Sketch {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_VALUE, SIGNIFICANT_DIGITS)
            .expect("constant bounds are valid");
        Self {
            histogram,
            sum: 0.0,
            pending: 0,
            median: 0,
            p95: 0,
        }
    }
}

impl Sketch {
    /// Adds a sample; it is clamped to the range from 1 to 2^32.
    pub fn record(&mut self, value: u64) {
        let value = value.clamp(1, MAX_VALUE);
        self.histogram.saturating_record(value);
        self.sum += value as f64;
        self.pending += 1;
        if self.histogram.len() >= DECAY_SAMPLES {
            self.decay();
        }
        if self.pending >= REFRESH_SAMPLES || self.histogram.len() <= WARM_UP_SAMPLES {
            self.refresh();
        }
    }

    /// Number of samples held, after decay.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// The median, if any sample was recorded.
    pub fn median(&self) -> Option<u64> {
        (self.count() > 0).then_some(self.median)
    }

    /// The value that 95 in 100 samples do not exceed, if any was recorded.
    pub fn p95(&self) -> Option<u64> {
        (self.count() > 0).then_some(self.p95)
    }

    /// The mean, if any sample was recorded.
    pub fn mean(&self) -> Option<u64> {
        (self.count() > 0).then(|| (self.sum / self.count() as f64) as u64)
    }

    fn decay(&mut self) {
        let before = self.histogram.len() as f64;
        let halved: Vec<(u64, u32)> = self
            .histogram
            .iter_recorded()
            .map(|step| (step.value_iterated_to(), step.count_at_value() / 2))
            .collect();
        self.histogram.reset();
        for (value, count) in halved {
            self.histogram.saturating_record_n(value, count);
        }
        self.sum *= self.histogram.len() as f64 / before;
    }

    fn refresh(&mut self) {
        self.pending = 0;
        self.median = self.histogram.value_at_quantile(0.5);
        self.p95 = self.histogram.value_at_quantile(P95);
    }
}
