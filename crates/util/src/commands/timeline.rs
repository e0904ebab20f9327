//! `poplarctl timeline`.

use crate::{
    commands::status,
    error::{FileSnafu, JsonSnafu, ToolError},
    exit::Exit,
    fleet::{Fleet, FleetArgs},
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
    /// Trace-event JSON, which browsers' trace viewers open
    Trace,
    /// The events as JSON
    Json,
}

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    #[command(flatten)]
    fleet: FleetArgs,
    /// The form of the output
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
    /// Only events of this call
    #[arg(long)]
    call: Option<String>,
    /// Write to a file
    #[arg(long, short)]
    output: Option<PathBuf>,
}

impl Args {
    pub(crate) fn run(&self, output: &mut Output<'_>) -> Result<Exit, ToolError> {
        let answers = Fleet::new(&self.fleet)?.ask_all::<Recording>("read time line", "/timeline");
        let exit = status::exit(&answers);
        let mut recordings = Vec::new();
        for answer in answers {
            match answer.result {
                Ok(recording) => recordings.push(recording),
                Err(error) => error.report(),
            }
        }
        let mut view = merge(recordings);
        if let Some(call) = &self.call {
            let wanted = Some(call.clone());
            view.events
                .retain(|event| event.call.map(|id| id.to_string()) == wanted);
        }
        self.write(&self.form(&view, output.is_json())?, output)?;
        Ok(exit)
    }

    fn form(&self, view: &Timeline, json: bool) -> Result<String, ToolError> {
        match self.format {
            Format::Text if !json => Ok(view.to_string()),
            Format::Text | Format::Json => serde_json::to_string(view).context(JsonSnafu),
            Format::Trace => serde_json::to_string(&Trace::new(view)).context(JsonSnafu),
        }
    }

    fn write(&self, text: &str, output: &mut Output<'_>) -> Result<(), ToolError> {
        match &self.output {
            Some(path) => fs::write(path, text).context(FileSnafu {
                step: "write time line",
                path: path.display().to_string(),
            }),
            None => output.line(text.trim_end()),
        }
    }
}
