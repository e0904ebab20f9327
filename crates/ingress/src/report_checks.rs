//! Checks of which incarnation of an endpoint serves, shared by the calls that wait for them.
//!
//! Incarnations follow each other, so a report that was asked for while a connection was open shows the
//! process behind that connection. One check therefore serves all calls that had connected before it, and an
//! endpoint that is slow gets few requests for reports. A report that comes when nobody waits for it any
//! more serves the calls that come next.

use crate::{endpoints::EndpointKey, version_pin::Incarnation};
use core::time::Duration;
use poplarswitch_entity::Time;
use slotmap::SecondaryMap;

/// Shortest time for which a call waits for a report before it asks another endpoint too.
const MIN_PATIENCE: Duration = Duration::from_millis(150);
/// Multiple of the usual time of an endpoint's reports for which a call waits.
const PATIENCE_FACTOR: u32 = 3;
/// Maximum number of endpoints whose reports one call awaits.
const MAX_AWAITED: usize = 3;
/// Minimum time from the start of a check to that of the next one, if it is still under way.
const MIN_SPACING: Duration = Duration::from_millis(50);
/// Time for which a report shows that its endpoint is not silent.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// Weight of the newest report in the moving average of the times.
const EWMA_WEIGHT: f64 = 0.3;

/// What is known of the endpoint behind a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckState {
    /// A report shows which incarnation it is.
    Found(Incarnation),
    /// A check that will show it is under way.
    Running,
    /// A check may begin at this time, if none shows it before.
    Due(Time),
}

/// A report that has come.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    asked: Time,
    came: Time,
    found: Incarnation,
}

#[derive(Clone, Debug, Default)]
struct EndpointChecks {
    /// When the checks under way began.
    running: Vec<Time>,
    last: Option<LastReport>,
    /// Moving average of the time from a request for a report to the report.
    usual: Option<Duration>,
}

/// Checks of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct ReportChecks {
    endpoints: SecondaryMap<EndpointKey, EndpointChecks>,
}

impl ReportChecks {
    /// Records that a check begins.
    pub fn begin(&mut self, now: Time, key: EndpointKey) {
        if let Some(entry) = self.endpoints.entry(key) {
            entry.or_default().running.push(now);
        }
    }

    /// Records the end of the check that began at `asked`.
    pub fn end(&mut self, now: Time, key: EndpointKey, asked: Time, found: Incarnation) {
        let Some(checks) = self.endpoints.get_mut(key) else {
            return;
        };
        if let Some(index) = checks.running.iter().position(|at| *at == asked) {
            checks.running.swap_remove(index);
        }
        if found == Incarnation::Undecided {
            return;
        }
        let taken = now.since(asked);
        let usual = checks.usual.unwrap_or(taken);
        checks.usual = Some(usual.mul_f64(1.0 - EWMA_WEIGHT) + taken.mul_f64(EWMA_WEIGHT));
        if checks.last.is_none_or(|last| last.asked <= asked) {
            checks.last = Some(LastReport {
                asked,
                came: now,
                found,
            });
        }
    }

    /// What is known of the endpoint behind a connection that was open at `open`.
    pub fn state(&self, now: Time, key: EndpointKey, open: Time) -> CheckState {
        let Some(checks) = self.endpoints.get(key) else {
            return CheckState::Due(now);
        };
        let last = checks.last.filter(|last| last.asked >= open);
        if let Some(last) = last.filter(|last| now.since(last.came) < MAX_REPORT_AGE) {
            return CheckState::Found(last.found);
        }
        match checks.running.iter().max() {
            Some(asked) if *asked >= open => CheckState::Running,
            Some(asked) => CheckState::Due(now.max(*asked + MIN_SPACING)),
            None => CheckState::Due(now),
        }
    }

    /// What the endpoint was found to be by a report that was asked for at `since` or later, however old
    /// it is.
    pub fn found_since(&self, key: EndpointKey, since: Time) -> Incarnation {
        let last = self.endpoints.get(key).and_then(|checks| checks.last);
        last.filter(|last| last.asked >= since)
            .map_or(Incarnation::Undecided, |last| last.found)
    }

    /// Time for which a call waits for a report before it asks another endpoint too. It has `time_left`,
    /// and awaits reports of `awaited` other endpoints already.
    pub fn patience(&self, key: EndpointKey, time_left: Duration, awaited: usize) -> Duration {
        let usual = self.endpoints.get(key).and_then(|checks| checks.usual);
        let wanted = usual.unwrap_or_default() * PATIENCE_FACTOR;
        let left = MAX_AWAITED.saturating_sub(awaited).max(1);
        wanted.max(MIN_PATIENCE).min(time_left / left as u32)
    }

    /// Whether a call that awaits the reports of `awaited` endpoints may ask another one.
    pub const fn may_ask_another(awaited: usize) -> bool {
        awaited < MAX_AWAITED
    }

    /// Whether a report has come so late that calls may have stopped waiting for it.
    pub fn is_late(taken: Duration) -> bool {
        taken > MIN_PATIENCE
    }
}
