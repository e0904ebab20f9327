//! Outcomes and latency of the calls of each class.

use core::time::Duration;
use hdrhistogram::Histogram;
use poplarswitch_client::{CallReport, Outcome};
use poplarswitch_objects::{Class, Target};
use poplarswitch_wire::ErrorCode;
use serde::Serialize;

/// Precision of the latency histogram, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Quantile of the time to the first output that is reported.
const FIRST_QUANTILE: f64 = 0.95;

/// Collects the outcomes and latency of the calls of one class.
#[derive(Clone, Debug)]
pub(super) struct ClassStats {
    class: Class,
    report: ClassReport,
    first: Histogram<u64>,
}

/// Number of calls that were not run for one reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Reason {
    /// Error code; `None` if no VM could be reached.
    code: Option<ErrorCode>,
    /// Number of calls.
    calls: u32,
}

/// Results of one class.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct ClassReport {
    /// Name of the class.
    pub(super) class: String,
    /// Number of calls sent.
    pub(super) calls: u32,
    /// Number of calls that received a complete answer.
    pub(super) answered: u32,
    /// Number of answered calls that met the class's target.
    pub(super) attained: u32,
    /// Number of tokens, or of answers of services, from calls that met the target.
    pub(super) goodput: u64,
    /// Number of calls that were reported as not run, or for which no VM could be reached.
    pub(super) not_run: u32,
    /// Number of calls not run, by reason.
    pub(super) reasons: Vec<Reason>,
    /// Number of calls that were reported as possibly run.
    pub(super) in_doubt: u32,
    /// Number of calls whose connection was lost before the end of the answer.
    pub(super) cut: u32,
    /// Number of calls that ran and failed.
    pub(super) failed: u32,
    /// Number of answers that differ from the expected answer.
    pub(super) wrong: u32,
    /// 95th percentile of the time to the first output of answered calls, in milliseconds.
    pub(super) first_p95_ms: u64,
}

impl ClassStats {
    /// Creates empty statistics for a class.
    pub(super) fn new(class: &Class) -> Self {
        Self {
            class: class.clone(),
            report: ClassReport {
                class: class.name.to_string(),
                ..ClassReport::default()
            },
            first: Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is valid"),
        }
    }

    /// Adds one call; `correct` is whether its answer, if any, has the expected text.
    pub(super) fn add(&mut self, report: &CallReport, correct: bool) {
        self.report.calls += 1;
        match report.outcome {
            Outcome::Answered => self.add_answered(report, correct),
            Outcome::NotRun(code) => self.add_not_run(Some(code)),
            Outcome::Unreached => self.add_not_run(None),
            Outcome::InDoubt(_) => self.report.in_doubt += 1,
            Outcome::Lost => self.report.cut += 1,
            Outcome::Failed(_) => self.report.failed += 1,
        }
    }

    /// Returns the results so far.
    pub(super) fn report(&self) -> ClassReport {
        ClassReport {
            first_p95_ms: self.first.value_at_quantile(FIRST_QUANTILE),
            ..self.report.clone()
        }
    }

    fn add_not_run(&mut self, code: Option<ErrorCode>) {
        self.report.not_run += 1;
        let reasons = &mut self.report.reasons;
        match reasons.iter_mut().find(|reason| reason.code == code) {
            Some(reason) => reason.calls += 1,
            None => reasons.push(Reason { code, calls: 1 }),
        }
    }

    fn add_answered(&mut self, report: &CallReport, correct: bool) {
        self.report.answered += 1;
        if !correct {
            self.report.wrong += 1;
        }
        let first = report.first_output.unwrap_or(report.total);
        self.first.saturating_record(first.as_millis() as u64);
        if meets_target(self.class.target, report) {
            self.report.attained += 1;
            self.report.goodput += u64::from(report.text_events);
        }
    }
}

/// Whether an answered call met its latency target.
pub(super) fn meets_target(target: Target, report: &CallReport) -> bool {
    let first = report.first_output.unwrap_or(report.total);
    match target {
        Target::Answer { answer_ms } => report.total <= millis(answer_ms),
        Target::Stream {
            first_token_ms,
            inter_token_ms,
        } => {
            let gaps = report.text_events.saturating_sub(1).max(1);
            let mean_gap = report.total.saturating_sub(first) / gaps;
            first <= millis(first_token_ms) && mean_gap <= millis(inter_token_ms)
        }
    }
}

const fn millis(value: u32) -> Duration {
    Duration::from_millis(value as u64)
}
