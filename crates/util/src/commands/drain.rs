//! `poplarctl drain`.
//!
//! The VM is found by its name among the addresses given, so that an address that was
//! handed on to another VM can't drain the wrong one.

use crate::{
    error::{NoVmSnafu, ToolError},
    exit::Exit,
    fleet::{Answer, Fleet, FleetArgs},
    output::Output,
};
use core::{net::SocketAddr, time::Duration};
use indicatif::ProgressBar;
use poplarswitch_entity::Incarnation;
use poplarswitch_wire::{Phase, Status};
use serde::Serialize;
use std::{thread, time::Instant};

/// Time between two questions whether the drain has ended.
const POLL: Duration = Duration::from_millis(500);

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Name of the VM
    vm: String,
    #[command(flatten)]
    fleet: FleetArgs,
    /// Return at once instead of waiting for the calls in flight
    #[arg(long)]
    no_wait: bool,
    /// Longest wait for the calls in flight, in seconds
    #[arg(long, default_value_t = 600)]
    timeout: u64,
}

/// How far the drain got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Progress {
    /// Calls are still in flight.
    Draining,
    /// The VM said that it has finished its calls.
    Drained,
    /// The process that was draining has ended.
    Ended,
}

#[derive(Debug, Serialize)]
struct Outcome<'a> {
    vm: &'a str,
    at: SocketAddr,
    incarnation: Incarnation,
    progress: Progress,
}

impl Args {
    pub(crate) fn run(&self, output: &mut Output<'_>) -> Result<Exit, ToolError> {
        let fleet = Fleet::new(&self.fleet)?;
        let (at, status) = find(&self.vm, fleet.statuses())?;
        fleet.post(at, "order drain", "/drain")?;
        let progress = if self.no_wait {
            Progress::Draining
        } else {
            self.wait(&fleet, at, &status)
        };
        let outcome = Outcome {
            vm: &self.vm,
            at,
            incarnation: status.incarnation,
            progress,
        };
        if output.is_json() {
            output.value(&outcome)?;
        } else {
            let word = match progress {
                Progress::Draining => "is draining",
                Progress::Drained => "has drained",
                Progress::Ended => "has drained and ended",
            };
            output.line(format_args!("{} at {at} {word}", self.vm))?;
        }
        Ok(match progress {
            Progress::Draining if !self.no_wait => Exit::Failure,
            _ => Exit::Success,
        })
    }

    /// Waits until the process has finished its calls, or has ended.
    fn wait(&self, fleet: &Fleet, at: SocketAddr, before: &Status) -> Progress {
        let bar = ProgressBar::new_spinner();
        let deadline = Instant::now() + Duration::from_secs(self.timeout);
        while Instant::now() < deadline {
            match fleet.get::<Status>(at, "read status", "/status") {
                Ok(now) if now.incarnation != before.incarnation => return Progress::Ended,
                Ok(now) if now.phase == Phase::Drained => return Progress::Drained,
                Ok(now) => bar.set_message(format!("{} calls in flight", now.calls.open)),
                Err(error) if error.is_closed_port() => return Progress::Ended,
                // A VM that can't be reached for now may still be draining.
                Err(_) => {}
            }
            bar.tick();
            thread::sleep(POLL);
        }
        Progress::Draining
    }
}

/// Finds a VM by its name.
fn find(vm: &str, answers: Vec<Answer<Status>>) -> Result<(SocketAddr, Status), ToolError> {
    let mut found = Vec::new();
    let mut failure = None;
    for answer in answers {
        match answer.result {
            Ok(status) if status.vm.as_str() == vm => return Ok((answer.at, status)),
            Ok(status) => found.push(status.vm.to_string()),
            Err(error) => failure = Some(error),
        }
    }
    match failure {
        Some(error) => Err(error),
        None => NoVmSnafu {
            vm,
            found: found.join(", "),
        }
        .fail(),
    }
}
