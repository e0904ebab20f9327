//! An exponentially decaying rate per second.

use core::time::Duration;
use poplarswitch_entity::Time;

/// A rate per second, averaged over a time window with exponential decay.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    window: Duration,
    level: f64,
    last: Time,
}

impl Meter {
    /// Creates a meter at zero; an event has hardly any weight after a few windows.
    pub const fn new(window: Duration) -> Self {
        Self {
            window,
            level: 0.0,
            last: Time::ZERO,
        }
    }

    /// Adds an amount at a time.
    pub fn add(&mut self, now: Time, amount: f64) {
        self.level = self.level_at(now) + amount;
        self.last = self.last.max(now);
    }

    /// The rate at a time, in amount per second.
    pub fn rate(&self, now: Time) -> f64 {
        self.level_at(now) / self.window.as_secs_f64()
    }

    fn level_at(&self, now: Time) -> f64 {
        let age = now.since(self.last).as_secs_f64();
        self.level * (-age / self.window.as_secs_f64()).exp()
    }
}
