//! Difference between the time of day that another VM tells and the time of this VM's clock.
//!
//! A message that was read late shows too early a time of day, as do all that arrived while this VM was
//! suspended. A later time is taken over at once, an earlier one only if all messages of a while agree.

use core::time::Duration;
use poplarswitch_entity::Time;

/// Time for which messages must show an earlier time of day before it is taken over.
const CONFIRM_TIME: Duration = Duration::from_secs(3);
/// Difference that isn't corrected, in milliseconds.
const TOLERANCE_MS: i64 = 20;

/// Unix time minus the time of this VM's clock.
#[derive(Clone, Copy, Debug)]
pub struct ClockOffset {
    offset_ms: i64,
    is_told: bool,
    /// Since when messages have shown an earlier time of day, and the latest that they have shown.
    earlier: Option<(Time, i64)>,
}

impl ClockOffset {
    /// Creates the offset of a VM that nobody has told the time of day; `unix_ms` is what its own
    /// system says at `now`.
    pub const fn new(now: Time, unix_ms: u64) -> Self {
        Self {
            offset_ms: unix_ms.cast_signed() - millis(now),
            is_told: false,
            earlier: None,
        }
    }

    /// Takes in the time of day in a message that was read at `now`.
    pub fn hear(&mut self, now: Time, unix_ms: u64) {
        let offset_ms = unix_ms.cast_signed() - millis(now);
        if !self.is_told || offset_ms >= self.offset_ms - TOLERANCE_MS {
            let is_earlier = self.is_told && offset_ms < self.offset_ms;
            if !is_earlier {
                self.set(offset_ms);
            }
            self.earlier = None;
            return;
        }
        let (since, latest) = self.earlier.get_or_insert((now, offset_ms));
        *latest = offset_ms.max(*latest);
        if now.since(*since) >= CONFIRM_TIME {
            let latest = *latest;
            self.set(latest);
        }
    }

    /// Sets the offset, in milliseconds.
    pub const fn set(&mut self, offset_ms: i64) {
        self.offset_ms = offset_ms;
        self.is_told = true;
        self.earlier = None;
    }

    /// The offset in milliseconds.
    pub const fn millis(&self) -> i64 {
        self.offset_ms
    }

    /// Time of day in Unix milliseconds.
    pub fn unix_ms(&self, now: Time) -> u64 {
        (millis(now) + self.offset_ms).max(0).cast_unsigned()
    }
}

/// Milliseconds of this VM's clock.
const fn millis(now: Time) -> i64 {
    (now.0 / 1_000).cast_signed()
}
