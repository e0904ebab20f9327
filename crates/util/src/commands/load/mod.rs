//! `poplarctl load`: sends calls at a mean rate and reports their latency.
//!
//! The load is open-loop: a call starts at its scheduled time whether or not earlier calls have
//! ended, as with independent callers. A tool that waits for each response would send fewer calls
//! just when the system is slow. The number of callers is bounded. Calls queue while all callers
//! are busy, up to one call per caller; a call that finds the queue full is counted as not
//! started. Latency is measured from the scheduled time, so it includes the time in the queue.

mod arrivals;
mod run;
mod stats;

#[cfg(test)]
mod arrivals_tests;
#[cfg(test)]
mod stats_tests;

use crate::{error::ToolError, exit::Exit, output::Output};
use core::net::SocketAddr;
use std::path::PathBuf;

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Caller addresses of some VMs, separated by commas; the other VMs are discovered
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
    /// Class of the calls; if omitted, the default class of the model or service
    #[arg(long)]
    class: Option<String>,
    #[command(flatten)]
    route: Route,
    /// Mean rate in calls per second, above 0 and at most 100000
    #[arg(long, default_value_t = 10.0, value_parser = rate)]
    rate: f64,
    /// Time during which calls start, in seconds
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    seconds: u64,
    /// Maximum number of calls
    #[arg(long, default_value_t = 100_000)]
    max_calls: u64,
    /// Number of callers, which is the maximum number of concurrent calls
    #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u16).range(1..=1_024))]
    callers: u16,
    /// Size of the generated text in each prompt or body, in bytes
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u32).range(1..=1_048_576))]
    input_bytes: u32,
    /// Share of equal requests, with the same path and body, in per cent; without it, the bodies of chat
    /// calls differ and those of service calls don't
    #[arg(long, value_parser = clap::value_parser!(u8).range(0..=100))]
    equal: Option<u8>,
    /// Share of chat calls whose prompts have a section in common, in per cent
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u8).range(0..=100))]
    shared: u8,
    /// Maximum number of output tokens of a chat call
    #[arg(long, default_value_t = 64)]
    max_tokens: u32,
    /// Seed of the arrival times and of the choice of VMs
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// The model or service that is called.
#[derive(Debug, clap::Args)]
#[group(required = true, multiple = false)]
struct Route {
    /// Model of chat calls
    #[arg(long)]
    model: Option<String>,
    /// Service and path of service calls, each with a new idempotency key
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
        _ => Err("expected a number of calls per second above 0 and at most 100000".to_owned()),
    }
}
