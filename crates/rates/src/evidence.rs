//! Sums of what calls showed, with exponential decay.

use core::time::Duration;
use poplarswitch_entity::Time;

/// Time in which the weight of what calls showed falls to half.
const HALF_LIFE: Duration = Duration::from_secs(12);

/// Sums over calls whose weight decays.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Evidence {
    /// Calls.
    pub(crate) weight: f64,
    /// Sum of the values of the calls.
    pub(crate) sum: f64,
    /// Sum of the squares of the observed values, each weighted by its calls.
    pub(crate) squares: f64,
    /// Observations; several calls that another VM tells of together are one.
    pub(crate) count: f64,
    pub(crate) at: Time,
}

impl Evidence {
    /// One observation, which is the mean of `weight` calls.
    pub(crate) fn of(now: Time, weight: f64, value: f64) -> Self {
        Self {
            weight,
            sum: weight * value,
            squares: weight * value * value,
            count: 1.0,
            at: now,
        }
    }

    /// The evidence after decay up to `now`.
    pub(crate) fn at(self, now: Time) -> Self {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(half_lives);
        Self {
            weight: self.weight * factor,
            sum: self.sum * factor,
            squares: self.squares * factor,
            count: self.count * factor,
            at: self.at.max(now),
        }
    }

    /// Both together, as of the same time.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            weight: self.weight + other.weight,
            sum: self.sum + other.sum,
            squares: self.squares + other.squares,
            count: self.count + other.count,
            at: self.at,
        }
    }

    /// What is left without a part of it, as of the same time.
    pub(crate) fn minus(self, part: Self) -> Self {
        Self {
            weight: (self.weight - part.weight).max(0.0),
            sum: self.sum - part.sum,
            squares: self.squares - part.squares,
            count: (self.count - part.count).max(0.0),
            at: self.at,
        }
    }

    /// The same calls, with each value replaced by what it is below `reference`.
    pub(crate) fn below(self, reference: f64) -> Self {
        Self {
            sum: self.weight * reference - self.sum,
            squares: (self.weight * reference - 2.0 * self.sum) * reference + self.squares,
            ..self
        }
    }

    /// Mean value of a call.
    pub(crate) fn mean(self) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            0.0
        }
    }
}
