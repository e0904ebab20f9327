//! Calls that began to run on this VM, by window and workspace, and what other VMs are told of them.
//!
//! Totals only grow. A message holds totals, not differences, so that a lost, late or repeated one does
//! no harm; what is told of a window when it has ended covers the loss of earlier messages.

use core::net::Ipv4Addr;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of totals in a message, so that it fits into one datagram.
pub const MAX_TOTALS: usize = 120;

/// Totals of one window: short hash of the workspace's name, calls.
pub type WindowTotals = (u64, Vec<(u32, u32)>);

/// What a VM tells another one of its totals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TotalsMessage {
    /// Incarnation of the sender.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Unix time of the sender's clock, in milliseconds.
    #[serde(rename = "t")]
    pub unix_ms: u64,
    /// Memory of the sender, in MiB.
    #[serde(rename = "m")]
    pub memory_mb: u32,
    /// Totals that the receiver may not have.
    #[serde(rename = "w")]
    pub windows: Vec<WindowTotals>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Total {
    calls: u32,
    /// Number of the last change.
    changed: u64,
}

#[derive(Clone, Debug, Default)]
struct Window {
    totals: BTreeMap<u32, Total>,
    /// How often all totals have been told again after the end.
    repeats: usize,
}

/// Totals of this VM.
#[derive(Clone, Debug)]
pub struct UsageTotals {
    window_ms: u64,
    keep_ms: u64,
    windows: BTreeMap<u64, Window>,
    /// Number of the last change.
    serial: u64,
    /// Number of the last change that each receiver has been told of.
    told: BTreeMap<Ipv4Addr, u64>,
}

/// Times after the end of a window at which all of its totals are told again, in milliseconds.
const REPEATS_MS: [u64; 2] = [300, 900];

impl UsageTotals {
    /// Creates totals of windows of `window_ms`, which are kept for `keep_ms` after their end.
    pub const fn new(window_ms: u64, keep_ms: u64) -> Self {
        Self {
            window_ms,
            keep_ms,
            windows: BTreeMap::new(),
            serial: 0,
            told: BTreeMap::new(),
        }
    }

    /// Counts a call that begins to run at `unix_ms`.
    pub fn record(&mut self, unix_ms: u64, workspace: u32) {
        self.serial += 1;
        let window = self.windows.entry(unix_ms / self.window_ms).or_default();
        let total = window.totals.entry(workspace).or_default();
        total.calls = total.calls.saturating_add(1);
        total.changed = self.serial;
    }

    /// Marks the totals of windows that have ended to be told again, and drops old windows; returns
    /// whether the receivers should be told even if nothing has changed.
    pub fn refresh(&mut self, unix_ms: u64) -> bool {
        let (window_ms, keep_ms) = (self.window_ms, self.keep_ms);
        self.windows
            .retain(|window, _| (window + 1) * window_ms + keep_ms > unix_ms);
        let current = unix_ms / window_ms;
        // A window without calls is told of too.
        self.windows.entry(current).or_default();
        let mut is_due = false;
        for (window, state) in self.windows.range_mut(..current) {
            let ended_ms = unix_ms - (window + 1) * window_ms;
            let repeats = REPEATS_MS.iter().filter(|at| **at <= ended_ms).count();
            if repeats > state.repeats {
                state.repeats = repeats;
                self.serial += 1;
                is_due = true;
                for total in state.totals.values_mut() {
                    total.changed = self.serial;
                }
            }
        }
        is_due
    }

    /// Totals that `receiver` has not been told of, in parts of one message each. Receivers that are not
    /// among `receivers` are forgotten, and told everything when they are back.
    pub fn untold(&mut self, receivers: &[Ipv4Addr], receiver: Ipv4Addr) -> Vec<Vec<WindowTotals>> {
        self.told.retain(|known, _| receivers.contains(known));
        let told = self.told.insert(receiver, self.serial).unwrap_or(0);
        let mut parts = Vec::new();
        let mut part: Vec<WindowTotals> = Vec::new();
        let mut size = 0;
        for (window, state) in &self.windows {
            let changed = state
                .totals
                .iter()
                .filter(|(_, total)| total.changed > told);
            for (workspace, total) in changed {
                if size == MAX_TOTALS {
                    parts.push(core::mem::take(&mut part));
                    size = 0;
                }
                size += 1;
                match part.last_mut().filter(|(last, _)| last == window) {
                    Some((_, totals)) => totals.push((*workspace, total.calls)),
                    None => part.push((*window, vec![(*workspace, total.calls)])),
                }
            }
        }
        if !part.is_empty() {
            parts.push(part);
        }
        parts
    }
}
