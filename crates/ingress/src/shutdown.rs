//! How a VM leaves.
//!
//! Callers keep an address for some time and open connections for longer, so a leaving VM goes
//! on serving them: it is out of the directory at once, answers short calls to the end, and
//! refuses unrun those calls that can't end before the process is killed.

use core::time::Duration;
use poplarswitch_entity::Time;

/// Part of the grace after which calls that last long are refused.
const LONG_CALLS_PERCENT: u32 = 37;
/// Part of the grace after which all calls are refused.
const ALL_CALLS_PERCENT: u32 = 80;
/// Time before the end of the grace at which the process ends in any case.
const MARGIN: Duration = Duration::from_millis(300);

/// Where a VM stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStage {
    /// It serves.
    Serving,
    /// It leaves, and still takes every call.
    Lingering,
    /// It takes calls that end soon.
    ShortOnly,
    /// It takes no calls.
    Closed,
    /// It is time to end.
    Finished,
}

/// The way out of a VM.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    grace: Duration,
    linger: Duration,
    started_at: Option<Time>,
}

impl Shutdown {
    /// A VM that serves; `grace` is the time from the signal to the kill, `linger` the time for
    /// which callers may keep its address.
    pub const fn new(grace: Duration, linger: Duration) -> Self {
        Self {
            grace,
            linger,
            started_at: None,
        }
    }

    /// Starts to leave; a second signal changes nothing.
    pub fn start(&mut self, now: Time) {
        self.started_at.get_or_insert(now);
    }

    /// Whether it leaves.
    pub const fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Where it stands, with a number of calls in flight.
    pub fn stage(&self, now: Time, in_flight: usize) -> ShutdownStage {
        let Some(since) = self.started_at else {
            return ShutdownStage::Serving;
        };
        let gone = now.since(since);
        if gone + MARGIN >= self.grace || (in_flight == 0 && gone >= self.linger) {
            ShutdownStage::Finished
        } else if gone >= self.grace * ALL_CALLS_PERCENT / 100 {
            ShutdownStage::Closed
        } else if gone >= self.grace * LONG_CALLS_PERCENT / 100 {
            ShutdownStage::ShortOnly
        } else {
            ShutdownStage::Lingering
        }
    }
}
