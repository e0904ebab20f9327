//! Execution of the runs of a benchmark on several threads.

use crate::{Options, Report, Row, Scenario, Sharing, sim};
use poplarswitch_scheduler::Policy;
use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
};

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Simulated scenario.
    pub scenario: Scenario,
    /// Number of VMs.
    pub vms: u32,
    /// Whether the VMs share schedulers.
    pub sharing: Sharing,
    /// Scheduling policy.
    pub policy: Policy,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Executes all runs of a benchmark.
pub fn run(options: &Options) -> Report {
    let cases = cases(options);
    let next = AtomicUsize::new(0);
    let mut rows: Vec<(usize, Row)> = thread::scope(|scope| {
        let work = || {
            let claim = || next.fetch_add(1, Ordering::Relaxed);
            let claims = core::iter::repeat_with(claim);
            claims
                .map_while(|i| Some((i, sim::run(cases.get(i)?))))
                .collect::<Vec<_>>()
        };
        let workers: Vec<_> = (0..options.threads.max(1))
            .map(|_| scope.spawn(work))
            .collect();
        let finished = workers.into_iter().map(std::thread::ScopedJoinHandle::join);
        finished
            .flat_map(|rows| rows.expect("a run does not panic"))
            .collect()
    });
    rows.sort_by_key(|(index, _)| *index);
    Report {
        rows: rows.into_iter().map(|(_, row)| row).collect(),
    }
}

fn cases(options: &Options) -> Vec<Case> {
    let mut cases = Vec::new();
    for &scenario in &options.scenarios {
        for &vms in &options.vms {
            for &sharing in &options.sharing {
                for &policy in &options.policies {
                    let alone = sharing == Sharing::Alone;
                    if alone && (vms == 1 || policy != Policy::Full) {
                        continue;
                    }
                    let case = |seed: &u64| Case {
                        scenario,
                        vms,
                        sharing,
                        policy,
                        seed: *seed,
                    };
                    cases.extend(options.seeds.iter().map(case));
                }
            }
        }
    }
    cases
}
