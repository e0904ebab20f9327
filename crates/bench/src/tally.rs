//! What became of each call, and the figures that follow from it.

use crate::{
    ClassRow,
    demand::{Arrival, kind_of},
    engine::{Engine, Kind},
    scenario::{BURST_END, BURST_START},
    world::{ENGINE_SLOTS, World},
};
use core::time::Duration;
use poplarswitch_entity::Time;
use poplarswitch_objects::Target;
use poplarswitch_scheduler::ConclusionKind;

/// How a call ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outcome {
    /// It has not ended.
    #[default]
    Open,
    /// The whole answer came.
    Answered,
    /// Told not run.
    Refused,
    /// Told failed.
    Failed,
    /// Told in doubt.
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

/// The record of one call.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// First dispatch.
    pub dispatched: Option<Time>,
    /// First output.
    pub first: Option<Time>,
    /// End.
    pub ended: Option<Time>,
    /// How it ended.
    pub outcome: Outcome,
    /// Tokens that endpoints generated for it, over all dispatches.
    pub generated: f64,
    /// Seconds of prompt reading spent on it.
    pub prefill: f64,
}

/// All calls of a run.
#[derive(Debug)]
pub struct Tally<'a> {
    world: &'a World,
    arrivals: &'a [Arrival],
    /// One record a call.
    pub records: Vec<Record>,
}

/// Figures over all classes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Tokens generated.
    pub tokens: f64,
    /// Share of them that belong to no whole answer, in percent.
    pub wasted_percent: f64,
    /// Share of the engines' time in the burst that went into answers within their
    /// target, in percent.
    pub useful_percent: f64,
}

impl<'a> Tally<'a> {
    /// Starts with all calls open.
    pub fn new(world: &'a World, arrivals: &'a [Arrival]) -> Self {
        Self {
            world,
            arrivals,
            records: vec![Record::default(); arrivals.len()],
        }
    }

    /// The figures of each class.
    pub fn classes(&self, seconds: f64) -> Vec<ClassRow> {
        let classes = 0..self.world.workloads.len();
        classes.map(|class| self.class(class, seconds)).collect()
    }

    fn class(&self, class: usize, seconds: f64) -> ClassRow {
        let work = &self.world.workloads[class];
        let calls: Vec<usize> = self.calls_of(class).collect();
        let count = |outcome| {
            let same = |call: &&usize| self.records[**call].outcome == outcome;
            calls.iter().filter(same).count() as u32
        };
        let met: Vec<usize> = calls
            .iter()
            .copied()
            .filter(|call| self.met(*call))
            .collect();
        let tokens: f64 = met.iter().map(|call| self.tokens(*call)).sum();
        let waits = calls.iter().map(|call| self.wait(*call));
        let mut firsts: Vec<Duration> = calls.iter().filter_map(|c| self.latency(*c)).collect();
        firsts.sort_unstable();
        ClassRow {
            class: work.class.clone(),
            calls: calls.len() as u32,
            attained_percent: rounded(percent(met.len() as f64, calls.len() as f64)),
            answered: count(Outcome::Answered),
            refused: count(Outcome::Refused),
            failed: count(Outcome::Failed),
            in_doubt: count(Outcome::InDoubt),
            unended: count(Outcome::Open),
            goodput: rounded(tokens / seconds),
            longest_wait_ms: waits.max().unwrap_or_default().as_millis() as u64,
            max_wait_ms: work.max_wait.as_millis() as u64,
            latency_p50_ms: quantile(&firsts, 0.5),
            latency_p99_ms: quantile(&firsts, 0.99),
        }
    }

