//! What became of the calls.

use crate::output::table;
use core::{fmt, time::Duration};
use hdrhistogram::Histogram;
use poplarswitch_client::{CallReport, Outcome};
use poplarswitch_wire::ErrorCode;
use serde::Serialize;
use std::collections::BTreeMap;

/// Longest time that is told apart, in microseconds.
const MAX_MICROS: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts and times of many calls.
#[derive(Debug)]
pub(crate) struct Tally {
    answered: u64,
    unreached: u64,
    lost: u64,
    not_run: BTreeMap<ErrorCode, u64>,
    failed: BTreeMap<ErrorCode, u64>,
    in_doubt: BTreeMap<ErrorCode, u64>,
    pieces: u64,
    first: Histogram<u64>,
    total: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let times = || {
            Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
                .expect("the bounds are constant and valid")
        };
        Self {
            answered: 0,
            unreached: 0,
            lost: 0,
            not_run: BTreeMap::new(),
            failed: BTreeMap::new(),
            in_doubt: BTreeMap::new(),
            pieces: 0,
            first: times(),
            total: times(),
        }
    }
}

impl Tally {
    /// Counts one call; `late` is how long after its due time it started.
    pub(crate) fn add(&mut self, report: &CallReport, late: Duration) {
        match report.outcome {
            Outcome::Answered => self.answered(report, late),
            Outcome::NotRun(code) => *self.not_run.entry(code).or_default() += 1,
            Outcome::Failed(code) => *self.failed.entry(code).or_default() += 1,
            Outcome::InDoubt(code) => *self.in_doubt.entry(code).or_default() += 1,
            Outcome::Unreached => self.unreached += 1,
            Outcome::Lost => self.lost += 1,
        }
    }

    fn answered(&mut self, report: &CallReport, late: Duration) {
        self.answered += 1;
        self.pieces += u64::from(report.text_events);
        if let Some(first) = report.first_output {
            self.first.saturating_record(micros(first + late));
        }
        self.total.saturating_record(micros(report.total + late));
    }

    /// Adds the calls of another caller.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.answered += other.answered;
        self.unreached += other.unreached;
        self.lost += other.lost;
        self.pieces += other.pieces;
        merge_counts(&mut self.not_run, &other.not_run);
        merge_counts(&mut self.failed, &other.failed);
        merge_counts(&mut self.in_doubt, &other.in_doubt);
        // All histograms have the same bounds, so that none can refuse another.
        let _ = self.first.add(&other.first);
        let _ = self.total.add(&other.total);
    }

    /// The figures to be shown.
    pub(crate) fn figures(&self, elapsed: Duration, not_started: u64) -> Figures {
        Figures {
            elapsed_s: elapsed.as_secs_f64(),
            answered: self.answered,
            not_run: self.not_run.clone(),
            failed: self.failed.clone(),
            in_doubt: self.in_doubt.clone(),
            unreached: self.unreached,
            lost: self.lost,
            not_started,
            pieces: self.pieces,
            first_ms: Quantiles::of(&self.first),
            total_ms: Quantiles::of(&self.total),
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

/// Times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Quantiles {
    p50: f64,
    p90: f64,
    p99: f64,
    max: f64,
}

impl Quantiles {
    fn of(times: &Histogram<u64>) -> Self {
        let millis = |micros: u64| micros as f64 / 1e3;
        Self {
            p50: millis(times.value_at_quantile(0.5)),
            p90: millis(times.value_at_quantile(0.9)),
            p99: millis(times.value_at_quantile(0.99)),
            max: millis(times.max()),
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

/// The result of a run.
#[derive(Debug, Serialize)]
pub(crate) struct Figures {
    elapsed_s: f64,
    answered: u64,
    not_run: BTreeMap<ErrorCode, u64>,
    failed: BTreeMap<ErrorCode, u64>,
    in_doubt: BTreeMap<ErrorCode, u64>,
    unreached: u64,
    lost: u64,
    not_started: u64,
    pieces: u64,
    first_ms: Quantiles,
    total_ms: Quantiles,
}

impl Figures {
    /// Whether no call was answered.
    pub(crate) const fn is_empty(&self) -> bool {
        self.answered == 0
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rate = self.answered as f64 / self.elapsed_s;
        let (answered, elapsed) = (self.answered, self.elapsed_s);
        writeln!(
            f,
            "answered {answered} in {elapsed:.1} s, {rate:.1} a second"
        )?;
        write_counts(f, "not run", &self.not_run)?;
        write_counts(f, "failed", &self.failed)?;
        write_counts(f, "in doubt", &self.in_doubt)?;
        writeln!(f, "unreached {}, lost {}", self.unreached, self.lost)?;
        writeln!(
            f,
            "not started for want of a free caller {}",
            self.not_started
        )?;
        let mut rows = table(&["MS", "P50", "P90", "P99", "MAX"]);
        rows.add_row(self.first_ms.row("first output"));
        rows.add_row(self.total_ms.row("whole answer"));
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
