//! `poplarctl status`.

use crate::{
    error::ToolError,
    exit::Exit,
    fleet::{Answer, Fleet, FleetArgs},
    output::{Output, table},
};
use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::Generation;
use poplarswitch_wire::{EndpointState, Status};
use serde::Serialize;
use std::{thread, time::Instant};

/// Time between two questions for the generation.
const POLL: Duration = Duration::from_millis(200);

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    #[command(flatten)]
    fleet: FleetArgs,
    /// Wait until every VM has this generation or a later one in force
    #[arg(long, value_name = "GENERATION")]
    until: Option<u64>,
    /// Longest wait for the generation, in seconds
    #[arg(long, default_value_t = 30, requires = "until")]
    timeout: u64,
}

#[derive(Debug, Serialize)]
struct Line {
    at: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<Status>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

impl From<&Answer<Status>> for Line {
    fn from(answer: &Answer<Status>) -> Self {
        Self {
            at: answer.at,
            status: answer.result.as_ref().ok().cloned(),
            error: answer.result.as_ref().err().map(ToString::to_string),
        }
    }
}

impl Args {
    pub(crate) fn run(&self, output: &mut Output<'_>) -> Result<Exit, ToolError> {
        let fleet = Fleet::new(&self.fleet)?;
        let (answers, reached) = match self.until {
            Some(generation) => self.wait(&fleet, Generation(generation)),
            None => (fleet.statuses(), true),
        };
        if output.is_json() {
            let lines: Vec<Line> = answers.iter().map(Line::from).collect();
            output.value(&lines)?;
        } else {
            print(&answers, output)?;
        }
        Ok(match exit(&answers) {
            Exit::Success if !reached => Exit::Failure,
            exit => exit,
        })
    }

    /// Asks until every VM has the generation; says whether they had it in time.
    fn wait(&self, fleet: &Fleet, generation: Generation) -> (Vec<Answer<Status>>, bool) {
        let deadline = Instant::now() + Duration::from_secs(self.timeout);
        loop {
            let answers = fleet.statuses();
            let has = |answer: &Answer<Status>| match &answer.result {
                Ok(status) => status.generation >= generation,
                Err(_) => false,
            };
            let reached = answers.iter().all(has);
            if reached || Instant::now() >= deadline {
                return (answers, reached);
            }
            thread::sleep(POLL);
        }
    }
}

/// The code of the first VM that gave no answer.
pub(crate) fn exit<T>(answers: &[Answer<T>]) -> Exit {
    answers
        .iter()
        .find_map(|answer| answer.result.as_ref().err())
        .map_or(Exit::Success, ToolError::exit)
}

fn print(answers: &[Answer<Status>], output: &mut Output<'_>) -> Result<(), ToolError> {
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
    for answer in answers {
        if let Ok(status) = &answer.result {
            rows.add_row(row(status));
        }
    }
    output.line(rows)?;
    for answer in answers {
        if let Err(error) = &answer.result {
            output.line(format_args!("{}: {error}", answer.at))?;
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
        word(&status.phase),
        status.generation.to_string(),
        word(&status.platform),
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

/// The word that stands for a value in JSON.
fn word(value: &impl Serialize) -> String {
    let form = serde_json::to_value(value).unwrap_or_default();
    form.as_str().unwrap_or_default().to_owned()
}
