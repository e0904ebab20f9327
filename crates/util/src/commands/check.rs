//! `poplarctl check`.

use crate::{error::ToolError, exit::Exit, output::Output};
use core::fmt;
use poplarswitch_objects::{LocatedSet, ReadError, read_dir};
use poplarswitch_verifier::{Findings, verify_located};
use serde::Serialize;
use std::path::{Path, PathBuf};

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Directory of the set
    dir: PathBuf,
    /// Fail on warnings too
    #[arg(long)]
    deny_warnings: bool,
}

/// Everything that is to be said of a directory.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Report {
    /// Objects that could be read.
    objects: usize,
    /// Problems of files.
    unread: Vec<ReadError>,
    /// Problems of the set.
    findings: Findings,
}

impl Report {
    /// Whether the set must not be published.
    pub(crate) fn has_errors(&self) -> bool {
        !self.unread.is_empty() || self.findings.has_errors()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for error in &self.unread {
            writeln!(f, "{error}")?;
        }
        write!(f, "{}", self.findings)?;
        let errors = self.unread.len() + self.findings.errors().count();
        let warnings = self.findings.warnings().count();
        match self.unread.len() {
            0 => writeln!(
                f,
                "{} objects, {errors} errors, {warnings} warnings",
                self.objects
            ),
            _ => writeln!(f, "{errors} errors; mend these before the set is checked"),
        }
    }
}

/// Reads and checks a directory; the set is given only if it has no errors.
pub(crate) fn inspect(dir: &Path) -> (Option<LocatedSet>, Report) {
    match read_dir(dir) {
        Err(unread) => {
            let report = Report {
                unread,
                ..Report::default()
            };
            (None, report)
        }
        Ok(located) => {
            let report = Report {
                objects: located.set.len(),
                unread: Vec::new(),
                findings: verify_located(&located),
            };
            let good = !report.has_errors();
            (good.then_some(located), report)
        }
    }
}

impl Args {
    pub(crate) fn run(&self, output: &mut Output<'_>) -> Result<Exit, ToolError> {
        let (_, report) = inspect(&self.dir);
        output.show(&report)?;
        let warned = report.findings.warnings().next().is_some();
        if report.has_errors() || (self.deny_warnings && warned) {
            return Ok(Exit::Invalid);
        }
        Ok(Exit::Success)
    }
}
