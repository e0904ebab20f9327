//! What the scheduler has done so far.

use crate::RefusalReason;
use std::collections::BTreeMap;

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls submitted.
    pub submitted: u64,
    /// Running calls taken over.
    pub adopted: u64,
    /// Submissions and adoptions of a call that was already known.
    pub duplicates: u64,
    /// Inputs about an unknown call or an earlier attempt.
    pub stale: u64,
    /// Orders to send a call to an endpoint.
    pub dispatched: u64,
    /// Dispatches that a tier's floor brought about.
    pub by_floor: u64,
    /// Calls with a whole answer.
    pub answered: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Calls in doubt.
    pub in_doubt: u64,
    /// Calls whose caller left.
    pub cancelled: u64,
    /// Calls refused, by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Dispatches after one that did not run.
    pub redispatched: u64,
    /// Dispatches after one that may have run.
    pub retried: u64,
    /// Streams resumed.
    pub resumed: u64,
    /// Calls given up because the retry budget was spent.
    pub budget_exhausted: u64,
    /// Stragglers put out.
    pub ejected: u64,
}

impl Counters {
    /// Calls refused for a reason.
    pub fn refused_for(&self, reason: RefusalReason) -> u64 {
        self.refused.get(&reason).copied().unwrap_or_default()
    }
}