    /// The figures over all classes.
    pub fn totals(&self, engines: f64) -> Totals {
        let mut totals = Totals::default();
        let mut wasted = 0.0;
        let mut useful = 0.0;
        for (call, record) in self.records.iter().enumerate() {
            let work = &self.world.workloads[self.arrivals[call].class];
            if kind_of(work) == Kind::Service {
                continue;
            }
            totals.tokens += record.generated;
            let answered = record.outcome == Outcome::Answered;
            let kept = if answered { self.tokens(call) } else { 0.0 };
            wasted += (record.generated - kept).max(0.0);
            if self.met(call) {
                useful += self.burst_share(call) * self.cost(call);
            }
        }
        let capacity = engines * BURST_END.since(BURST_START).as_secs_f64();
        totals.wasted_percent = percent(wasted, totals.tokens);
        totals.useful_percent = percent(useful, capacity);
        totals
    }

    /// Tokens that would be generated for a call if nothing were repeated.
    fn tokens(&self, call: usize) -> f64 {
        let arrival = &self.arrivals[call];
        match kind_of(&self.world.workloads[arrival.class]) {
            Kind::Model => f64::from(arrival.length),
            Kind::Service => 0.0,
        }
    }

    fn cost(&self, call: usize) -> f64 {
        let record = &self.records[call];
        Engine::cost(Kind::Model, ENGINE_SLOTS, record.prefill, self.tokens(call))
    }

    /// Share of the call's run that lies in the burst.
    fn burst_share(&self, call: usize) -> f64 {
        let record = &self.records[call];
        let (Some(start), Some(end)) = (record.dispatched, record.ended) else {
            return 0.0;
        };
        let inside = end.min(BURST_END).since(start.max(BURST_START));
        let whole = end.since(start).as_secs_f64().max(1e-6);
        inside.as_secs_f64() / whole
    }

    fn calls_of(&self, class: usize) -> impl Iterator<Item = usize> {
        let of = move |call: &usize| self.arrivals[*call].class == class;
        (0..self.arrivals.len()).filter(of)
    }

    fn met(&self, call: usize) -> bool {
        let record = &self.records[call];
        let arrival = &self.arrivals[call];
        let (Some(first), Some(ended)) = (record.first, record.ended) else {
            return false;
        };
        if record.outcome != Outcome::Answered {
            return false;
        }
        match self.world.workloads[arrival.class].target {
            Target::Answer { answer_ms } => {
                ended.since(arrival.at) <= Duration::from_millis(u64::from(answer_ms))
            }
            Target::Stream {
                first_token_ms,
                inter_token_ms,
            } => {
                let gaps = f64::from(arrival.length.saturating_sub(1).max(1));
                let gap_ms = ended.since(first).as_secs_f64() * 1e3 / gaps;
                let first_ms = first.since(arrival.at).as_secs_f64() * 1e3;
                first_ms <= f64::from(first_token_ms) && gap_ms <= f64::from(inter_token_ms)
            }
        }
    }

    /// Time to the first token, or to the whole answer where that is the target.
    fn latency(&self, call: usize) -> Option<Duration> {
        let record = &self.records[call];
        let arrival = &self.arrivals[call];
        let end = match self.world.workloads[arrival.class].target {
            Target::Answer { .. } => record.ended,
            Target::Stream { .. } => record.first,
        };
        (record.outcome == Outcome::Answered)
            .then_some(end)
            .flatten()
            .map(|end| end.since(arrival.at))
    }

    /// Time to the first dispatch, or to the refusal.
    fn wait(&self, call: usize) -> Duration {
        let record = &self.records[call];
        let until = record.dispatched.or(record.ended).unwrap_or(Time::MAX);
        until.since(self.arrivals[call].at)
    }
}

fn percent(part: f64, whole: f64) -> f64 {
    if whole == 0.0 {
        return 100.0;
    }
    part * 100.0 / whole
}

fn quantile(sorted: &[Duration], share: f64) -> u64 {
    let place = (sorted.len() as f64 * share) as usize;
    let value = sorted.get(place.min(sorted.len().saturating_sub(1)));
    value.copied().unwrap_or_default().as_millis() as u64
}

/// Rounds to thousandths, so that a figure survives its text form exactly.
pub fn rounded(figure: f64) -> f64 {
    (figure * 1e3).round() / 1e3
}
