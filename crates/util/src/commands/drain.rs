//! `poplarctl drain`: takes a VM out of service without interrupting calls.
//!
//! The VM is found by its name among the given addresses, so that an address that now belongs to
//! another VM can't cause the wrong VM to be drained.

use crate::{
    error::{ToolError, VmNotFoundSnafu},
    exit::Exit,
    fleet::{FleetArgs, FleetClient, VmResponse},
    output::Output,
};
use core::{net::SocketAddr, time::Duration};
use indicatif::ProgressBar;
use poplarswitch_entity::Incarnation;
use poplarswitch_wire::{Phase, Status};
use serde::Serialize;
use std::{thread, time::Instant};

/// Time between two requests for the status of the draining VM.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

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

/// Progress of the drain when the command ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Progress {
    /// The drain has been started, but not observed to end.
    Draining,
    /// The VM has reported that all of its calls have ended.
    Drained,
    /// The process that was drained has ended.
    Ended,
}

#[derive(Debug, Serialize)]
struct DrainOutcome<'a> {
    vm: &'a str,
    at: SocketAddr,
    incarnation: Incarnation,
    progress: Progress,
}

impl Args {
    pub(crate) fn run(&self, output: &mut Output<'_>) -> Result<Exit, ToolError> {
        let client = FleetClient::new(&self.fleet)?;
        let (at, status) = find(&self.vm, client.statuses())?;
        client.post(at, "start drain", "/drain")?;
        let progress = if self.no_wait {
            Progress::Draining
        } else {
            self.wait(&client, at, &status)
        };
        let outcome = DrainOutcome {
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

    /// Waits until the calls of the VM have ended, its process has ended or the wait has timed out.
    fn wait(&self, client: &FleetClient, at: SocketAddr, before: &Status) -> Progress {
        let bar = ProgressBar::new_spinner();
        let deadline = Instant::now() + Duration::from_secs(self.timeout);
        while Instant::now() < deadline {
            match client.get::<Status>(at, "read status", "/status") {
                Ok(now) if now.incarnation != before.incarnation => return Progress::Ended,
                Ok(now) if now.phase == Phase::Drained => return Progress::Drained,
                Ok(now) => bar.set_message(format!("{} calls in flight", now.calls.open)),
                Err(error) if error.is_closed_port() => return Progress::Ended,
                // The VM may still be draining, although the request for its status failed.
                Err(_) => {}
            }
            bar.tick();
            thread::sleep(POLL_INTERVAL);
        }
        Progress::Draining
    }
}

/// Finds a VM by name and returns its address and status.
///
/// If no response has this name, returns the error of a failed request if there was one.
fn find(vm: &str, responses: Vec<VmResponse<Status>>) -> Result<(SocketAddr, Status), ToolError> {
    let mut found = Vec::new();
    let mut failure = None;
    for response in responses {
        match response.result {
            Ok(status) if status.vm.as_str() == vm => return Ok((response.address, status)),
            Ok(status) => found.push(status.vm.to_string()),
            Err(error) => failure = Some(error),
        }
    }
    match failure {
        Some(error) => Err(error),
        None => VmNotFoundSnafu {
            vm,
            found: found.join(", "),
        }
        .fail(),
    }
}
