//! Reports of usage: what is recorded in the platform, and what is sent when.
//!
//! The holder records the sums of a window in the platform, by one conditional write, and sends only
//! what is recorded. Records lie in a few slots that later windows use again. A new holder reads the
//! slot first and sends what an earlier one has recorded. Nothing new is recorded of a window whose
//! record may have been lost with a restored copy of the platform.

use core::time::Duration;
use poplarswitch_entity::{Time, WorkspaceName};
use poplarswitch_lease::Stamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Number of slots for the records of windows.
pub const SLOTS: u64 = 4;
/// Longest delay of a repetition, as a multiple of the first one.
const MAX_RETRY_FACTOR: u32 = 4;
/// Number of windows that are remembered as finished.
const KEPT_WINDOWS: u64 = 64;

/// What is reported of a window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Number of the window.
    pub window: u64,
    /// Calls by workspace.
    pub counts: BTreeMap<WorkspaceName, u64>,
}

/// Lengths of windows and delays.
#[derive(Clone, Copy, Debug)]
pub struct ReportSettings {
    /// Length of a window in milliseconds.
    pub window_ms: u64,
    /// Time after the end of a window in which late counts arrive, in milliseconds.
    pub settle_ms: u64,
    /// Time after the end of a window until which its report is of use, in milliseconds.
    pub report_ms: u64,
    /// Delay of the first repetition of a failed call.
    pub retry_delay: Duration,
}

/// A call that the holder has to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportAction {
    /// Read a slot.
    Read {
        /// Number of the slot.
        slot: u8,
    },
    /// Write a record to a slot.
    Write {
        /// Number of the slot.
        slot: u8,
        /// Revision that the slot must have; none if it must be empty.
        condition: Option<Stamp>,
        /// The record.
        record: UsageRecord,
    },
    /// Report a window.
    Send(UsageRecord),
}

/// A slot as found in the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordFound {
    /// Revision of the slot.
    pub stamp: Stamp,
    /// The record, if it can be read.
    pub record: Option<UsageRecord>,
}

/// A slot as last seen under this tenure.
#[derive(Clone, Copy, Debug)]
struct Slot {
    stamp: Option<Stamp>,
    window: Option<u64>,
}

/// Reports of the windows under the tenures of this VM.
#[derive(Clone, Debug)]
pub struct Reporter {
    settings: ReportSettings,
    /// Start of the process in Unix milliseconds; a window without counts is known to be empty only
    /// if it began afterwards.
    started_ms: u64,
    slots: BTreeMap<u8, Slot>,
    /// Records that are confirmed by the platform.
    records: BTreeMap<u64, UsageRecord>,
    /// Windows that are reported, or that can't be.
    finished: BTreeSet<u64>,
    /// First window whose record in the platform is the one that may have been sent: a restored copy
    /// may lack an earlier record, or execute a late write of another one.
    first_sure: u64,
    /// First window that wasn't too old at the last look.
    first_due: Option<u64>,
    failures: u32,
    retry_at: Time,
}

impl Reporter {
    /// Creates the state of a process that started at `started_ms`.
    pub const fn new(settings: ReportSettings, started_ms: u64) -> Self {
        Self {
            settings,
            started_ms,
            slots: BTreeMap::new(),
            records: BTreeMap::new(),
            finished: BTreeSet::new(),
            first_sure: 0,
            first_due: None,
            failures: 0,
            retry_at: Time::ZERO,
        }
    }

    /// First window whose record in the platform can be trusted.
    pub const fn first_sure(&self) -> u64 {
        self.first_sure
    }

    /// Takes in the first window whose record another holder trusts.
    pub fn learn(&mut self, first_sure: u64) {
        self.first_sure = self.first_sure.max(first_sure);
    }

    /// Begins a tenure: what this VM knows of the slots may be old.
    pub fn begin(&mut self) {
        self.slots.clear();
        self.records.clear();
        self.first_due = None;
        self.failures = 0;
        self.retry_at = Time::ZERO;
    }

    /// Takes in that the platform has come back from a copy, which may lack records.
    pub fn restored(&mut self, unix_ms: u64) {
        self.slots.clear();
        let first = unix_ms.saturating_sub(self.settings.settle_ms) / self.settings.window_ms;
        self.learn(first);
    }

