//! Exponential backoff with jitter.

use core::time::Duration;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Upper bound of the first wait.
const INITIAL_BOUND: Duration = Duration::from_millis(100);
/// Upper bound of all waits.
const MAX_BOUND: Duration = Duration::from_secs(10);

/// Exponentially growing waits after failures. Each is drawn at random from the upper half of the
/// range up to its bound, so that VMs don't retry at the same time.
#[derive(Clone, Debug)]
pub struct Backoff {
    bound: Duration,
    rng: Pcg64Mcg,
}

impl Backoff {
    /// Creates a backoff that starts at the shortest wait.
    pub fn new(seed: u64) -> Self {
        Self {
            bound: INITIAL_BOUND,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns the wait after another failure and doubles the bound of the next wait.
    pub fn next_wait(&mut self) -> Duration {
        let bound = self.bound.as_micros() as u64;
        self.bound = (self.bound * 2).min(MAX_BOUND);
        Duration::from_micros(self.rng.random_range(bound / 2..=bound))
    }

    /// Returns to the shortest wait after a success.
    pub const fn reset(&mut self) {
        self.bound = INITIAL_BOUND;
    }
}
