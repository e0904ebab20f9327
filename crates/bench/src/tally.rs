//! Records of the calls of a run, and the figures that are computed from them.

use crate::{
    ClassRow,
    demand::{Arrival, endpoint_kind},
    engine::{EndpointKind, Engine},
    scenario::{BURST_END, BURST_START},
    world::{ENGINE_SLOTS, World},
};
use core::time::Duration;
use poplarswitch_entity::Time;
use poplarswitch_objects::Target;
use poplarswitch_scheduler::ConclusionKind;

/// Outcome of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outcome {
    /// The call has not ended.
    #[default]
    Open,
    /// The whole answer was received.
    Answered,
    /// The call was refused and not run.
    Refused,
    /// The call failed.
    Failed,
    /// The call is in doubt: it may have run.
    InDoubt,
}

impl From<ConclusionKind> for Outcome {
    fn from(kind: ConclusionKind) -> Self {
        match kind {
            ConclusionKind::Failed => Self::Failed,
            ConclusionKind::InDoubt => Self::InDoubt,
        }
    }
}

/// Record of a call.
#[derive(Clone, Debug, Default)]
pub struct CallRecord {
    /// Time of the first dispatch.
    pub dispatched: Option<Time>,
    /// Time at which the call's VM received the first output.
    pub first_output: Option<Time>,
    /// Time of the end.
    pub ended: Option<Time>,
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Number of tokens that endpoints generated for the call, over all dispatches.
    pub generated: f64,
    /// Sum of the prefill times of all dispatches of the call, in seconds.
    pub prefill: f64,
}

/// Records of all calls of a run.
#[derive(Debug)]
pub struct Tally<'a> {
    world: &'a World,
    arrivals: &'a [Arrival],
    /// One record for each call, in the order of the arrivals.
    pub records: Vec<CallRecord>,
}

/// Figures over all classes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Number of tokens that engines generated.
    pub tokens: f64,
    /// Share of the generated tokens that are in no whole answer, in percent.
    pub wasted_percent: f64,
    /// Share of the engines' time in the burst that was spent on answers within their target, in
    /// percent.
    pub useful_percent: f64,
}

impl<'a> Tally<'a> {
    /// Creates the records of calls that have not ended.
    pub fn new(world: &'a World, arrivals: &'a [Arrival]) -> Self {
        Self {
            world,
            arrivals,
            records: vec![CallRecord::default(); arrivals.len()],
        }
    }

    /// Figures of each class; goodput is computed over a time in seconds.
    pub fn class_rows(&self, seconds: f64) -> Vec<ClassRow> {
        let classes = 0..self.world.workloads.len();
        classes
            .map(|class| self.class_row(class, seconds))
            .collect()
    }

    fn class_row(&self, class: usize, seconds: f64) -> ClassRow {
        let workload = &self.world.workloads[class];
        let calls: Vec<usize> = self.calls_of(class).collect();
        let count = |outcome| {
            let same = |call: &&usize| self.records[**call].outcome == outcome;
            calls.iter().filter(same).count() as u32
        };
        let met_target: Vec<usize> = calls
            .iter()
            .copied()
            .filter(|call| self.met_target(*call))
            .collect();
        let tokens: f64 = met_target
            .iter()
            .map(|call| self.answer_tokens(*call))
            .sum();
        let waits = calls.iter().map(|call| self.wait_time(*call));
        let mut latencies: Vec<Duration> = calls.iter().filter_map(|c| self.latency(*c)).collect();
        latencies.sort_unstable();
        ClassRow {
            class: workload.class.clone(),
            calls: calls.len() as u32,
            attained_percent: rounded(percent(met_target.len() as f64, calls.len() as f64)),
            answered: count(Outcome::Answered),
            refused: count(Outcome::Refused),
            failed: count(Outcome::Failed),
            in_doubt: count(Outcome::InDoubt),
            unended: count(Outcome::Open),
            goodput: rounded(tokens / seconds),
            longest_wait_ms: waits.max().unwrap_or_default().as_millis() as u64,
            max_wait_ms: workload.max_wait.as_millis() as u64,
            latency_p50_ms: quantile_ms(&latencies, 0.5),
            latency_p99_ms: quantile_ms(&latencies, 0.99),
        }
    }

