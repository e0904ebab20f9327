//! `poplarctl check`: checks the set in a directory, or the settings of a relay.

use crate::{error::ToolError, exit::Exit, output::Output};
use core::fmt;
use poplarswitch_adapter::read_settings;
use poplarswitch_objects::{LocatedSet, ReadError, read_dir};
use poplarswitch_verifier::{Findings, verify_located};
use serde::Serialize;
use std::path::{Path, PathBuf};

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Directory of the set
    #[arg(required_unless_present = "relay")]
    dir: Option<PathBuf>,
    /// Check a relay's settings file instead
    #[arg(long, value_name = "FILE", conflicts_with = "dir")]
    relay: Option<PathBuf>,
    /// Exit with 3 on warnings as well
    #[arg(long)]
    deny_warnings: bool,
}

/// Errors and warnings of the set in a directory.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Report {
    /// Number of objects; 0 if a file or object could not be read.
    objects: usize,
    /// Files and objects that could not be read.
    unread: Vec<ReadError>,
    /// Errors and warnings of the set.
    findings: Findings,
}

impl Report {
    /// Whether there are errors, so that the set must not be published.
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
            _ => writeln!(
                f,
                "{errors} errors; the set is checked only once all of its objects can be read"
            ),
        }
    }
}

/// Reads and checks the set in a directory; returns the set only if it has no errors.
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
            let is_valid = !report.has_errors();
            (is_valid.then_some(located), report)
        }
    }
}

/// Errors in the settings of a relay.
#[derive(Debug, Serialize)]
struct RelayReport {
    errors: Vec<String>,
}

impl fmt::Display for RelayReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for error in &self.errors {
            writeln!(f, "{error}")?;
        }
        writeln!(f, "{} errors", self.errors.len())
    }
}

/// Checks a relay's settings file, also the parts without which it would run.
fn check_relay(file: &Path, output: &mut Output<'_>) -> Result<Exit, ToolError> {
    let errors = match read_settings(file) {
        Ok((settings, oddities)) => {
            let oddities = oddities.iter().map(ToString::to_string);
            settings.check().into_iter().chain(oddities).collect()
        }
        Err(error) => vec![error.to_string()],
    };
    let report = RelayReport { errors };
    output.show(&report)?;
    Ok(if report.errors.is_empty() {
        Exit::Success
    } else {
        Exit::Invalid
    })
}

impl Args {
    pub(crate) fn run(&self, output: &mut Output<'_>) -> Result<Exit, ToolError> {
        if let Some(file) = &self.relay {
            return check_relay(file, output);
        }
        let (_, report) = inspect(self.dir.as_deref().unwrap_or(Path::new(".")));
        output.show(&report)?;
        let has_warnings = report.findings.warnings().next().is_some();
        if report.has_errors() || (self.deny_warnings && has_warnings) {
            return Ok(Exit::Invalid);
        }
        Ok(Exit::Success)
    }
}
