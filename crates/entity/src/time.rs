//! Points in time, as passed to state machines without I/O.

use core::{
    ops::{Add, Sub},
    time::Duration,
};
use serde::{Deserialize, Serialize};

/// Microseconds since the start of the process's clock, which may be real or simulated.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);
    /// The latest time.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a time from milliseconds since the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// The duration since an earlier time, or zero if that time is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Seconds since the start of the clock.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(saturating_micros(rhs)))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(saturating_micros(rhs)))
    }
}

fn saturating_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
