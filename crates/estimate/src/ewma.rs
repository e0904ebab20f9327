//! An exponentially weighted mean.

/// Weight of a new sample.
const WEIGHT: f64 = 0.15;

/// A mean that follows recent samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ewma {
    mean: f64,
    count: u32,
}

impl Ewma {
    /// Adds a sample; the first ones weigh as in a plain mean.
    pub fn record(&mut self, sample: f64) {
        self.count = self.count.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.count));
        self.mean += (sample - self.mean) * weight;
    }

    /// The mean, zero before the first sample.
    pub const fn mean(&self) -> f64 {
        self.mean
    }

    /// Samples seen.
    pub const fn count(&self) -> u32 {
        self.count
    }
}
