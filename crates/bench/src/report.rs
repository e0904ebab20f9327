//! The figures of a benchmark.

use crate::{Scenario, Sharing};
use poplarswitch_entity::ClassName;
use poplarswitch_scheduler::Policy;
use serde::{Deserialize, Serialize};

/// One class in one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassRow {
    /// The class.
    pub class: ClassName,
    /// Calls that arrived.
    pub calls: u32,
    /// Share of them whose whole answer came within the target, in percent.
    pub attained_percent: f64,
    /// Calls whose whole answer came.
    pub answered: u32,
    /// Calls told not run.
    pub refused: u32,
    /// Calls told failed.
    pub failed: u32,
    /// Calls told in doubt.
    pub in_doubt: u32,
    /// Calls that never ended.
    pub unended: u32,
    /// Tokens a second in whole answers that met the target.
    pub goodput: f64,
    /// Longest time to the first dispatch or the refusal.
    pub longest_wait_ms: u64,
    /// The class's bound on that time.
    pub max_wait_ms: u64,
    /// Median time to the first token, or to the whole answer where that is the target.
    pub latency_p50_ms: u64,
    /// 99th percentile of the same.
    pub latency_p99_ms: u64,
}

/// One run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
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
    /// The classes.
    pub classes: Vec<ClassRow>,
    /// Tokens a second in whole answers that met their class's target.
    pub goodput: f64,
    /// Share of the generated tokens that belong to no whole answer, in percent.
    pub wasted_percent: f64,
    /// Share of the engines' time in the burst that went into answers within their
    /// target, in percent.
    pub useful_percent: f64,
    /// Messages between VMs for each call.
    pub messages_per_call: f64,
    /// Share of prompts whose prefix was cached, in percent.
    pub cache_hit_percent: f64,
}

/// All runs of a benchmark.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The runs, in the order of the options.
    pub rows: Vec<Row>,
}

impl Row {
    /// Attainment over all calls, in percent.
    pub fn attained_percent(&self) -> f64 {
        let calls: u32 = self.classes.iter().map(|class| class.calls).sum();
        let met = |class: &ClassRow| class.attained_percent * f64::from(class.calls);
        self.classes.iter().map(met).sum::<f64>() / f64::from(calls.max(1))
    }
}
