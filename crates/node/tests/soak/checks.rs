//! The promises, checked from what callers were told and what endpoints ran.

use super::plan::{Fault, Span};
use crate::relay::{KEYS, events};
use core::time::Duration;
use poplarswitch_deployment::{CallResponse, Run};
use std::{collections::HashMap, time::Instant};

/// The stated bound on a key that is taken away.
const REVOKED_WITHIN: Duration = Duration::from_secs(5);
/// The stated bound on work that reaches an endpoint which drains.
const DRAINED_WITHIN: Duration = Duration::from_secs(2);
/// Calm that a VM needs before and throughout a drain for the bound to hold.
const IN_TOUCH: Duration = Duration::from_secs(3);
/// The stated budget of runs beyond the first of each call: a share of the calls of a window, and
/// an allowance.
const REPEATS: f64 = 0.2;
const REPEATS_MORE: f64 = 58.0;
const REPEATS_WINDOW: Duration = Duration::from_secs(10);

/// Time within which a call ends that is cut off; one that ends later may have met its deadline.
const CUT_WITHIN: Duration = Duration::from_millis(2_500);
/// Time after a VM was told to leave within which it must still answer the calls that come.
const TAKEN_WITHIN: Duration = Duration::from_secs(1);

/// All runs of a call, and where.
pub type Runs<'a> = HashMap<&'a str, Vec<(usize, &'a Run)>>;

/// A call and what became of it.
pub struct Call {
    /// The VM that took it.
    pub vm: usize,
    pub name: String,
    pub path: &'static str,
    pub key: &'static str,
    pub sent: Instant,
    pub ended: Instant,
    pub told: Option<CallResponse>,
}

/// What happened in a run that the promises depend on.
#[derive(Debug, Default)]
pub struct History {
    /// When the second key was taken away, and given back.
    pub revoked: Vec<Span>,
    /// When an endpoint began to drain, and came back.
    pub drains: Vec<(usize, Span)>,
    /// All faults.
    pub faults: Vec<(Fault, Span)>,
}

impl History {
    /// Whether a call ran with a key that must have been useless: it was sent later than the bound
    /// after the key was taken away, and ran before the key was given back. A call that a stopped
    /// VM read only after that may run.
    fn ran_with_a_useless_key(&self, call: &Call, runs: &[(usize, &Run)]) -> bool {
        let taken = |began: Instant| {
            self.revoked.iter().any(|span| {
                call.sent > span.from + REVOKED_WITHIN && span.to.is_none_or(|back| began < back)
            })
        };
        call.key == KEYS[1] && runs.iter().any(|(_, run)| taken(run.started))
    }

    /// Whether an endpoint had drained for longer than the bound at a moment, and nothing kept the
    /// news from a VM until then.
    fn knows_the_drain(&self, vm: usize, endpoint: usize, at: Instant) -> bool {
        self.drains.iter().any(|(drained, span)| {
            let touched = span.from.checked_sub(IN_TOUCH).unwrap_or(span.from);
            let calm = !self.faults.iter().any(|(fault, other)| {
                fault.hides_news(vm, endpoint) && other.overlaps(touched, at)
            });
            let late = at > span.from + DRAINED_WITHIN && span.to.is_none_or(|back| at < back);
            *drained == endpoint && late && calm
        })
    }

    /// Calls that came to a VM so late in a drain that none may have reached the endpoint: without
    /// some, the bound would hold for want of a test.
    pub fn late_in_a_drain(&self, calls: &[Call]) -> usize {
        let late = |call: &&Call| {
            let mut endpoints = self.drains.iter().map(|(endpoint, _)| *endpoint);
            endpoints.any(|endpoint| self.knows_the_drain(call.vm, endpoint, call.sent))
        };
        calls.iter().filter(late).count()
    }

    /// Whether planned work at its VM may not have cut a call off: some went on while it was open,
    /// and nothing else that could have cut it off had happened for a while.
    fn must_be_answered(&self, call: &Call) -> bool {
        let calm_from = call.sent.checked_sub(IN_TOUCH).unwrap_or(call.sent);
        let cut = |(fault, span): &(Fault, Span)| {
            fault.may_cut(call.vm) && span.overlaps(calm_from, call.ended)
        };
        let open = || {
            let faults = self.faults.iter();
            faults.filter(|(_, span)| span.overlaps(call.sent, call.ended))
        };
        let late = |(fault, span): &(Fault, Span)| {
            matches!(fault, Fault::Term(vm) if *vm == call.vm)
                && call.sent > span.from + TAKEN_WITHIN
        };
        call.ended < call.sent + CUT_WITHIN
            && open().any(|(fault, _)| fault.is_planned(call.vm))
            && !open().any(late)
            && !self.faults.iter().any(cut)
    }

    /// Calls that were open during planned work that may not cut them off.
    pub fn during_planned_work(&self, calls: &[Call]) -> usize {
        calls
            .iter()
            .filter(|call| self.must_be_answered(call))
            .count()
    }

    /// Checks the runs beyond the first of each call against the budget of all VMs.
    pub fn check_repeats(calls: &[Call], runs: &Runs<'_>) {
        for service in ["/book/1 /seats/1", "/chat/1 /brief/1"] {
            let here: Vec<&Call> = calls.iter().filter(|c| service.contains(c.path)).collect();
            let mut repeats: Vec<Instant> = here
                .iter()
                .filter_map(|call| runs.get(call.name.as_str()))
                .flat_map(|runs| {
                    let mut began: Vec<Instant> = runs.iter().map(|(_, run)| run.started).collect();
                    began.sort_unstable();
                    began.into_iter().skip(1)
                })
                .collect();
            repeats.sort_unstable();
            for (first, from) in repeats.iter().enumerate() {
                let to = *from + REPEATS_WINDOW;
                let within = repeats[first..].partition_point(|at| *at < to);
                let sent = here.iter().filter(|c| (*from..to).contains(&c.sent));
                let most = REPEATS * sent.count() as f64 + REPEATS_MORE;
                assert!(
                    within as f64 <= most,
                    "{within} repeats in a window for {service}"
                );
            }
        }
    }

    /// Checks what became of one call.
    pub fn check(&self, call: &Call, runs: &[(usize, &Run)]) {
        let Call { name, path, .. } = call;
        for (endpoint, run) in runs {
            assert!(
                !self.knows_the_drain(call.vm, *endpoint, run.started),
                "{name} ran at an endpoint that drained"
            );
        }
        let useless = self.ran_with_a_useless_key(call, runs);
        let runs = runs.len();
        let once = matches!(*path, "/book/1" | "/chat/1");
        assert!(
            runs <= if once { 1 } else { 2 },
            "{name} on {path} ran {runs} times"
        );
        assert!(!useless, "{name} ran with a key that was taken away");
        let Some(told) = &call.told else {
            let cut = runs > 0 && self.must_be_answered(call);
            assert!(!cut, "{name} on {path} was cut off by planned work");
            return;
        };
        if told.not_run() {
            assert!(
                runs == 0,
                "{name} on {path} was told {} and ran",
                told.status
            );
        }
        if told.status == 200 {
            let whole = match *path {
                "/chat/1" | "/brief/1" => told.body == events(name, 5),
                _ => told.body.starts_with(&format!("{name} answered by")),
            };
            assert!(whole, "{name} on {path} got {:?}", told.body);
        }
    }
}
