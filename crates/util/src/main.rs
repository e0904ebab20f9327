//! `poplarctl`, the operators' tool.
//!
//! Each subcommand is a module with its arguments and a `run` method, which returns an
//! [`Exit`](exit::Exit) or an error that names the step and the peer. Exit codes are stable and
//! documented.

mod cli;
mod commands;
mod error;
mod exit;
mod fleet;
mod output;
mod publication;

#[cfg(test)]
mod cli_tests;
#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod node_tests;
#[cfg(test)]
mod platform_tests;
#[cfg(test)]
mod publication_tests;

use clap::Parser as _;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

fn main() -> ExitCode {
    let cli = cli::Cli::parse();
    tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::from_default_env())
        .with_writer(std::io::stderr)
        .init();
    let mut stdout = std::io::stdout().lock();
    let mut output = output::Output::new(cli.json, &mut stdout);
    let exit = match cli.command.run(&mut output) {
        Ok(exit) => exit,
        Err(error) => {
            error.report();
            error.exit()
        }
    };
    exit.into()
}
