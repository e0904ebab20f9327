//! The command line.

use crate::{commands, error::ToolError, exit::Exit, output::Output};
use clap::{Parser, Subcommand};

/// Drives poplarswitch by declared sets of objects.
#[derive(Debug, Parser)]
#[command(name = "poplarctl", version, after_help = EXIT_CODES)]
pub(crate) struct Cli {
    /// Write JSON for programs instead of text
    #[arg(long, global = true)]
    pub(crate) json: bool,
    #[command(subcommand)]
    pub(crate) command: Command,
}

const EXIT_CODES: &str = "Exit codes: 0 done, 1 failure, 2 wrong usage, 3 invalid set, \
4 conflict with another publication, 5 undecided, 6 unreachable, 7 refused, 8 sets differ";

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Check a directory of objects and report every problem
    Check(commands::check::Args),
    /// Compare a directory with the current set
    Diff(commands::diff::Args),
    /// Publish a directory as the next set
    Apply(commands::apply::Args),
    /// Show the current set
    Get(commands::get::Args),
    /// Show the status of VMs
    Status(commands::status::Args),
    /// Take a VM out of service without cutting off a call
    Drain(commands::drain::Args),
    /// Merge the events of VMs into one time line
    Timeline(commands::timeline::Args),
    /// Send calls at a steady rate and report their latency
    Load(commands::load::Args),
    /// Measure the policy in virtual time against its baselines
    Bench(commands::bench::Args),
    /// Print the scores in a journal of measured runs as a page
    Journal(commands::journal::Args),
    /// Make or hash a bearer key
    Key(commands::key::Args),
    /// Run the whole path on this machine with stand-ins, faults and callers
    Demo(commands::demo::Args),
    /// Print the completions of a shell
    Completions(commands::completions::Args),
}

impl Command {
    /// Runs the subcommand.
    pub(crate) fn run(&self, output: &mut Output<'_>) -> Result<Exit, ToolError> {
        match self {
            Self::Check(args) => args.run(output),
            Self::Diff(args) => args.run(output),
            Self::Apply(args) => args.run(output),
            Self::Get(args) => args.run(output),
            Self::Status(args) => args.run(output),
            Self::Drain(args) => args.run(output),
            Self::Timeline(args) => args.run(output),
            Self::Load(args) => args.run(output),
            Self::Bench(args) => args.run(output),
            Self::Journal(args) => args.run(output),
            Self::Key(args) => args.run(output),
            Self::Demo(args) => args.run(output),
            Self::Completions(args) => args.run(output),
        }
    }
}
