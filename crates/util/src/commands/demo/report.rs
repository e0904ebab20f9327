//! The table and the promises.

use super::tally::Line;
use crate::output::table;
use core::fmt;
use serde::Serialize;

/// A promise that the run broke.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Broken {
    /// A caller got an answer that is not the whole answer to its own request.
    WrongAnswer {
        /// The class.
        class: String,
        /// Calls.
        calls: u32,
    },
    /// An operation that must not run twice did.
    RanTwice {
        /// Its key.
        key: String,
        /// Runs.
        runs: u32,
    },
    /// A call ran that was told that it was not run.
    RanAfterNotRun {
        /// Its key.
        key: String,
    },
    /// A call was answered without having run.
    AnsweredWithoutRun {
        /// Its key.
        key: String,
    },
    /// No call of a class was answered.
    Starved {
        /// The class.
        class: String,
    },
    /// Calls lost their connection, although no VM crashed.
    CutOff {
        /// The class.
        class: String,
        /// Calls.
        calls: u32,
    },
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WrongAnswer { class, calls } => {
                write!(
                    f,
                    "class {class}: {calls} answers differ from what was asked"
                )
            }
            Self::RanTwice { key, runs } => write!(f, "key {key}: {runs} runs"),
            Self::RanAfterNotRun { key } => write!(f, "key {key}: told not run, but it ran"),
            Self::AnsweredWithoutRun { key } => write!(f, "key {key}: answered without a run"),
            Self::Starved { class } => write!(f, "class {class}: no call was answered"),
            Self::CutOff { class, calls } => write!(f, "class {class}: {calls} calls were cut off"),
        }
    }
}

/// What one deployment did.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Report {
    /// The deployment.
    pub(super) user: String,
    /// A line for each class.
    pub(super) lines: Vec<Line>,
    /// Tokens that the engines generated.
    pub(super) tokens: u64,
    /// Tokens that belong to no whole answer.
    pub(super) wasted: u64,
    /// Promises that were broken.
    pub(super) broken: Vec<Broken>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let wasted = percent(self.wasted, self.tokens);
        writeln!(
            f,
            "{}: {} tokens, {wasted:.2} % of them wasted",
            self.user, self.tokens
        )?;
        let mut lines = table(&[
            "class",
            "calls",
            "answered",
            "attained",
            "goodput",
            "not run",
            "in doubt",
            "failed",
            "first p95",
        ]);
        lines.add_rows(self.lines.iter().map(row));
        writeln!(f, "{lines}")?;
        for broken in &self.broken {
            writeln!(f, "broken promise: {broken}")?;
        }
        Ok(())
    }
}

/// What all deployments did.
#[derive(Clone, Debug, Serialize)]
#[serde(transparent)]
pub(super) struct Reports(pub(super) Vec<Report>);

impl Reports {
    /// Whether a promise broke.
    pub(super) fn is_broken(&self) -> bool {
        self.0.iter().any(|report| !report.broken.is_empty())
    }
}

impl fmt::Display for Reports {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|report| writeln!(f, "{report}"))
    }
}

fn row(line: &Line) -> [String; 9] {
    let attained = percent(u64::from(line.attained), u64::from(line.answered));
    [
        line.class.clone(),
        line.calls.to_string(),
        line.answered.to_string(),
        format!("{attained:.1} %"),
        line.goodput.to_string(),
        line.not_run.to_string(),
        line.in_doubt.to_string(),
        line.failed.to_string(),
        format!("{} ms", line.first_p95_ms),
    ]
}

fn percent(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 * 100.0 / whole as f64
}
