//! How many engines are kept beyond the observed load, and how fast their number changes.

use core::time::Duration;
use serde::{Deserialize, Serialize};

/// Headroom and pace of the numbers of engines, as the operator sets them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Ratio of the kept engines to those that the peak of the last 30 s needed; 1 to 4.
    pub headroom: f64,
    /// Ratio to the mean load of a burst that is served before new engines are; 1 to 10.
    pub surge: f64,
    /// Engines that may come or go in a second; 0.1 to 10,000.
    pub change_rate: f64,
    /// Share of the engines that goes in one step; 0.01 to 1.
    pub step: f64,
    /// Time after a raise before superfluous engines go, in milliseconds; up to 10 minutes.
    pub hold_ms: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            headroom: 1.1,
            surge: 1.8,
            change_rate: 60.0,
            step: 0.17,
            hold_ms: 20_000,
        }
    }
}

impl Policy {
    /// Validates the values; returns one error for each that is out of its range.
    pub fn check(&self) -> Vec<String> {
        let hold = self.hold_ms as f64;
        let fields = [
            ("headroom", self.headroom, 1.0, 4.0),
            ("surge", self.surge, 1.0, 10.0),
            ("change_rate", self.change_rate, 0.1, 10_000.0),
            ("step", self.step, 0.01, 1.0),
            ("hold_ms", hold, 0.0, 600_000.0),
        ];
        let wrong = fields
            .into_iter()
            .filter(|(_, value, min, max)| !(*min..=*max).contains(value));
        let error = |(name, value, min, max): (&str, f64, f64, f64)| {
            format!("{name}: {value} is not between {min} and {max}")
        };
        wrong.map(error).collect()
    }

    pub(crate) const fn hold(&self) -> Duration {
        Duration::from_millis(self.hold_ms)
    }
}
