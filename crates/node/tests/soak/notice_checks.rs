//! Checks of what VMs do when endpoints ask for pauses or say that they leave.

use super::{
    checks::{Call, DRAIN_BOUND, History, QUIET_TIME, Runs},
    plan::Fault,
};
use core::time::Duration;
use poplarswitch_deployment::{Arrival, Endpoint};
use std::{collections::HashMap, time::Instant};

/// Time after an answer that asks for a pause from which the pause binds.
const PAUSE_SLACK: Duration = Duration::from_millis(500);
/// Requests of a VM that may reach an endpoint in its pause.
const ALLOWED_IN_PAUSE: usize = 2;

impl History {
    /// Whether a VM ran without a break in a period.
    fn ran_through(&self, vm: usize, from: Instant, to: Instant) -> bool {
        !self.faults.iter().any(|(fault, span)| {
            let breaks = match fault {
                Fault::Stop(at) | Fault::Kill(at) | Fault::Term(at) => *at == vm,
                Fault::KillAll => true,
                _ => false,
            };
            breaks && span.overlaps(from, to)
        })
    }

    /// Whether an endpoint was the same incarnation in a period.
    fn is_same(&self, endpoint: usize, from: Instant, to: Instant) -> bool {
        let mut renewals = self.renewals.iter();
        !renewals.any(|(renewed, at)| *renewed == endpoint && (from..=to).contains(at))
    }

    /// Whether VMs reached an endpoint without delay in a period and for a while before.
    fn is_reached(&self, endpoint: usize, from: Instant, to: Instant) -> bool {
        let quiet_from = from.checked_sub(QUIET_TIME).unwrap_or(from);
        !self.faults.iter().any(|(fault, span)| {
            matches!(fault, Fault::Link(at, _) if *at == endpoint) && span.overlaps(quiet_from, to)
        })
    }

    /// Checks that VMs sent nothing to endpoints that had asked them for a pause; returns the number of
    /// pauses that were checked.
    pub fn check_pauses(&self, calls: &[Call], endpoints: &[Endpoint]) -> usize {
        let vms: HashMap<&str, usize> = calls.iter().map(|call| (&*call.id, call.vm)).collect();
        let mut checked = 0;
        for (n, endpoint) in endpoints.iter().enumerate() {
            let arrivals: Vec<Arrival> = endpoint.arrivals();
            for asked in endpoint.asked_pauses() {
                let Some(vm) = vms.get(asked.call_id.as_str()) else {
                    continue;
                };
                let (from, to) = (asked.at + PAUSE_SLACK, asked.at + asked.length);
                let binds = self.ran_through(*vm, asked.at, to)
                    && self.is_reached(n, asked.at, to)
                    && self.is_same(n, asked.at, to);
                if !binds {
                    continue;
                }
                checked += 1;
                let late = arrivals.iter().filter(|arrival| {
                    (from..to).contains(&arrival.at) && vms.get(&*arrival.call_id) == Some(vm)
                });
                let late = late.count();
                assert!(
                    late <= ALLOWED_IN_PAUSE,
                    "{late} requests of VM {vm} reached endpoint {n} in the pause of {:?} that it asked \
                     for in answer to {}",
                    asked.length,
                    asked.call_id
                );
            }
        }
        checked
    }

    /// Checks that VMs sent no calls to endpoints that had told them that they leave; returns the number
    /// of calls that had to go elsewhere.
    pub fn check_leaving(&self, calls: &[Call], runs: &Runs<'_>) -> usize {
        let leaving = self.faults.iter().filter_map(|(fault, span)| match fault {
            Fault::Leaves(n) => Some((*n, span)),
            _ => None,
        });
        let mut checked = 0;
        for (n, span) in leaving {
            // Answers that told of it: VM, start of the run at the endpoint, and end of the answer.
            let told = calls.iter().filter_map(|call| {
                let [(at, run)] = runs.get(call.id.as_str())?.as_slice() else {
                    return None;
                };
                let is_answered = call.response.as_ref().is_some_and(|r| r.status == 200);
                (is_answered && *at == n && span.contains(run.started)).then_some((
                    call.vm,
                    run.started,
                    call.ended,
                ))
            });
            let told: Vec<(usize, Instant, Instant)> = told.collect();
            for call in calls.iter().filter(|call| span.contains(call.sent)) {
                let must_know = told.iter().any(|(vm, from, ended)| {
                    *vm == call.vm
                        && call.sent > *ended + DRAIN_BOUND
                        && self.ran_through(*vm, *from, call.sent)
                        && self.is_same(n, *from, call.sent)
                });
                if !must_know {
                    continue;
                }
                checked += 1;
                let runs = runs.get(call.id.as_str()).into_iter().flatten();
                let mut late = runs.filter(|(at, run)| {
                    *at == n
                        && span.contains(run.started)
                        && self.is_same(n, call.sent, run.started)
                });
                assert!(
                    late.next().is_none(),
                    "{} ran at endpoint {n}, which had told VM {} that it leaves",
                    call.id,
                    call.vm
                );
            }
        }
        checked
    }
}
