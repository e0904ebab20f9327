//! Checks of what endpoints do to calls: silences, crashes under one request, and two endpoints that
//! work on one stream.

use super::{
    checks::{Call, History, QUIET_TIME, Runs},
    plan::{Fault, Span},
};
use core::time::Duration;
use http::Method;
use poplarswitch_deployment::{Arrival, Crash, Endpoint, EndpointKind, RequestKey, Run};
use std::{collections::HashMap, time::Instant};

/// Number of endpoints that a request must have crashed before VMs must know it.
const KNOWN_CRASHES: usize = 3;
/// Number of sends of such a request that may still reach endpoints later than [`QUIET_TIME`] after.
const MAX_LATE_SENDS: usize = 3;
/// One in this many sound calls may be refused because of crashes.
const REFUSED_INTERVAL: usize = 1_000;
/// Time that an endpoint needs for what is left of an answer after a silence.
const FINISH_TIME: Duration = Duration::from_secs(1);
/// Time for which two endpoints may work on one stream.
const MAX_OVERLAP: Duration = Duration::from_millis(400);
/// Workspace of all callers.
const WORKSPACE: &str = "guides";

/// Path of the request that may crash the endpoints of a kind.
pub const fn culprit_path(kind: EndpointKind) -> &'static str {
    match kind {
        EndpointKind::Service => "/seats/culprit",
        EndpointKind::Engine => "/brief/culprit",
    }
}

/// The request that may crash the endpoints of a kind.
pub fn culprit(kind: EndpointKind) -> RequestKey {
    RequestKey::new(Method::POST, culprit_path(kind), b"body", Some(WORKSPACE))
}

/// The part of a period that a silence lasts.
fn silence_of((fault, span): &(Fault, Span)) -> Option<Span> {
    let Fault::Silences { millis, .. } = fault else {
        return None;
    };
    Some(Span {
        from: span.from,
        to: Some(span.from + Duration::from_millis(u64::from(*millis))),
    })
}

impl History {
    /// Whether a VM has run undisturbed, and reached the store, in a period and for a while before.
    fn is_in_touch(&self, vm: usize, from: Instant, to: Instant) -> bool {
        let quiet_from = from.checked_sub(QUIET_TIME).unwrap_or(from);
        !self
            .faults
            .iter()
            .any(|(fault, span)| fault.breaks_contact(vm) && span.overlaps(quiet_from, to))
    }

    /// Whether a call must have been answered though endpoints were silent: they went on in time, and
    /// nothing else may have cut the call off.
    fn must_outlast_silence(&self, call: &Call) -> bool {
        let mut silences = self
            .faults
            .iter()
            .filter_map(silence_of)
            .filter(|silence| silence.overlaps(call.sent, call.ended))
            .peekable();
        let deadline = call.sent + call.deadline;
        silences.peek().is_some()
            && silences.all(|silence| silence.to.is_some_and(|end| end + FINISH_TIME < deadline))
            && !self.is_cut_off(call)
            && !self.is_sent_late(call)
    }

    /// Checks that calls that an endpoint had begun were answered in full though endpoints were silent;
    /// returns the number of calls that silences must not have cut off.
    pub fn check_silences(&self, calls: &[Call], runs: &Runs<'_>) -> usize {
        let silenced = calls.iter().filter(|call| self.must_outlast_silence(call));
        let silenced: Vec<&Call> = silenced.collect();
        let lost = silenced.iter().filter(|call| {
            let status = call.response.as_ref().map(|response| response.status);
            runs.contains_key(call.id.as_str()) && matches!(status, None | Some(502 | 504))
        });
        let lost: Vec<String> = lost
            .map(|call| {
                let status = call.response.as_ref().map(|response| response.status);
                let lasted = call.ended - call.sent;
                format!("{} on {}: {status:?} after {lasted:?}", call.id, call.path)
            })
            .collect();
        assert!(
            lost.is_empty(),
            "{} of {} calls ended for a silence: {lost:#?}",
            lost.len(),
            silenced.len()
        );
        silenced.len()
    }

