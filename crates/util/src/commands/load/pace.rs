//! When calls start.

use core::time::Duration;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Arrival times of independent callers, as offsets from the start.
#[derive(Debug)]
pub(crate) struct Pace {
    random: Pcg64Mcg,
    rate: f64,
    at: f64,
    end: f64,
}

impl Pace {
    /// Arrivals at a mean rate a second, up to an end.
    pub(crate) fn new(rate: f64, end: Duration, seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            rate,
            at: 0.0,
            end: end.as_secs_f64(),
        }
    }
}

impl Iterator for Pace {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        let uniform: f64 = self.random.random();
        self.at -= (1.0 - uniform).ln() / self.rate;
        (self.at < self.end).then(|| Duration::from_secs_f64(self.at))
    }
}
