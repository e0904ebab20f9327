//! `poplarctl load`.
//!
//! Calls start on a schedule of their own, whether or not earlier ones have ended, since
//! that is what callers do; a tool that waits for each answer would spare the system just
//! when it is slow. Callers are bounded: a call that finds none free is counted as not
//! started.

mod pace;
mod run;
mod tally;

#[cfg(test)]
mod pace_tests;
#[cfg(test)]
mod tally_tests;

use crate::{error::ToolError, exit::Exit, output::Output};
use core::net::SocketAddr;
use std::path::PathBuf;

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Callers' addresses of any VMs, separated by commas; others are discovered
    #[arg(
        long,
        env = "POPLARSWITCH_CALLERS",
        value_delimiter = ',',
        required = true
    )]
    at: Vec<SocketAddr>,
    /// File with the bearer key
    #[arg(long)]
    key_file: PathBuf,
    /// Class of the calls; the default of the model or service if left out
    #[arg(long)]
    class: Option<String>,
    #[command(flatten)]
    route: Route,
    /// Calls a second
    #[arg(long, default_value_t = 10.0, value_parser = rate)]
    rate: f64,
    /// Duration in seconds
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    seconds: u64,
    /// Most calls in all
    #[arg(long, default_value_t = 100_000)]
    max_calls: u64,
    /// Callers, which is the most calls at once
    #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u16).range(1..=1_024))]
    callers: u16,
    /// Bytes of each prompt or body
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u32).range(1..=1_048_576))]
    input_bytes: u32,
    /// Most tokens of an answer
    #[arg(long, default_value_t = 64)]
    max_tokens: u32,
    /// Seed of the arrival times
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// What the calls ask for.
#[derive(Debug, clap::Args)]
#[group(required = true, multiple = false)]
struct Route {
    /// Model of chat calls
    #[arg(long)]
    model: Option<String>,
    /// Service and path of plain calls, each with a new idempotency key
    #[arg(long)]
    service: Option<String>,
}

impl Args {
    pub(crate) fn run(&self, output: &mut Output<'_>) -> Result<Exit, ToolError> {
        let report = run::run(self)?;
        output.show(&report)?;
        if report.is_empty() {
            return Ok(Exit::Failure);
        }
        Ok(Exit::Success)
    }
}

fn rate(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(rate) if rate > 0.0 && rate <= 100_000.0 => Ok(rate),
        _ => Err("expected a number above 0, at most 100000".to_owned()),
    }
}
