//! Arrival times of calls.

use core::time::Duration;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Poisson arrival times, as offsets from the start of the run.
#[derive(Debug)]
pub(crate) struct Arrivals {
    random: Pcg64Mcg,
    rate: f64,
    offset_s: f64,
    end_s: f64,
}

impl Arrivals {
    /// Arrivals at a mean rate in calls per second, before `end`.
    pub(crate) fn new(rate: f64, end: Duration, seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            rate,
            offset_s: 0.0,
            end_s: end.as_secs_f64(),
        }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        let uniform: f64 = self.random.random();
        self.offset_s -= (1.0 - uniform).ln() / self.rate;
        (self.offset_s < self.end_s).then(|| Duration::from_secs_f64(self.offset_s))
    }
}