    /// Takes in that this VM holds the first lease of an era of the platform, which it has known since
    /// `known_ms`. The platform may have come back from a copy then, and a holder that hasn't learned of it
    /// may have recorded windows for the rest of its lease, whose length is `lease_ms`.
    pub fn first_of_era(&mut self, unix_ms: u64, known_ms: u64, lease_ms: u64) {
        self.restored(unix_ms.min(known_ms.saturating_add(lease_ms)));
    }

    /// Windows that have become too old to be reported under this tenure, once.
    pub fn take_unreported(&mut self, unix_ms: u64) -> Vec<u64> {
        let first = unix_ms.saturating_sub(self.settings.report_ms) / self.settings.window_ms;
        let last = self.first_due.replace(first).unwrap_or(first);
        let is_missed = |window: &u64| {
            window * self.settings.window_ms >= self.started_ms && !self.finished.contains(window)
        };
        (last..first).filter(is_missed).collect()
    }

    /// The next call, if one is due; `counts` returns the sums of a window, or none if nothing is known
    /// of it.
    pub fn next(
        &mut self,
        now: Time,
        unix_ms: u64,
        counts: impl Fn(u64) -> BTreeMap<WorkspaceName, u64>,
    ) -> Option<ReportAction> {
        if now < self.retry_at {
            return None;
        }
        let ReportSettings {
            window_ms,
            settle_ms,
            report_ms,
            ..
        } = self.settings;
        let first = unix_ms.saturating_sub(report_ms) / window_ms;
        let end = unix_ms.saturating_sub(settle_ms) / window_ms;
        self.finished = self.finished.split_off(&end.saturating_sub(KEPT_WINDOWS));
        self.records = self.records.split_off(&first);
        for window in first..end {
            if self.finished.contains(&window) {
                continue;
            }
            if let Some(record) = self.records.get(&window) {
                return Some(ReportAction::Send(record.clone()));
            }
            let slot = (window % SLOTS) as u8;
            let Some(known) = self.slots.get(&slot) else {
                return Some(ReportAction::Read { slot });
            };
            let counts = counts(window);
            let is_known = !counts.is_empty() || window * window_ms >= self.started_ms;
            let is_newer = known.window.is_some_and(|last| last >= window);
            if window < self.first_sure || is_newer || !is_known {
                continue;
            }
            return Some(ReportAction::Write {
                slot,
                condition: known.stamp,
                record: UsageRecord { window, counts },
            });
        }
        None
    }

    /// Processes the content of a slot, as read or instead of the condition of a write.
    pub fn slot_found(&mut self, slot: u8, found: Option<RecordFound>) {
        self.failures = 0;
        let window = found
            .as_ref()
            .and_then(|found| found.record.as_ref())
            .map(|record| record.window);
        let stamp = found.as_ref().map(|found| found.stamp);
        self.slots.insert(slot, Slot { stamp, window });
        let record = found.and_then(|found| found.record);
        if let Some(record) = record.filter(|record| record.window >= self.first_sure) {
            self.records.entry(record.window).or_insert(record);
        }
    }

    /// Processes that a write has taken effect.
    pub fn written(&mut self, slot: u8, stamp: Stamp, record: UsageRecord) {
        let record = Some(record);
        self.slot_found(slot, Some(RecordFound { stamp, record }));
    }

    /// Processes that a call on a slot has no usable reply; a write may take effect later.
    pub fn slot_failed(&mut self, now: Time, slot: u8) {
        self.slots.remove(&slot);
        self.delay(now);
    }

    /// Processes that a report was accepted.
    pub fn sent(&mut self, window: u64) {
        self.failures = 0;
        self.finished.insert(window);
    }

    /// Processes that a report failed; it is repeated after an exponential delay.
    pub fn send_failed(&mut self, now: Time) {
        self.delay(now);
    }

    fn delay(&mut self, now: Time) {
        let factor = 2_u32.saturating_pow(self.failures).min(MAX_RETRY_FACTOR);
        self.failures += 1;
        self.retry_at = now + self.settings.retry_delay * factor;
    }
}
