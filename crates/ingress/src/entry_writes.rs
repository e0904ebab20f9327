//! When a VM writes its entry in the platform again.
//!
//! Changes of holds and versions wait a little, so that one write has those that come together.
//! Streams of services with several versions don't wait for them, since a loss of all VMs leaves only
//! what is written; [`crate::StreamOrigins::streams_due`] tells when. A failed write is repeated soon:
//! until then the entry lacks all streams that have begun since the last one.

use core::time::Duration;
use poplarswitch_entity::Time;

/// Delay of a write after a change, so that one write has changes that come together, and none of a
/// hold that ends with its first trial.
const CHANGE_DELAY: Duration = Duration::from_millis(350);
/// Delay after a first failed write; doubles with each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay after a failed write.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// A failed write.
#[derive(Clone, Copy, Debug)]
struct Failure {
    at: Time,
    delay: Duration,
}

/// Schedule of the writes of a VM's entry.
#[derive(Clone, Debug, Default)]
pub struct EntrySchedule {
    /// When a change has to be written.
    change_due: Option<Time>,
    /// When the entry has to be written in any case.
    rewrite_due: Option<Time>,
    failure: Option<Failure>,
}

impl EntrySchedule {
    /// Plans a write of a change of holds or versions.
    pub fn note_change(&mut self, now: Time) {
        self.change_due.get_or_insert(now + CHANGE_DELAY);
    }

    /// Plans a write after `delay` in any case, because the platform may lack the entry.
    pub fn plan_rewrite(&mut self, now: Time, delay: Duration) {
        let due = now + delay;
        self.rewrite_due = Some(self.rewrite_due.map_or(due, |known| known.min(due)));
    }

    /// Time of the next write, if the entry lacks streams since `streams_due`; none if none is
    /// planned.
    pub fn due(&self, streams_due: Option<Time>) -> Option<Time> {
        if let Some(Failure { at, delay }) = self.failure {
            return Some(at + delay);
        }
        let planned = [self.change_due, self.rewrite_due, streams_due];
        planned.into_iter().flatten().min()
    }

    /// Begins a write, or a check whether one is needed, and returns whether the entry has to be
    /// written in any case.
    pub fn begin(&mut self, now: Time) -> bool {
        let is_due = |due: &mut Option<Time>| due.take_if(|due| *due <= now).is_some();
        is_due(&mut self.change_due);
        is_due(&mut self.rewrite_due) || self.failure.is_some()
    }

    /// Records the result of a write.
    pub fn end(&mut self, now: Time, is_written: bool) {
        let delay = self.failure.map_or(MIN_RETRY_DELAY, |failure| {
            MAX_RETRY_DELAY.min(failure.delay * 2)
        });
        self.failure = (!is_written).then_some(Failure { at: now, delay });
    }
}
