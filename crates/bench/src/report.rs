//! Figures of the runs of a benchmark.

use crate::{Scenario, Sharing};
use poplarswitch_entity::ClassName;
use poplarswitch_scheduler::Policy;
use serde::{Deserialize, Serialize};

/// Figures of a class in a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassRow {
    /// The class.
    pub class: ClassName,
    /// Number of calls that arrived.
    pub calls: u32,
    /// Share of the arrived calls whose whole answer met the target, in percent.
    pub attained_percent: f64,
    /// Number of calls whose whole answer was received.
    pub answered: u32,
    /// Number of calls that were refused and not run.
    pub refused: u32,
    /// Number of calls that failed.
    pub failed: u32,
    /// Number of calls that ended in doubt.
    pub in_doubt: u32,
    /// Number of calls that had not ended when the run was cut off.
    pub unended: u32,
    /// Tokens per second in whole answers that met the target.
    pub goodput: f64,
    /// Longest time from an arrival to the first dispatch or the refusal, in milliseconds.
    pub longest_wait_ms: u64,
    /// Bound of the class on the wait for a slot, in milliseconds.
    pub max_wait_ms: u64,
    /// Median latency of the answered calls, in milliseconds: time to the first token for stream
    /// targets, time to the whole answer for answer targets.
    pub latency_p50_ms: u64,
    /// 99th percentile of that latency, in milliseconds.
    pub latency_p99_ms: u64,
}

/// Parameters and figures of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The scenario.
    pub scenario: Scenario,
    /// Number of VMs.
    pub vms: u32,
    /// Whether the VMs shared schedulers.
    pub sharing: Sharing,
    /// Scheduling policy.
    pub policy: Policy,
    /// Seed of the run.
    pub seed: u64,
    /// Figures of each class.
    pub classes: Vec<ClassRow>,
    /// Tokens per second in whole answers that met the target of their class.
    pub goodput: f64,
    /// Share of the generated tokens that are in no whole answer, in percent.
    pub wasted_percent: f64,
    /// Share of the engines' time in the burst that was spent on answers within their target, in
    /// percent.
    pub useful_percent: f64,
    /// Mean number of messages between VMs per call.
    pub messages_per_call: f64,
    /// Share of prompts whose prefix was cached at the engine, in percent.
    pub cache_hit_percent: f64,
}

/// Figures of all runs of a benchmark.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Figures of each run, ordered by scenario, VMs, sharing, policy and seed as in the options.
    pub rows: Vec<Row>,
}

impl Row {
    /// Share of all arrived calls whose whole answer met the target, in percent.
    pub fn attained_percent(&self) -> f64 {
        let calls: u32 = self.classes.iter().map(|class| class.calls).sum();
        let met = |class: &ClassRow| class.attained_percent * f64::from(class.calls);
        self.classes.iter().map(met).sum::<f64>() / f64::from(calls.max(1))
    }
}
