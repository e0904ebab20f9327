//! `poplarctl timeline`: merges the events of VMs into one timeline.

use crate::{
    commands::status,
    error::{FileSnafu, JsonSnafu, ToolError},
    exit::Exit,
    fleet::{FleetArgs, FleetClient},
    output::Output,
};
use clap::ValueEnum;
use poplarswitch_timeline::{Recording, Timeline, Trace, merge};
use snafu::ResultExt;
use std::{fs, path::PathBuf};

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Format {
    /// One line for each event
    Text,
    /// Trace Event Format (JSON), for the trace viewers of browsers
    Trace,
    /// The events as JSON
    Json,
}

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    #[command(flatten)]
    fleet: FleetArgs,
    /// Format of the output
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
    /// Show only the events of this call
    #[arg(long)]
    call: Option<String>,
    /// File to write instead of the standard output
    #[arg(long, short)]
    output: Option<PathBuf>,
}

impl Args {
    pub(crate) fn run(&self, output: &mut Output<'_>) -> Result<Exit, ToolError> {
        let responses =
            FleetClient::new(&self.fleet)?.get_all::<Recording>("read timeline", "/timeline");
        let exit = status::exit(&responses);
        let mut recordings = Vec::new();
        for response in responses {
            match response.result {
                Ok(recording) => recordings.push(recording),
                Err(error) => error.report(),
            }
        }
        let mut timeline = merge(recordings);
        if let Some(call) = &self.call {
            let wanted = Some(call.clone());
            timeline
                .events
                .retain(|event| event.call.map(|id| id.to_string()) == wanted);
        }
        self.write(&self.render(&timeline, output.is_json())?, output)?;
        Ok(exit)
    }

    fn render(&self, timeline: &Timeline, json: bool) -> Result<String, ToolError> {
        match self.format {
            Format::Text if !json => Ok(timeline.to_string()),
            Format::Text | Format::Json => serde_json::to_string(timeline).context(JsonSnafu),
            Format::Trace => serde_json::to_string(&Trace::new(timeline)).context(JsonSnafu),
        }
    }

    fn write(&self, text: &str, output: &mut Output<'_>) -> Result<(), ToolError> {
        match &self.output {
            Some(path) => fs::write(path, text).context(FileSnafu {
                step: "write timeline",
                path: path.display().to_string(),
            }),
            None => output.line(text.trim_end()),
        }
    }
}
