//! Weighted fair sharing between the workspaces of one tier.
//!
//! Each workspace has a virtual time per lane, which grows by the slot time that its calls of
//! the lane use, divided by the weight of the workspace. It is kept per lane so that a burst of
//! one class does not delay the other classes of the same workspace. The tier's virtual time
//! grows as if all waiting workspaces were served at the same time in proportion to their
//! weights. A workspace whose virtual time exceeds that of the tier by more than the allowed
//! lead is ahead and yields to the others, so a burst delays mainly the workspace that caused
//! it. Unused shares are not accumulated: when a workspace without waiting calls gets a new one,
//! its virtual time is raised to at least that of the tier.

use crate::AccountKey;
use crate::lane::{Eligibility, LaneKey};
use core::time::Duration;
use slotmap::SecondaryMap;
use std::collections::BTreeSet;

/// Slot time by which a workspace of weight one may be ahead, in microseconds.
const MAX_LEAD_US: u64 = Duration::from_secs(2).as_micros() as u64;

/// Usage of a lane by one workspace.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    /// Slot time used per unit of weight, in microseconds.
    virtual_time: u64,
    weight: u64,
    waiting: u32,
}

#[derive(Debug, Default)]
pub(crate) struct Tier {
    pub lanes: Vec<LaneKey>,
    pub waiting: usize,
    /// Dispatches so far, which determine the turns of the oldest late call.
    pub dispatches: u64,
    /// In microseconds of slot time per unit of weight.
    virtual_time: u64,
    /// Sum of the weights of all shares with waiting calls.
    active_weight: u64,
    /// Shares of the workspaces, by lane.
    shares: Vec<SecondaryMap<AccountKey, Share>>,
    /// Workspaces that have reached their limit of running calls.
    blocked: BTreeSet<AccountKey>,
}

impl Tier {
    /// The virtual time of the tier, from which the eligibility of workspaces follows.
    pub(crate) const fn virtual_time(&self) -> u64 {
        self.virtual_time
    }

    /// Counts a call that was queued.
    pub(crate) fn add_waiting(&mut self, lane: LaneKey, account: AccountKey, weight: u32) {
        let virtual_time = self.virtual_time;
        if self.shares.len() <= lane.0 {
            self.shares.resize_with(lane.0 + 1, SecondaryMap::new);
        }
        let entry = self.shares[lane.0].entry(account);
        let share = entry.expect("key is alive").or_default();
        if share.waiting == 0 {
            share.weight = u64::from(weight.max(1));
            share.virtual_time = share.virtual_time.max(virtual_time);
            self.active_weight += share.weight;
        }
        share.waiting += 1;
        self.waiting += 1;
    }

    /// Uncounts a call that has left the queue.
    pub(crate) fn remove_waiting(&mut self, lane: LaneKey, account: AccountKey) {
        let Some(share) = share_mut(&mut self.shares, lane, account) else {
            return;
        };
        share.waiting -= 1;
        self.waiting -= 1;
        if share.waiting == 0 {
            self.active_weight -= share.weight;
        }
    }

    /// Charges a workspace for the estimated slot time of a dispatched call.
    pub(crate) fn charge(&mut self, lane: LaneKey, account: AccountKey, micros: u64) {
        self.virtual_time += micros / self.active_weight.max(1);
        self.dispatches += 1;
        let min_time = self.virtual_time.saturating_sub(MAX_LEAD_US);
        if let Some(share) = share_mut(&mut self.shares, lane, account) {
            share.virtual_time = share.virtual_time.max(min_time) + micros / share.weight;
        }
    }

    /// Replaces an estimated charge by the slot time that was used, both in microseconds.
    pub(crate) fn correct_charge(
        &mut self,
        lane: LaneKey,
        account: AccountKey,
        charged: u64,
        used: u64,
    ) {
        if let Some(share) = share_mut(&mut self.shares, lane, account) {
            let weight = share.weight.max(1);
            share.virtual_time =
                (share.virtual_time + used / weight).saturating_sub(charged / weight);
        }
    }

    /// Blocks or unblocks a workspace; returns whether that changed its state.
    pub(crate) fn set_blocked(&mut self, account: AccountKey, blocked: bool) -> bool {
        if blocked {
            self.blocked.insert(account)
        } else {
            self.blocked.remove(&account)
        }
    }

    pub(crate) fn eligibility(&self, lane: LaneKey, account: AccountKey) -> Eligibility {
        if self.blocked.contains(&account) {
            return Eligibility::Blocked;
        }
        let shares = self.shares.get(lane.0);
        let Some(share) = shares.and_then(|shares| shares.get(account)) else {
            return Eligibility::Eligible;
        };
        // The workspace is eligible from this virtual time of the tier on.
        let eligible_at = share
            .virtual_time
            .saturating_sub(MAX_LEAD_US / share.weight.max(1));
        if eligible_at <= self.virtual_time {
            Eligibility::Eligible
        } else {
            Eligibility::Ahead(eligible_at)
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
