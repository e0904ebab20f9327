//! Hybrid logical clock.
//!
//! A stamp consists of wall-clock milliseconds and a counter. The counter goes up while the
//! wall clock is not past the latest stamp: within one millisecond, after the wall clock was set
//! back, or after a message from a VM whose clock runs ahead.

use core::fmt;
use serde::{Deserialize, Serialize};

/// Maximum lead of a received stamp over the wall clock; stamps beyond it are ignored.
pub const MAX_AHEAD_MS: u64 = 60_000;

/// Time of the hybrid logical clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Counter that orders the stamps of one millisecond.
    pub count: u32,
}

impl Stamp {
    /// Earlier than the stamp of any event.
    pub const START: Self = Self {
        wall_ms: 0,
        count: 0,
    };

    /// The least stamp after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        match self.count.checked_add(1) {
            Some(count) => Self {
                wall_ms: self.wall_ms,
                count,
            },
            None => Self {
                wall_ms: self.wall_ms.saturating_add(1),
                count: 0,
            },
        }
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04}", self.wall_ms, self.count)
    }
}

/// Source of strictly increasing stamps.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    last: Stamp,
    ignored: u64,
}

impl Clock {
    /// Creates a clock whose latest stamp is [`Stamp::START`].
    pub fn new() -> Self {
        Self::default()
    }

    /// The latest stamp, to be sent with messages.
    pub const fn last(&self) -> Stamp {
        self.last
    }

    /// Number of received stamps that were ignored because they were too far ahead.
    pub const fn ignored(&self) -> u64 {
        self.ignored
    }

    /// Returns the stamp of a local event, given the wall clock in Unix milliseconds.
    pub fn tick(&mut self, wall_ms: u64) -> Stamp {
        let wall = Stamp { wall_ms, count: 0 };
        self.last = wall.max(self.last.next());
        self.last
    }

    /// Advances the clock to a stamp that was received with a message.
    pub fn observe(&mut self, wall_ms: u64, received: Stamp) {
        if received.wall_ms > wall_ms.saturating_add(MAX_AHEAD_MS) {
            self.ignored += 1;
            return;
        }
        self.last = self.last.max(received);
    }
}
