//! The learned speed of endpoints in the endpoint table, in heartbeats, logs and metrics.

use crate::shared::{Core, Shared};
use poplarswitch_entity::Time;
use poplarswitch_ingress::{RateRecord, short_hash};
use std::collections::HashSet;

/// Maximum number of records on speeds in a heartbeat.
const MAX_TOLD_RECORDS: usize = 64;
/// Ratio of two speeds from which a change is logged.
const LOGGED_CHANGE: f64 = 4.0 / 3.0;

impl Core {
    /// What this VM's calls showed, for a heartbeat, and those of others unless these tell all VMs
    /// themselves.
    pub(crate) fn told_rates(&mut self, now: Time) -> Vec<RateRecord> {
        let mut records = self.rates.next_records(now, MAX_TOLD_RECORDS);
        if self.membership.tells_all() {
            records.retain(|RateRecord(.., vm)| vm.is_none());
        }
        records
    }
}

/// Updates the speeds in the endpoint table, and logs those that have changed by more than a third.
pub(crate) fn update(shared: &Shared, now: Time) {
    let mut core = shared.core();
    let Core {
        rates, endpoints, ..
    } = &mut *core;
    let present: HashSet<u32> = endpoints
        .iter()
        .map(|(_, endpoint)| short_hash(endpoint.name_hash))
        .collect();
    rates.retain(now, |endpoint| present.contains(&endpoint));
    let mut changes = Vec::new();
    let (mut slowest, mut fastest) = (1.0_f64, 1.0_f64);
    for (_, endpoint) in endpoints.iter_mut() {
        let hash = short_hash(endpoint.name_hash);
        let rate = rates.rate(now, hash);
        slowest = slowest.min(rate);
        fastest = fastest.max(rate);
        endpoint.rate = rate;
        let change = rate / endpoint.logged_rate;
        if change.max(change.recip()) > LOGGED_CHANGE {
            let calls = rates.call_count(now, hash);
            changes.push((
                endpoint.entry.name.clone(),
                endpoint.logged_rate,
                rate,
                calls,
            ));
            endpoint.logged_rate = rate;
        }
    }
    drop(core);
    let spread = (fastest / slowest * 100.0) as i64;
    shared.metrics.rate_spread.set(spread);
    for (name, before, rate, calls) in changes {
        tracing::info!(
            event = "rate",
            endpoint = name.as_str(),
            before,
            rate,
            calls,
            "endpoint"
        );
    }
}
