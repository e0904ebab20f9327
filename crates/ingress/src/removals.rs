//! Removals of entries that are remembered, for other VMs and for entries that come back.

use crate::{entry::EndpointEntry, revision::Revision};
use poplarswitch_entity::EndpointName;

/// A removal that is remembered.
#[derive(Debug)]
pub(crate) struct PastRemoval {
    pub(crate) name: EndpointName,
    pub(crate) revision: Revision,
    /// Start time of the incarnation that was removed and revision of its last entry; none if this
    /// view didn't have it.
    pub(crate) ended: Option<(u64, Revision)>,
}

impl PastRemoval {
    /// Whether an entry of a later era was in the platform's copy before this removal, and is not of
    /// a later incarnation.
    pub(crate) fn covers(&self, entry: &EndpointEntry) -> bool {
        self.ended.is_some_and(|(start_ms, last)| {
            let at = entry.revision;
            entry.start_ms < start_ms && at.era > last.era
                || entry.start_ms == start_ms
                    && at.era > self.revision.era
                    && at.number <= last.number
        })
    }
}
