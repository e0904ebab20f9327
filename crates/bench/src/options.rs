//! Options of a benchmark: the combinations that it runs.

use crate::Scenario;
use bon::Builder;
use poplarswitch_scheduler::Policy;
use serde::{Deserialize, Serialize};

/// Whether the VMs of a run share the scheduler of each route.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Sharing {
    /// All VMs form one cell: each route has one scheduler, at its home VM.
    #[default]
    Cell,
    /// Each VM schedules its own calls without exchanging messages with the others.
    Alone,
}

/// The runs of a benchmark: every combination of the listed values.
#[derive(Clone, Debug, Builder)]
pub struct Options {
    /// The scenarios.
    #[builder(default = Scenario::ALL.to_vec())]
    pub scenarios: Vec<Scenario>,
    /// The numbers of VMs.
    #[builder(default = vec![1, 6, 9])]
    pub vms: Vec<u32>,
    /// The policies.
    #[builder(default = all_policies())]
    pub policies: Vec<Policy>,
    /// Whether VMs share schedulers; `Alone` runs with the full policy and several VMs only.
    #[builder(default = vec![Sharing::Cell, Sharing::Alone])]
    pub sharing: Vec<Sharing>,
    /// The seeds.
    #[builder(default = vec![1, 2, 3])]
    pub seeds: Vec<u64>,
    /// Number of threads that execute runs; 0 counts as 1.
    #[builder(default = 4)]
    pub threads: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self::builder().build()
    }
}

fn all_policies() -> Vec<Policy> {
    vec![
        Policy::FifoRoundRobin,
        Policy::FifoLeastOutstanding,
        Policy::StrictLeastOutstanding,
        Policy::Full,
    ]
}
