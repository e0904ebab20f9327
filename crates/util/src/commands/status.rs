//! `poplarctl status`: shows the status of VMs.

use crate::{
    commands::relay_status,
    error::ToolError,
    exit::Exit,
    fleet::{FleetArgs, FleetClient, VmResponse},
    output::{Output, table},
};
use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::Generation;
use poplarswitch_wire::{EndpointState, Status};
use serde::Serialize;
use std::{thread, time::Instant};

/// Time between two requests for the generation of the VMs.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, clap::Args)]
#[command(mut_arg("at", |arg| arg.required(false).required_unless_present("relay")))]
pub(crate) struct Args {
    #[command(flatten)]
    fleet: FleetArgs,
    /// Show the duties, the engines and the speed of endpoints as the relay with this metrics
    /// address knows them; needs no operators' address and no secret
    #[arg(long, value_name = "[http://]HOST:PORT", value_parser = relay_status::parse_address)]
    relay: Option<SocketAddr>,
    /// Wait until every VM has this generation or a later one in force
    #[arg(long, value_name = "GENERATION", conflicts_with = "relay")]
    until: Option<u64>,
    /// Longest wait for the generation, in seconds
    #[arg(long, default_value_t = 30, requires = "until")]
    timeout: u64,
}

#[derive(Debug, Serialize)]
struct VmStatus {
    at: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<Status>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

impl From<&VmResponse<Status>> for VmStatus {
    fn from(response: &VmResponse<Status>) -> Self {
        Self {
            at: response.address,
            status: response.result.as_ref().ok().cloned(),
            error: response.result.as_ref().err().map(ToString::to_string),
        }
    }
}

impl Args {
    pub(crate) fn run(&self, output: &mut Output<'_>) -> Result<Exit, ToolError> {
        if let Some(address) = self.relay {
            return relay_status::run(address, output);
        }
        let client = FleetClient::new(&self.fleet)?;
        let (responses, reached) = match self.until {
            Some(generation) => self.wait(&client, Generation(generation)),
            None => (client.statuses(), true),
        };
        if output.is_json() {
            let statuses: Vec<VmStatus> = responses.iter().map(VmStatus::from).collect();
            output.value(&statuses)?;
        } else {
            print(&responses, output)?;
        }
        Ok(match exit(&responses) {
            Exit::Success if !reached => Exit::Failure,
            exit => exit,
        })
    }

    /// Waits until every VM has the generation or a later one in force; returns the last responses
    /// and whether every VM had it before the timeout.
    fn wait(
        &self,
        client: &FleetClient,
        generation: Generation,
    ) -> (Vec<VmResponse<Status>>, bool) {
        let deadline = Instant::now() + Duration::from_secs(self.timeout);
        loop {
            let responses = client.statuses();
            let has_generation = |response: &VmResponse<Status>| match &response.result {
                Ok(status) => status.generation >= generation,
                Err(_) => false,
            };
            let reached = responses.iter().all(has_generation);
            if reached || Instant::now() >= deadline {
                return (responses, reached);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Returns the exit code of the first failed request, or success.
pub(crate) fn exit<T>(responses: &[VmResponse<T>]) -> Exit {
    responses
        .iter()
        .find_map(|response| response.result.as_ref().err())
        .map_or(Exit::Success, ToolError::exit)
}

fn print(responses: &[VmResponse<Status>], output: &mut Output<'_>) -> Result<(), ToolError> {
    let mut rows = table(&[
        "VM",
        "DATA CENTRE",
        "PHASE",
        "GENERATION",
        "PLATFORM",
        "MEMBERS",
        "ENDPOINTS",
        "OPEN",
        "RUNNING",
        "ANSWERED",
        "REFUSED",
        "FAILED",
        "IN DOUBT",
        "CANCELLED",
    ]);
    for response in responses {
        if let Ok(status) = &response.result {
            rows.add_row(row(status));
        }
    }
    output.line(rows)?;
    for response in responses {
        if let Err(error) = &response.result {
            output.line(format_args!("{}: {error}", response.address))?;
        }
    }
    Ok(())
}

fn row(status: &Status) -> Vec<String> {
    let up = |state: EndpointState| state == EndpointState::Up;
    let ready = status.endpoints.iter().filter(|one| up(one.state)).count();
    let calls = &status.calls;
    vec![
        status.vm.to_string(),
        status.data_centre.to_string(),
        json_string(&status.phase),
        status.generation.to_string(),
        json_string(&status.platform),
        status.members.len().to_string(),
        format!("{ready}/{}", status.endpoints.len()),
        calls.open.to_string(),
        calls.running.to_string(),
        calls.answered.to_string(),
        calls.refused.to_string(),
        calls.failed.to_string(),
        calls.in_doubt.to_string(),
        calls.cancelled.to_string(),
    ]
}

/// Returns the JSON string of a value, such as a unit variant.
fn json_string(value: &impl Serialize) -> String {
    let json = serde_json::to_value(value).unwrap_or_default();
    json.as_str().unwrap_or_default().to_owned()
}
