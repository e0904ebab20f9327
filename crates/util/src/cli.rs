//! The command line.

use crate::{commands, error::ToolError, exit::Exit, output::Output};
use clap::{Parser, Subcommand};

/// Manages poplarswitch through sets of declared objects.
#[derive(Debug, Parser)]
#[command(name = "poplarctl", version, after_help = EXIT_CODES)]
pub(crate) struct Cli {
    /// Write JSON instead of text
    #[arg(long, global = true)]
    pub(crate) json: bool,
    #[command(subcommand)]
    pub(crate) command: Command,
}

const EXIT_CODES: &str = "Exit codes: 0 done, 1 failure, 2 wrong usage, 3 invalid set, \
4 conflict with another publication, 5 undecided, 6 unreachable, 7 refused, 8 sets differ, \
9 guarantee violated in a demo";

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Check the set in a directory and report all problems
    Check(commands::check::Args),
    /// Compare the set in a directory with the current set
    Diff(commands::diff::Args),
    /// Publish the set in a directory
    Apply(commands::apply::Args),
    /// Show the current set
    Get(commands::get::Args),
    /// Show the status of VMs
    Status(commands::status::Args),
    /// Take a VM out of service without interrupting calls
    Drain(commands::drain::Args),
    /// Merge the events of VMs into one timeline
    Timeline(commands::timeline::Args),
    /// Send calls at a mean rate and report their latency
    Load(commands::load::Args),
    /// Compare the scheduling policy with its baselines in a simulation
    Bench(commands::bench::Args),
    /// Print the scores in a journal of measured runs as a Markdown page
    Journal(commands::journal::Args),
    /// Generate or hash a bearer key
    Key(commands::key::Args),
    /// Run a whole deployment on this machine with stand-ins, callers and faults
    Demo(commands::demo::Args),
    /// Print the completion script for a shell
    Completions(commands::completions::Args),
}

impl Command {
    /// Runs the subcommand and writes its results to `output`.
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
