//! Time that digests were under way, which the ages in them don't contain.
//!
//! A digest that a queue, or a process that was suspended, has kept back makes answers seem later than they
//! were, and passed on several times they would clear crashes that came after them. Each digest tells when it
//! was written by its process's own clock; the quickest digests of the last minute show how the clocks differ.

use super::{EXPIRY_INTERVAL, Quarantine};
use core::time::Duration;
use poplarswitch_entity::Time;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Time for which the quickest digest of a process counts at least.
const WINDOW: Duration = Duration::from_secs(30);
/// Maximum number of processes whose clocks are known.
const MAX_PROCESSES: usize = 1_024;

/// When a digest was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestTime {
    /// Identifies the process.
    pub process: u32,
    /// Time by the clock of the process, in milliseconds.
    pub at_ms: u64,
}

/// Difference of the clocks of another process and this one, in milliseconds, with the shortest transit.
#[derive(Clone, Copy, Debug)]
struct Difference {
    least: i64,
    /// The least one of the window before.
    previous: i64,
    since: Time,
}

/// Differences of clocks, by process.
#[derive(Clone, Debug, Default)]
pub(super) struct Transits {
    differences: HashMap<u32, Difference>,
}

impl Transits {
    /// Time that a digest was under way beyond the shortest one; zero if nothing is known.
    fn delay(&mut self, now: Time, sent: DigestTime) -> Duration {
        let now_ms = i64::try_from(now.0 / 1_000).unwrap_or(i64::MAX);
        let difference = now_ms.saturating_sub(i64::try_from(sent.at_ms).unwrap_or(i64::MAX));
        if self.differences.len() >= MAX_PROCESSES && !self.differences.contains_key(&sent.process)
        {
            return Duration::ZERO;
        }
        let first = Difference {
            least: difference,
            previous: difference,
            since: now,
        };
        let known = self.differences.entry(sent.process).or_insert(first);
        if now.since(known.since) >= WINDOW {
            known.previous = known.least;
            known.least = difference;
            known.since = now;
        }
        known.least = known.least.min(difference);
        let least = known.least.min(known.previous);
        Duration::from_millis(difference.saturating_sub(least).max(0) as u64)
    }

    /// Forgets processes of which no digest has come for long.
    pub(super) fn expire(&mut self, now: Time) {
        let is_recent = |known: &Difference| now.since(known.since) < 2 * WINDOW + EXPIRY_INTERVAL;
        self.differences.retain(|_, known| is_recent(known));
    }
}

impl Quarantine {
    /// Sets the number that identifies the process in its digests; it must differ from those of others.
    #[must_use]
    pub fn with_process(mut self, process: u32) -> Self {
        self.process = Some(process);
        self
    }

    pub(super) fn digest_time(&self, now: Time) -> Option<DigestTime> {
        let at_ms = now.0 / 1_000;
        self.process.map(|process| DigestTime { process, at_ms })
    }

    /// The time at which a digest that arrives now would have arrived by the quickest way.
    pub(super) fn arrival(&mut self, now: Time, sent: Option<DigestTime>) -> Time {
        sent.map_or(now, |sent| now - self.transits.delay(now, sent))
    }
}
