//! Changes of the endpoint table: what follows from them, and their log lines.

use crate::shared::Shared;
use poplarswitch_entity::EndpointName;
use poplarswitch_ingress::{EndpointChange, Transition};

/// Maximum number of endpoint names in a log line; a first listing of thousands of endpoints must
/// stay within the rate limit of the log.
const MAX_NAMES_PER_LINE: usize = 32;

impl Shared {
    /// Handles changes of the endpoint table: drops idle connections to removed endpoints, logs the
    /// changes, and wakes the tasks that wait for them.
    pub(crate) fn handle_endpoint_changes(&self, changes: &[EndpointChange], source: &'static str) {
        if changes.is_empty() {
            return;
        }
        let revision = self.core().endpoints.revision();
        let with_transition = |transition| {
            changes
                .iter()
                .filter(move |change| change.transition == transition)
        };
        for change in with_transition(Transition::Left) {
            self.pool.remove(change.key);
        }
        for transition in Transition::ALL {
            let names: Vec<&str> = with_transition(transition)
                .map(|change| change.name.as_str())
                .collect();
            for names in names.chunks(MAX_NAMES_PER_LINE) {
                tracing::info!(
                    event = transition.as_str(),
                    endpoint = names.join(","),
                    count = names.len(),
                    revision = revision.number,
                    era = revision.era,
                    source,
                    "endpoint"
                );
            }
        }
        self.notify_change();
    }

    /// Logs the missing entries that are `held` in use, apart from those that were before. Wakes the
    /// tasks that wait for changes if entries are back: other VMs must know it before they take the
    /// endpoints out of use.
    pub(crate) fn record_lapses(
        &self,
        before: &[EndpointName],
        held: &[EndpointName],
        source: &'static str,
    ) {
        if before.iter().any(|name| !held.contains(name)) {
            self.notify_change();
        }
        let new = held.iter().filter(|name| !before.contains(name));
        let new: Vec<&str> = new.map(EndpointName::as_str).collect();
        self.metrics.lapses.inc_by(new.len() as u64);
        for names in new.chunks(MAX_NAMES_PER_LINE) {
            tracing::info!(
                event = "lapsed",
                endpoint = names.join(","),
                count = names.len(),
                source,
                "endpoint"
            );
        }
    }
}
