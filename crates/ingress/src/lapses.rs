//! Entries that are missing from the platform and may only have lapsed.

use crate::{entry::Removal, revision::Revision};
use poplarswitch_entity::{EndpointName, Time};
use std::collections::BTreeMap;

/// A missing entry whose endpoint is still used.
#[derive(Clone, Copy, Debug)]
struct Lapse {
    /// End of the grace period.
    until: Time,
    /// Latest revision of which the entry was missing.
    revision: Revision,
}

/// The missing entries whose endpoints are still used.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lapses(BTreeMap<EndpointName, Lapse>);

impl Lapses {
    /// Latest revision of which an entry was missing, if its endpoint is still used.
    pub(crate) fn revision(&self, name: &EndpointName) -> Option<Revision> {
        self.0.get(name).map(|lapse| lapse.revision)
    }

    /// End of the grace period of an entry.
    pub(crate) fn until(&self, name: &EndpointName) -> Option<Time> {
        self.0.get(name).map(|lapse| lapse.until)
    }

    /// Starts the grace period of an entry. A repeated removal doesn't extend it, but its revision is
    /// updated so that it is sent again to VMs that request changes.
    pub(crate) fn hold(&mut self, name: &EndpointName, until: Time, revision: Revision) {
        let lapse = self.0.entry(name.clone());
        let lapse = lapse.or_insert(Lapse { until, revision });
        lapse.revision = revision.max(lapse.revision);
    }

    /// Ends the grace period of an entry; returns the latest revision of which it was missing.
    pub(crate) fn take(&mut self, name: &EndpointName) -> Option<Revision> {
        self.0.remove(name).map(|lapse| lapse.revision)
    }

    /// Takes the entries whose end of the grace period meets a condition.
    pub(crate) fn take_if(
        &mut self,
        is_over: impl Fn(Time) -> bool,
    ) -> Vec<(EndpointName, Revision)> {
        let taken = self.0.extract_if(.., |_, lapse| is_over(lapse.until));
        taken.map(|(name, lapse)| (name, lapse.revision)).collect()
    }

    /// Names of the entries.
    pub(crate) fn names(&self) -> impl Iterator<Item = &EndpointName> {
        self.0.keys()
    }

    /// The entries, each with its remaining grace period.
    pub(crate) fn removals(&self, now: Time) -> Vec<Removal> {
        let removals = self.0.iter().map(|(name, lapse)| Removal {
            name: name.clone(),
            revision: lapse.revision,
            grace_ms: Some(lapse.until.since(now).as_millis() as u32),
        });
        removals.collect()
    }
}
