//! What became of the calls of each class.

use core::time::Duration;
use hdrhistogram::Histogram;
use poplarswitch_client::{CallReport, Outcome};
use poplarswitch_objects::{Class, Target};
use poplarswitch_wire::ErrorCode;
use serde::Serialize;

/// Digits of precision of latencies.
const DIGITS: u8 = 3;
/// The quantile that is reported.
const QUANTILE: f64 = 0.95;

/// The calls of one class.
#[derive(Clone, Debug)]
pub(super) struct Tally {
    class: Class,
    line: Line,
    first: Histogram<u64>,
}

/// Calls that were not run for one reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Reason {
    /// The reason; none where no VM could be reached.
    code: Option<ErrorCode>,
    /// Calls.
    calls: u32,
}

/// One line of the table.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Line {
    /// The class.
    pub(super) class: String,
    /// Calls sent.
    pub(super) calls: u32,
    /// Calls with the whole answer.
    pub(super) answered: u32,
    /// Answered calls that met the class target.
    pub(super) attained: u32,
    /// Tokens, or answers of services, of calls that met the target.
    pub(super) goodput: u64,
    /// Calls that were told that they were not run.
    pub(super) not_run: u32,
    /// Why calls were not run.
    pub(super) reasons: Vec<Reason>,
    /// Calls that were told that they may have run.
    pub(super) in_doubt: u32,
    /// Calls whose connection was lost.
    pub(super) cut: u32,
    /// Calls that ran and failed.
    pub(super) failed: u32,
    /// Answers that differ from what the prompt asks for.
    pub(super) wrong: u32,
    /// Time to the first piece that 95 in 100 answered calls kept to, in milliseconds.
    pub(super) first_p95_ms: u64,
}

impl Tally {
    /// Starts empty.
    pub(super) fn new(class: &Class) -> Self {
        Self {
            class: class.clone(),
            line: Line {
                class: class.name.to_string(),
                ..Line::default()
            },
            first: Histogram::new(DIGITS).expect("the number of digits is valid"),
        }
    }

    /// Counts one call; `right` says whether its text is what the prompt asks for.
    pub(super) fn count(&mut self, report: &CallReport, right: bool) {
        self.line.calls += 1;
        match report.outcome {
            Outcome::Answered => self.count_answer(report, right),
            Outcome::NotRun(code) => self.count_refusal(Some(code)),
            Outcome::Unreached => self.count_refusal(None),
            Outcome::InDoubt(_) => self.line.in_doubt += 1,
            Outcome::Lost => self.line.cut += 1,
            Outcome::Failed(_) => self.line.failed += 1,
        }
    }

    /// The line of the table.
    pub(super) fn line(&self) -> Line {
        Line {
            first_p95_ms: self.first.value_at_quantile(QUANTILE),
            ..self.line.clone()
        }
    }

    fn count_refusal(&mut self, code: Option<ErrorCode>) {
        self.line.not_run += 1;
        let reasons = &mut self.line.reasons;
        match reasons.iter_mut().find(|reason| reason.code == code) {
            Some(reason) => reason.calls += 1,
            None => reasons.push(Reason { code, calls: 1 }),
        }
    }

    fn count_answer(&mut self, report: &CallReport, right: bool) {
        self.line.answered += 1;
        if !right {
            self.line.wrong += 1;
        }
        let first = report.first_output.unwrap_or(report.total);
        self.first.saturating_record(first.as_millis() as u64);
        if attains(self.class.target, report) {
            self.line.attained += 1;
            self.line.goodput += u64::from(report.text_events);
        }
    }
}

/// Whether an answered call met its target.
pub(super) fn attains(target: Target, report: &CallReport) -> bool {
    let first = report.first_output.unwrap_or(report.total);
    match target {
        Target::Answer { answer_ms } => report.total <= millis(answer_ms),
        Target::Stream {
            first_token_ms,
            inter_token_ms,
        } => {
            let gaps = report.text_events.saturating_sub(1).max(1);
            let between = report.total.saturating_sub(first) / gaps;
            first <= millis(first_token_ms) && between <= millis(inter_token_ms)
        }
    }
}

const fn millis(value: u32) -> Duration {
    Duration::from_millis(value as u64)
}
