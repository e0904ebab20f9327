//! An exponentially weighted moving average.

/// Weight of a new sample once enough samples have been recorded.
const MIN_WEIGHT: f64 = 0.15;

/// An exponentially weighted moving average; a plain mean for the first samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ewma {
    mean: f64,
    count: u32,
}

impl Ewma {
    /// Adds a sample; each of the first ones has the weight that it has in a plain mean.
    pub fn record(&mut self, sample: f64) {
        self.count = self.count.saturating_add(1);
        let weight = MIN_WEIGHT.max(1.0 / f64::from(self.count));
        self.mean += (sample - self.mean) * weight;
    }

    /// The average; zero before the first sample.
    pub const fn mean(&self) -> f64 {
        self.mean
    }

    /// Number of samples recorded.
    pub const fn count(&self) -> u32 {
        self.count
    }
}
