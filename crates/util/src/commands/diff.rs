//! `poplarctl diff`: compares the set in a directory with the current set.

use crate::{
    commands::check::inspect,
    error::ToolError,
    exit::Exit,
    output::Output,
    publication::{PlatformArgs, read_set},
};
use poplarswitch_entity::Generation;
use poplarswitch_objects::{Change, ObjectSet, diff};
use poplarswitch_publish::Snapshot;
use serde::Serialize;
use std::path::PathBuf;

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Directory of the set
    dir: PathBuf,
    #[command(flatten)]
    platform: PlatformArgs,
    /// Exit with 8 if the sets differ
    #[arg(long)]
    exit_code: bool,
}

/// Changes that publishing a set would make.
#[derive(Debug, Serialize)]
pub(crate) struct Plan {
    /// Current generation; `None` if no set has been published.
    pub(crate) base: Option<Generation>,
    /// Differences of the set from the current generation.
    pub(crate) changes: Vec<Change>,
}

impl Plan {
    /// Compares the new set with the current set, if any.
    pub(crate) fn new(current: Option<&Snapshot>, new: &ObjectSet) -> Self {
        let none = ObjectSet::default();
        let old = current.map_or(&none, |snapshot| &snapshot.set);
        Self {
            base: current.map(|snapshot| snapshot.head.current.generation),
            changes: diff(old, new),
        }
    }

    /// Writes the compared generation, one line for each change, and the number of changes.
    pub(crate) fn print(&self, output: &mut Output<'_>) -> Result<(), ToolError> {
        match self.base {
            Some(base) => output.line(format_args!("changes from generation {base}:"))?,
            None => output.line("no set has been published; all objects are new:")?,
        }
        for change in &self.changes {
            output.line(change)?;
        }
        output.line(format_args!("{} objects differ", self.changes.len()))
    }
}

impl Args {
    pub(crate) fn run(&self, output: &mut Output<'_>) -> Result<Exit, ToolError> {
        let (located, report) = inspect(&self.dir);
        let Some(located) = located else {
            output.show(&report)?;
            return Ok(Exit::Invalid);
        };
        let read = read_set(&mut self.platform.client(), self.platform.timeout())?;
        let plan = Plan::new(read.snapshot.as_ref(), &located.set);
        if output.is_json() {
            output.value(&plan)?;
        } else {
            plan.print(output)?;
        }
        if self.exit_code && !plan.changes.is_empty() {
            return Ok(Exit::Differs);
        }
        Ok(Exit::Success)
    }
}
