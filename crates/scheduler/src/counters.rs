//! Counters of the scheduler's work.

use crate::RefusalReason;
use std::collections::BTreeMap;

/// Counts since the scheduler was created.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls submitted.
    pub submitted: u64,
    /// Running calls taken over from another scheduler.
    pub adopted: u64,
    /// Submissions and adoptions of a call that this scheduler already holds.
    pub duplicates: u64,
    /// Inputs dropped because they refer to an unknown call, to a dispatch that is not the current
    /// one, or to a running call whose route and endpoint are unknown.
    pub stale: u64,
    /// Dispatches ordered.
    pub dispatched: u64,
    /// Dispatches that a tier received because of its floor.
    pub by_floor: u64,
    /// Calls answered completely.
    pub answered: u64,
    /// Calls concluded as failed.
    pub failed: u64,
    /// Calls concluded as in doubt.
    pub in_doubt: u64,
    /// Calls cancelled because the caller disconnected.
    pub cancelled: u64,
    /// Calls refused, by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Calls queued again after a dispatch that was lost or not run.
    pub redispatched: u64,
    /// Retries after a dispatch that may have run.
    pub retried: u64,
    /// Streams resumed.
    pub resumed: u64,
    /// Calls concluded as in doubt because the retry budget was exhausted.
    pub budget_exhausted: u64,
    /// Ejections of endpoints that were much slower than the others of their route.
    pub ejected: u64,
}

impl Counters {
    /// Number of calls refused for `reason`.
    pub fn refused_for(&self, reason: RefusalReason) -> u64 {
        self.refused.get(&reason).copied().unwrap_or_default()
    }
}