    /// Checks that requests that crash endpoints were stopped; returns the number of endpoints that
    /// they crashed and of sends after the third crash of each.
    pub fn check_culprits(&self, calls: &[Call], endpoints: &[Endpoint]) -> (usize, usize) {
        let vms: HashMap<&str, usize> = calls.iter().map(|call| (&*call.id, call.vm)).collect();
        let all_crashes: Vec<Crash> = endpoints.iter().flat_map(Endpoint::crashes).collect();
        let all_arrivals: Vec<Arrival> = endpoints.iter().flat_map(Endpoint::arrivals).collect();
        let mut totals = (0, 0);
        for (fault, span) in &self.faults {
            let Fault::Culprit(kind) = fault else {
                continue;
            };
            let key = culprit(*kind);
            let crashes = all_crashes
                .iter()
                .filter(|crash| crash.request.as_ref() == Some(&key) && span.contains(crash.at));
            let mut times: Vec<Instant> = crashes.map(|crash| crash.at).collect();
            times.sort_unstable();
            totals.0 += times.len();
            let Some(third) = times.get(KNOWN_CRASHES - 1) else {
                continue;
            };
            let sends = all_arrivals
                .iter()
                .filter(|a| a.request == key && a.at > *third && span.contains(a.at));
            let sends: Vec<&Arrival> = sends.collect();
            totals.1 += sends.len();
            let late = sends.iter().filter(|arrival| {
                let vm = vms.get(arrival.call_id.as_str());
                arrival.at > *third + QUIET_TIME
                    && vm.is_some_and(|vm| self.is_in_touch(*vm, arrival.at, arrival.at))
            });
            let late = late.count();
            assert!(
                late <= MAX_LATE_SENDS,
                "{late} late sends of a request that crashed {} endpoints ({fault:?})",
                times.len()
            );
        }
        totals
    }

    /// Checks that sound calls were not refused because of crashes; returns how many were.
    pub fn check_refusals(calls: &[Call]) -> usize {
        let sound = || calls.iter().filter(|call| !call.suspect);
        let refused = sound().filter(|call| {
            let response = call.response.as_ref();
            response.is_some_and(|r| r.not_run() && r.body.contains("_held\""))
        });
        let (refused, sound) = (refused.count(), sound().count());
        assert!(
            refused <= sound / REFUSED_INTERVAL,
            "{refused} of {sound} sound calls were refused because of crashes"
        );
        refused
    }

    /// Checks that an endpoint no longer works on a stream that goes on at another one, if the VM that
    /// had sent the stream there was in touch and could reach the endpoint.
    pub fn check_overlaps(&self, calls: &[Call], runs: &Runs<'_>) {
        let mut streams: HashMap<&str, Vec<(usize, usize, &Run)>> = HashMap::new();
        for call in calls.iter().filter(|call| call.path.starts_with("/brief/")) {
            let runs = runs.get(call.id.as_str()).into_iter().flatten();
            let runs = runs.map(|(endpoint, run)| (call.vm, *endpoint, *run));
            streams
                .entry(call.first_attempt())
                .or_default()
                .extend(runs);
        }
        for (first, runs) in &mut streams {
            runs.sort_unstable_by_key(|(_, _, run)| run.started);
            for (index, (_, _, later)) in runs.iter().enumerate() {
                for (vm, endpoint, earlier) in &runs[..index] {
                    let from = later.started;
                    let to = from + MAX_OVERLAP;
                    let works_on = |run: &Run| run.ended.is_none_or(|ended| ended > to);
                    let reaches = !self.faults.iter().any(|(fault, span)| {
                        let quiet_from = from.checked_sub(QUIET_TIME).unwrap_or(from);
                        matches!(fault, Fault::Link(at, _) if at == endpoint)
                            && span.overlaps(quiet_from, to)
                    });
                    assert!(
                        !(works_on(earlier)
                            && works_on(later)
                            && reaches
                            && self.is_in_touch(*vm, from, to)),
                        "two endpoints worked on the stream {first}"
                    );
                }
            }
        }
    }
}
