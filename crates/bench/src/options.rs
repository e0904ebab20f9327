//! What a benchmark runs.

use crate::Scenario;
use bon::Builder;
use poplarswitch_scheduler::Policy;
use serde::{Deserialize, Serialize};

/// Whether the VMs share the scheduler of each route.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Sharing {
    /// All VMs form one cell.
    #[default]
    Cell,
    /// Each VM decides alone.
    Alone,
}

/// The runs of a benchmark: each scenario with each number of VMs, policy and seed.
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
    /// How the VMs share; `Alone` is run for the full policy on several VMs only.
    #[builder(default = vec![Sharing::Cell, Sharing::Alone])]
    pub sharing: Vec<Sharing>,
    /// The seeds.
    #[builder(default = vec![1, 2, 3])]
    pub seeds: Vec<u64>,
    /// Threads that the runs are spread over.
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
