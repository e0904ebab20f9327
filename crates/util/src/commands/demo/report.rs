//! The report of a run: results of each class and violated guarantees.

use super::stats::ClassReport;
use crate::output::table;
use core::fmt;
use serde::Serialize;

/// A violation of a guarantee that the system gives its callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Violation {
    /// Callers received answers that differ from the expected answer to their request.
    WrongAnswer {
        /// Class.
        class: String,
        /// Number of calls.
        calls: u32,
    },
    /// A non-repeatable operation ran more than once.
    RanTwice {
        /// Idempotency key.
        key: String,
        /// Number of runs.
        runs: u32,
    },
    /// A call ran, although its caller was told that it was not run.
    RanAfterNotRun {
        /// Idempotency key.
        key: String,
    },
    /// A call was answered, although it was not run.
    AnsweredWithoutRun {
        /// Idempotency key.
        key: String,
    },
    /// No call of a class was answered.
    Starved {
        /// Class.
        class: String,
    },
    /// Callers lost their connections, although no VM crashed.
    CutOff {
        /// Class.
        class: String,
        /// Number of calls.
        calls: u32,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WrongAnswer { class, calls } => {
                write!(
                    f,
                    "class {class}: {calls} answers differ from the expected answer"
                )
            }
            Self::RanTwice { key, runs } => write!(
                f,
                "key {key}: the operation ran {runs} times, expected at most once"
            ),
            Self::RanAfterNotRun { key } => write!(
                f,
                "key {key}: the caller was told that the call was not run, but it ran"
            ),
            Self::AnsweredWithoutRun { key } => write!(f, "key {key}: answered, but was not run"),
            Self::Starved { class } => write!(f, "class {class}: no call was answered"),
            Self::CutOff { class, calls } => write!(f, "class {class}: {calls} calls interrupted"),
        }
    }
}

/// Results of one deployment.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Report {
    /// Name of the deployment.
    pub(super) user: String,
    /// Results of each class.
    pub(super) lines: Vec<ClassReport>,
    /// Number of tokens that the engines generated.
    pub(super) tokens: u64,
    /// Number of generated tokens that are part of no complete answer.
    pub(super) wasted: u64,
    /// Violated guarantees.
    pub(super) broken: Vec<Violation>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let wasted = percent(self.wasted, self.tokens);
        writeln!(
            f,
            "{}: {} tokens generated, {wasted:.2} % of them wasted",
            self.user, self.tokens
        )?;
        let mut rows = table(&[
            "class",
            "calls",
            "answered",
            "attained",
            "goodput",
            "not run",
            "in doubt",
            "failed",
            "first output p95",
        ]);
        rows.add_rows(self.lines.iter().map(row));
        writeln!(f, "{rows}")?;
        for violation in &self.broken {
            writeln!(f, "violated guarantee: {violation}")?;
        }
        Ok(())
    }
}

/// Results of all deployments.
#[derive(Clone, Debug, Serialize)]
#[serde(transparent)]
pub(super) struct Reports(pub(super) Vec<Report>);

impl Reports {
    /// Whether a guarantee was violated.
    pub(super) fn has_violations(&self) -> bool {
        self.0.iter().any(|report| !report.broken.is_empty())
    }
}

impl fmt::Display for Reports {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|report| writeln!(f, "{report}"))
    }
}

fn row(class: &ClassReport) -> [String; 9] {
    let attained = percent(u64::from(class.attained), u64::from(class.answered));
    [
        class.class.clone(),
        class.calls.to_string(),
        class.answered.to_string(),
        format!("{attained:.1} %"),
        class.goodput.to_string(),
        class.not_run.to_string(),
        class.in_doubt.to_string(),
        class.failed.to_string(),
        format!("{} ms", class.first_p95_ms),
    ]
}

fn percent(part: u64, total: u64) -> f64 {
    if total == 0 {
        return 0.0;
    }
    part as f64 * 100.0 / total as f64
}