    /// Figures over all calls of models, for a number of engines.
    pub fn totals(&self, engines: f64) -> Totals {
        let mut totals = Totals::default();
        let mut wasted = 0.0;
        let mut useful = 0.0;
        for (call, record) in self.records.iter().enumerate() {
            let workload = &self.world.workloads[self.arrivals[call].workload_index];
            if endpoint_kind(workload) == EndpointKind::Service {
                continue;
            }
            totals.tokens += record.generated;
            let answered = record.outcome == Outcome::Answered;
            let delivered = if answered {
                self.answer_tokens(call)
            } else {
                0.0
            };
            wasted += (record.generated - delivered).max(0.0);
            if self.met_target(call) {
                useful += self.burst_share(call) * self.engine_time(call);
            }
        }
        let capacity = engines * BURST_END.since(BURST_START).as_secs_f64();
        totals.wasted_percent = percent(wasted, totals.tokens);
        totals.useful_percent = percent(useful, capacity);
        totals
    }

    /// Length of the whole answer to a call, in tokens; 0 for a service call. Tokens that are
    /// generated again after a failure are not counted.
    fn answer_tokens(&self, call: usize) -> f64 {
        let arrival = &self.arrivals[call];
        match endpoint_kind(&self.world.workloads[arrival.workload_index]) {
            EndpointKind::Model => f64::from(arrival.output_len),
            EndpointKind::Service => 0.0,
        }
    }

    fn engine_time(&self, call: usize) -> f64 {
        let record = &self.records[call];
        Engine::engine_time(
            EndpointKind::Model,
            ENGINE_SLOTS,
            record.prefill,
            self.answer_tokens(call),
        )
    }

    /// Share of the time from a call's first dispatch to its end that lies in the burst.
    fn burst_share(&self, call: usize) -> f64 {
        let record = &self.records[call];
        let (Some(start), Some(end)) = (record.dispatched, record.ended) else {
            return 0.0;
        };
        let overlap = end.min(BURST_END).since(start.max(BURST_START));
        let whole = end.since(start).as_secs_f64().max(1e-6);
        overlap.as_secs_f64() / whole
    }

    fn calls_of(&self, class: usize) -> impl Iterator<Item = usize> {
        let in_class = move |call: &usize| self.arrivals[*call].workload_index == class;
        (0..self.arrivals.len()).filter(in_class)
    }

    fn met_target(&self, call: usize) -> bool {
        let record = &self.records[call];
        let arrival = &self.arrivals[call];
        let (Some(first), Some(ended)) = (record.first_output, record.ended) else {
            return false;
        };
        if record.outcome != Outcome::Answered {
            return false;
        }
        match self.world.workloads[arrival.workload_index].target {
            Target::Answer { answer_ms } => {
                ended.since(arrival.time) <= Duration::from_millis(u64::from(answer_ms))
            }
            Target::Stream {
                first_token_ms,
                inter_token_ms,
            } => {
                let gaps = f64::from(arrival.output_len.saturating_sub(1).max(1));
                let gap_ms = ended.since(first).as_secs_f64() * 1e3 / gaps;
                let first_ms = first.since(arrival.time).as_secs_f64() * 1e3;
                first_ms <= f64::from(first_token_ms) && gap_ms <= f64::from(inter_token_ms)
            }
        }
    }

    /// Latency of an answered call: time to the first token for stream targets, time to the whole
    /// answer for answer targets.
    fn latency(&self, call: usize) -> Option<Duration> {
        let record = &self.records[call];
        let arrival = &self.arrivals[call];
        let end = match self.world.workloads[arrival.workload_index].target {
            Target::Answer { .. } => record.ended,
            Target::Stream { .. } => record.first_output,
        };
        (record.outcome == Outcome::Answered)
            .then_some(end)
            .flatten()
            .map(|end| end.since(arrival.time))
    }

    /// Time from the arrival to the first dispatch, or to the end if the call was not dispatched.
    fn wait_time(&self, call: usize) -> Duration {
        let record = &self.records[call];
        let until = record.dispatched.or(record.ended).unwrap_or(Time::MAX);
        until.since(self.arrivals[call].time)
    }
}

fn percent(part: f64, whole: f64) -> f64 {
    if whole == 0.0 {
        return 100.0;
    }
    part * 100.0 / whole
}

fn quantile_ms(sorted: &[Duration], share: f64) -> u64 {
    let index = (sorted.len() as f64 * share) as usize;
    let value = sorted.get(index.min(sorted.len().saturating_sub(1)));
    value.copied().unwrap_or_default().as_millis() as u64
}

/// Rounds to thousandths, so that a figure can be written as text and parsed again without change.
pub fn rounded(figure: f64) -> f64 {
    (figure * 1e3).round() / 1e3
}
