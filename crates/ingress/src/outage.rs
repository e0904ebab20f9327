//! Whether entries may have lapsed because the platform was out.
//!
//! Entries lapse when those that renew them can't reach the platform. A failed call of this VM doesn't
//! show that, since the VM may be cut off alone. So an outage counts only if no VM is known to have been
//! served while it lasted: VMs tell each other since when the platform has served without a gap. A reply
//! to any VM ends an outage, whether or not this VM calls the platform itself.
//!
//! Times are told as ages, because clocks of different VMs are never compared.

use crate::entry::LAPSE_GRACE;
use core::time::Duration;
use poplarswitch_entity::Time;
use serde::{Deserialize, Serialize};

/// Time without a reply after which the platform may have been out. An entry lapses after three of the
/// intervals of 1.2 s at which endpoints renew them; the last renewal may come up to an interval before
/// the outage, and the next one up to an interval after it.
pub const MIN_OUTAGE: Duration = Duration::from_millis(1_200);
/// Maximum age that is told; the start of a span doesn't matter when all grace periods are over.
const MAX_TOLD_AGE: Duration = Duration::from_mins(1);

/// Time in which the platform has served some VM without a gap, as told to other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "ServedRow", into = "ServedRow")]
pub struct ServedAges {
    /// Era of the platform.
    pub era: u64,
    /// Time in milliseconds since the first reply after the last gap.
    pub since_ms: u32,
    /// Time in milliseconds since the last reply.
    pub last_ms: u32,
}

/// Encoding of [`ServedAges`], which each heartbeat contains.
type ServedRow = (u64, u32, u32);

impl From<ServedAges> for ServedRow {
    fn from(ages: ServedAges) -> Self {
        (ages.era, ages.since_ms, ages.last_ms)
    }
}

impl From<ServedRow> for ServedAges {
    fn from((era, since_ms, last_ms): ServedRow) -> Self {
        Self {
            era,
            since_ms,
            last_ms,
        }
    }
}

/// Time in which the platform has served some VM without a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ServedSpan {
    since: Time,
    last: Time,
}

impl ServedSpan {
    /// Whether there is a gap between an earlier span, which ended at a time, and this one.
    fn is_after(&self, last: Time) -> bool {
        self.since > last + MIN_OUTAGE
    }

    /// Whether no outage can have ended at a time.
    fn covers(&self, at: Time) -> bool {
        self.since + MIN_OUTAGE <= at && at <= self.last + MIN_OUTAGE
    }
}

/// Outages of the platform, as the calls of this VM and other VMs show them.
#[derive(Clone, Debug, Default)]
pub struct OutageTracker {
    era: u64,
    served: Option<ServedSpan>,
    /// End of the span before the present one, if a call of this VM failed between them.
    outage_start: Option<Time>,
    /// Last failed call of this VM.
    failed: Option<Time>,
    /// When the platform was first seen to have come back from a copy.
    restored: Option<Time>,
}

impl OutageTracker {
    /// Records a failed call of this VM.
    pub fn record_failure(&mut self, now: Time) {
        self.failed = Some(now);
    }

    /// Records a reply of the platform to this VM.
    pub fn record_served(&mut self, now: Time, era: u64) {
        let span = ServedSpan {
            since: now,
            last: now,
        };
        self.extend(now, era, span);
    }

    /// Records that the platform has come back from a copy, if its era is later than the known one.
    pub fn record_era(&mut self, now: Time, era: u64) {
        if era > self.era {
            self.era = era;
            self.restored = self.served.take().map(|_| now).or(self.restored);
            self.outage_start = None;
        }
    }

    /// Takes in what another VM tells.
    pub fn receive(&mut self, now: Time, ages: ServedAges) {
        let at = |ms: u32| now - Duration::from_millis(ms.into());
        let span = ServedSpan {
            since: at(ages.since_ms),
            last: at(ages.last_ms),
        };
        self.extend(now, ages.era, span);
    }

    /// What other VMs are told; none if no VM is known to have been served.
    pub fn ages(&self, now: Time) -> Option<ServedAges> {
        let age = |at| now.since(at).min(MAX_TOLD_AGE).as_millis() as u32;
        self.served.map(|served| ServedAges {
            era: self.era,
            since_ms: age(served.since),
            last_ms: age(served.last),
        })
    }

    /// End of the grace period in which a missing entry may only have lapsed; none if no outage is
    /// recent.
    pub fn grace_end(&self, now: Time) -> Option<Time> {
        let end = self.outage_end(now).max(self.restored)? + LAPSE_GRACE;
        (end > now).then_some(end)
    }

    /// Whether a grace period, of this VM or another one, follows a time in which entries may have
    /// lapsed: no VM is known to have been served, or the platform has lost entries.
    pub fn allows(&self, grace_end: Time) -> bool {
        let outage_end = grace_end - LAPSE_GRACE;
        let follows_restore = self
            .restored
            .is_some_and(|at| outage_end <= at + LAPSE_GRACE);
        follows_restore || !self.served.is_some_and(|served| served.covers(outage_end))
    }

    /// End of the last outage, which is `now` while the platform is out.
    fn outage_end(&self, now: Time) -> Option<Time> {
        let last = self.served.map(|served| served.last);
        if self.failed > last {
            return Some(now);
        }
        self.outage_start
            .and(self.served)
            .map(|served| served.since)
    }

    fn extend(&mut self, now: Time, era: u64, span: ServedSpan) {
        self.record_era(now, era);
        let Some(served) = &mut self.served else {
            self.served = Some(span);
            return;
        };
        if era < self.era || served.is_after(span.last) {
            // A delayed message.
        } else if span.is_after(served.last) {
            let last = served.last;
            self.outage_start = self.failed.filter(|at| *at > last).map(|_| last);
            *served = span;
        } else {
            served.since = served.since.min(span.since);
            served.last = served.last.max(span.last);
            let since = served.since;
            self.outage_start = self
                .outage_start
                .filter(|start| since > *start + MIN_OUTAGE);
        }
    }
}
