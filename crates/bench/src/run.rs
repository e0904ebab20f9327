//! Runs a benchmark.

use crate::{Options, Report, Row, Scenario, Sharing, sim};
use poplarswitch_scheduler::Policy;
use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
};

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// The scenario.
    pub scenario: Scenario,
    /// The number of VMs.
    pub vms: u32,
    /// How they share.
    pub sharing: Sharing,
    /// The policy.
    pub policy: Policy,
    /// The seed.
    pub seed: u64,
}

/// Runs every case of the options.
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
    rows.sort_by_key(|(place, _)| *place);
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
