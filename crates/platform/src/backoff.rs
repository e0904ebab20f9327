//! Exponential backoff with full jitter.

use core::time::Duration;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The upper bound of the first wait.
const FIRST: Duration = Duration::from_millis(100);
/// The upper bound of every wait.
const LONGEST: Duration = Duration::from_secs(10);

/// Waits that grow with each failure and differ between VMs.
#[derive(Clone, Debug)]
pub struct Backoff {
    bound: Duration,
    random: Pcg64Mcg,
}

impl Backoff {
    /// Starts at the shortest wait.
    pub fn new(seed: u64) -> Self {
        Self {
            bound: FIRST,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The wait after one more failure.
    pub fn next_wait(&mut self) -> Duration {
        let bound = self.bound.as_micros() as u64;
        self.bound = (self.bound * 2).min(LONGEST);
        Duration::from_micros(self.random.random_range(bound / 2..=bound))
    }

    /// Forgets the failures.
    pub const fn reset(&mut self) {
        self.bound = FIRST;
    }
}
