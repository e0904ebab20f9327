//! Totals of all VMs, and their clocks, as the holder and its successors collect them.

use crate::{ClockOffset, TotalsMessage, WindowTotals};
use core::net::Ipv4Addr;
use poplarswitch_entity::Time;
use std::collections::BTreeMap;

/// Smallest number of clocks of which the median is trusted.
const MIN_CLOCKS: usize = 3;

/// What a VM has told of itself.
#[derive(Clone, Copy, Debug)]
struct Sender {
    memory_mb: u32,
    clock: ClockOffset,
    heard_at: Time,
}

/// Totals of all VMs. Of two totals of one incarnation the larger one is newer.
#[derive(Clone, Debug, Default)]
pub struct Collected {
    windows: BTreeMap<u64, BTreeMap<(Ipv4Addr, u64, u32), u32>>,
    senders: BTreeMap<Ipv4Addr, Sender>,
}

impl Collected {
    /// Merges a message that a VM has sent.
    pub fn merge(&mut self, now: Time, from: Ipv4Addr, message: &TotalsMessage) {
        let sender = self.senders.entry(from).or_insert(Sender {
            memory_mb: message.memory_mb,
            clock: ClockOffset::new(now, message.unix_ms),
            heard_at: now,
        });
        sender.memory_mb = message.memory_mb;
        sender.clock.hear(now, message.unix_ms);
        sender.heard_at = now;
        self.merge_totals(from, message.incarnation, &message.windows);
    }

    /// Merges the totals of one incarnation of a VM.
    pub fn merge_totals(&mut self, from: Ipv4Addr, incarnation: u64, windows: &[WindowTotals]) {
        for (window, totals) in windows {
            let known = self.windows.entry(*window).or_default();
            for (workspace, calls) in totals {
                let total = known.entry((from, incarnation, *workspace)).or_default();
                *total = (*total).max(*calls);
            }
        }
    }

    /// Drops windows before `window`, and VMs that haven't been heard since `since`.
    pub fn prune(&mut self, window: u64, since: Time) {
        self.windows = self.windows.split_off(&window);
        self.senders.retain(|_, sender| sender.heard_at >= since);
    }

    /// Calls of each workspace in a window.
    pub fn sums(&self, window: u64) -> BTreeMap<u32, u64> {
        let mut sums = BTreeMap::new();
        for ((_, _, workspace), calls) in self.windows.get(&window).into_iter().flatten() {
            *sums.entry(*workspace).or_default() += u64::from(*calls);
        }
        sums
    }

    /// Memory of a VM in MiB, if it has told it.
    pub fn memory_mb(&self, vm: Ipv4Addr) -> Option<u32> {
        self.senders.get(&vm).map(|sender| sender.memory_mb)
    }

    /// Median of the clocks of all VMs, as Unix time minus the time of this VM's clock, in
    /// milliseconds; none if too few are known. Single clocks may be wrong by seconds.
    pub fn median_offset(&self) -> Option<i64> {
        let senders = self.senders.values();
        let mut offsets: Vec<i64> = senders.map(|sender| sender.clock.millis()).collect();
        offsets.sort_unstable();
        (offsets.len() >= MIN_CLOCKS).then(|| offsets[offsets.len() / 2])
    }
}
