//! The hybrid logical clock.
//!
//! A stamp is the wall clock's milliseconds and a counter. The counter goes up when the wall
//! clock has not moved on, or when a message came from a VM whose clock runs ahead.

use core::fmt;
use serde::{Deserialize, Serialize};

/// How far a received stamp may be ahead of the wall clock before it is ignored.
pub const MAX_AHEAD_MS: u64 = 60_000;

/// A point on the hybrid logical clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Counts the events of one millisecond.
    pub count: u32,
}

impl Stamp {
    /// Earlier than any event.
    pub const START: Self = Self {
        wall_ms: 0,
        count: 0,
    };

    /// The first stamp after this one.
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

/// Gives stamps that only go up.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    last: Stamp,
    ignored: u64,
}

impl Clock {
    /// Starts before any event.
    pub fn new() -> Self {
        Self::default()
    }

    /// The latest stamp given, to be sent with messages.
    pub const fn last(&self) -> Stamp {
        self.last
    }

    /// Received stamps that were too far ahead to follow.
    pub const fn ignored(&self) -> u64 {
        self.ignored
    }

    /// Stamps a local event.
    pub fn tick(&mut self, wall_ms: u64) -> Stamp {
        let wall = Stamp { wall_ms, count: 0 };
        self.last = wall.max(self.last.next());
        self.last
    }

    /// Moves past a stamp that came with a message.
    pub fn observe(&mut self, wall_ms: u64, received: Stamp) {
        if received.wall_ms > wall_ms.saturating_add(MAX_AHEAD_MS) {
            self.ignored += 1;
            return;
        }
        self.last = self.last.max(received);
    }
}
