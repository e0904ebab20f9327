//! Outcome counts and latency percentiles of the calls.

use crate::output::table;
use core::{fmt, time::Duration};
use hdrhistogram::Histogram;
use poplarswitch_client::{CallReport, Outcome};
use poplarswitch_wire::ErrorCode;
use serde::Serialize;
use std::collections::BTreeMap;

/// Largest recorded latency, in microseconds; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcome counts and latency histograms of calls.
#[derive(Debug)]
pub(crate) struct CallStats {
    answered: u64,
    unreached: u64,
    lost: u64,
    not_run: BTreeMap<ErrorCode, u64>,
    failed: BTreeMap<ErrorCode, u64>,
    in_doubt: BTreeMap<ErrorCode, u64>,
    text_events: u64,
    broken_off: u64,
    held: u64,
    first: Histogram<u64>,
    total: Histogram<u64>,
    /// Longest pauses of the streams that were broken off.
    pauses: Histogram<u64>,
}

impl Default for CallStats {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are constant and valid")
        };
        Self {
            answered: 0,
            unreached: 0,
            lost: 0,
            not_run: BTreeMap::new(),
            failed: BTreeMap::new(),
            in_doubt: BTreeMap::new(),
            text_events: 0,
            broken_off: 0,
            held: 0,
            first: histogram(),
            total: histogram(),
            pauses: histogram(),
        }
    }
}

impl CallStats {
    /// Adds one call, which started `delay` after its scheduled time.
    pub(crate) fn add(&mut self, report: &CallReport, delay: Duration) {
        match report.outcome {
            Outcome::Answered => self.add_answered(report, delay),
            Outcome::NotRun(code) => *self.not_run.entry(code).or_default() += 1,
            Outcome::Failed(code) => *self.failed.entry(code).or_default() += 1,
            Outcome::InDoubt(code) => *self.in_doubt.entry(code).or_default() += 1,
            Outcome::Unreached => self.unreached += 1,
            Outcome::Lost => self.lost += 1,
        }
        self.held += u64::from(is_held(report.outcome));
        if report.is_broken_off() {
            self.broken_off += 1;
            let pause = report.longest_pause.unwrap_or_default();
            self.pauses.saturating_record(micros(pause));
        }
    }

    fn add_answered(&mut self, report: &CallReport, delay: Duration) {
        self.answered += 1;
        self.text_events += u64::from(report.text_events);
        if let Some(first) = report.first_output {
            self.first.saturating_record(micros(first + delay));
        }
        self.total.saturating_record(micros(report.total + delay));
    }

    /// Adds the calls of another caller.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.answered += other.answered;
        self.unreached += other.unreached;
        self.lost += other.lost;
        self.text_events += other.text_events;
        self.broken_off += other.broken_off;
        self.held += other.held;
        merge_counts(&mut self.not_run, &other.not_run);
        merge_counts(&mut self.failed, &other.failed);
        merge_counts(&mut self.in_doubt, &other.in_doubt);
        // Adding can't fail, since all histograms have the same bounds.
        let _ = self.first.add(&other.first);
        let _ = self.total.add(&other.total);
        let _ = self.pauses.add(&other.pauses);
    }

    /// Summarises the calls of a run that took `elapsed`.
    pub(crate) fn report(&self, elapsed: Duration, not_started: u64) -> LoadReport {
        LoadReport {
            elapsed_s: elapsed.as_secs_f64(),
            answered: self.answered,
            not_run: self.not_run.clone(),
            failed: self.failed.clone(),
            in_doubt: self.in_doubt.clone(),
            unreached: self.unreached,
            lost: self.lost,
            not_started,
            pieces: self.text_events,
            first_ms: Percentiles::new(&self.first),
            total_ms: Percentiles::new(&self.total),
            broken_off: self.broken_off,
            broken_pause_ms: Percentiles::new(&self.pauses),
            held: self.held,
        }
    }
}

fn merge_counts(to: &mut BTreeMap<ErrorCode, u64>, from: &BTreeMap<ErrorCode, u64>) {
    for (code, count) in from {
        *to.entry(*code).or_default() += count;
    }
}

const fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}

/// Percentiles of a latency in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Percentiles {
    p50: f64,
    p90: f64,
    p99: f64,
    max: f64,
}

impl Percentiles {
    fn new(latencies: &Histogram<u64>) -> Self {
        let millis = |micros: u64| micros as f64 / 1e3;
        Self {
            p50: millis(latencies.value_at_quantile(0.5)),
            p90: millis(latencies.value_at_quantile(0.9)),
            p99: millis(latencies.value_at_quantile(0.99)),
            max: millis(latencies.max()),
        }
    }

    fn row(&self, name: &str) -> Vec<String> {
        let cell = |value: f64| format!("{value:.1}");
        vec![
            name.to_owned(),
            cell(self.p50),
            cell(self.p90),
            cell(self.p99),
            cell(self.max),
        ]
    }
}

/// Results of a run, as text or JSON.
#[derive(Debug, Serialize)]
pub(crate) struct LoadReport {
    elapsed_s: f64,
    answered: u64,
    not_run: BTreeMap<ErrorCode, u64>,
    failed: BTreeMap<ErrorCode, u64>,
    in_doubt: BTreeMap<ErrorCode, u64>,
    unreached: u64,
    lost: u64,
    not_started: u64,
    /// Number of text events in all answers.
    pieces: u64,
    first_ms: Percentiles,
    total_ms: Percentiles,
    /// Streams that were broken off, and their longest pauses between two texts or before the end.
    broken_off: u64,
    broken_pause_ms: Percentiles,
    /// Calls that were refused because their request or a section of their prompt is held.
    held: u64,
}

/// Whether a call was refused because its request or a section of its prompt is held.
const fn is_held(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::NotRun(ErrorCode::PromptHeld | ErrorCode::RequestHeld)
    )
}

impl LoadReport {
    /// Whether no call was answered.
    pub(crate) const fn is_empty(&self) -> bool {
        self.answered == 0
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rate = self.answered as f64 / self.elapsed_s;
        let (answered, elapsed) = (self.answered, self.elapsed_s);
        writeln!(
            f,
            "answered {answered} in {elapsed:.1} s, {rate:.1} per second"
        )?;
        write_counts(f, "not run", &self.not_run)?;
        write_counts(f, "failed", &self.failed)?;
        write_counts(f, "in doubt", &self.in_doubt)?;
        writeln!(f, "unreached {}, lost {}", self.unreached, self.lost)?;
        writeln!(
            f,
            "not started {}, because all callers were busy",
            self.not_started
        )?;
        writeln!(
            f,
            "refused for a held request or section {}; streams broken off {}",
            self.held, self.broken_off
        )?;
        let mut rows = table(&["MS", "P50", "P90", "P99", "MAX"]);
        rows.add_row(self.first_ms.row("first output"));
        rows.add_row(self.total_ms.row("complete answer"));
        if self.broken_off > 0 {
            rows.add_row(self.broken_pause_ms.row("longest pause, broken off"));
        }
        writeln!(f, "{rows}")
    }
}

fn write_counts(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    counts: &BTreeMap<ErrorCode, u64>,
) -> fmt::Result {
    let total: u64 = counts.values().sum();
    write!(f, "{name} {total}")?;
    for (code, count) in counts {
        write!(f, "; {code}: {count}")?;
    }
    writeln!(f)
}
