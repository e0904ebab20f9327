//! The virtual time that keeps workspaces of one tier fair to each other.
//!
//! Each workspace's virtual time grows with the slot time that its calls of a lane use,
//! divided by its weight. It has one for each lane, so that the burst of one of its classes
//! is not paid by another. The tier's own virtual time grows as it would if all waiting workspaces
//! were served at once in proportion to their weights. A workspace ahead of it by more
//! than the lead yields to the others, so a burst is paid by the workspace that bursts; a
//! workspace that was away starts at the tier's time and has saved up nothing.

use crate::AccountKey;
use crate::lane::{LaneKey, Standing};
use core::time::Duration;
use slotmap::SecondaryMap;
use std::collections::BTreeSet;

/// Slot time that a workspace of weight one may run ahead, in microseconds.
const LEAD: u64 = Duration::from_secs(2).as_micros() as u64;

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    time: u64,
    weight: u64,
    waiting: u32,
}

#[derive(Debug, Default)]
pub(crate) struct Tier {
    pub lanes: Vec<LaneKey>,
    pub waiting: usize,
    /// Dispatches, for the turns of late calls.
    pub served: u64,
    time: u64,
    active: u64,
    /// By lane.
    shares: Vec<SecondaryMap<AccountKey, Share>>,
    /// Workspaces that may not run more calls at the moment.
    held: BTreeSet<AccountKey>,
}

impl Tier {
    /// Virtual time up to which a workspace counts as ready.
    pub(crate) const fn horizon(&self) -> u64 {
        self.time
    }

    /// Counts a call that starts to wait.
    pub(crate) fn enter(&mut self, lane: LaneKey, account: AccountKey, weight: u32) {
        let time = self.time;
        if self.shares.len() <= lane.0 {
            self.shares.resize_with(lane.0 + 1, SecondaryMap::new);
        }
        let entry = self.shares[lane.0].entry(account);
        let share = entry.expect("key is alive").or_default();
        if share.waiting == 0 {
            share.weight = u64::from(weight.max(1));
            share.time = share.time.max(time);
            self.active += share.weight;
        }
        share.waiting += 1;
        self.waiting += 1;
    }

    /// Uncounts a call that no longer waits.
    pub(crate) fn leave(&mut self, lane: LaneKey, account: AccountKey) {
        let Some(share) = share_mut(&mut self.shares, lane, account) else {
            return;
        };
        share.waiting -= 1;
        self.waiting -= 1;
        if share.waiting == 0 {
            self.active -= share.weight;
        }
    }

    /// Charges slot time to a workspace that was served.
    pub(crate) fn charge(&mut self, lane: LaneKey, account: AccountKey, micros: u64) {
        self.time += micros / self.active.max(1);
        self.served += 1;
        let least = self.time.saturating_sub(LEAD);
        if let Some(share) = share_mut(&mut self.shares, lane, account) {
            share.time = share.time.max(least) + micros / share.weight;
        }
    }

    /// Corrects an earlier charge once the slot time is known.
    pub(crate) fn correct_charge(
        &mut self,
        lane: LaneKey,
        account: AccountKey,
        charged: u64,
        used: u64,
    ) {
        if let Some(share) = share_mut(&mut self.shares, lane, account) {
            let weight = share.weight.max(1);
            share.time = (share.time + used / weight).saturating_sub(charged / weight);
        }
    }

    /// Bars a workspace from being served, or admits it again; tells whether that changed.
    pub(crate) fn hold(&mut self, account: AccountKey, held: bool) -> bool {
        if held {
            self.held.insert(account)
        } else {
            self.held.remove(&account)
        }
    }

    pub(crate) fn standing(&self, lane: LaneKey, account: AccountKey) -> Standing {
        if self.held.contains(&account) {
            return Standing::Held;
        }
        let shares = self.shares.get(lane.0);
        let Some(share) = shares.and_then(|shares| shares.get(account)) else {
            return Standing::Ready;
        };
        // A workspace enters the ready list again when the tier's time reaches this point.
        let due = share.time.saturating_sub(LEAD / share.weight.max(1));
        if due <= self.time {
            Standing::Ready
        } else {
            Standing::Ahead(due)
        }
    }
}

fn share_mut(
    shares: &mut [SecondaryMap<AccountKey, Share>],
    lane: LaneKey,
    account: AccountKey,
) -> Option<&mut Share> {
    shares.get_mut(lane.0)?.get_mut(account)
}
