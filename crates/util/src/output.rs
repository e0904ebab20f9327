//! The output of commands: text, or JSON for programs.

use crate::error::{JsonSnafu, PrintSnafu, ToolError};
use comfy_table::{Table, presets::NOTHING};
use core::fmt;
use serde::Serialize;
use snafu::ResultExt;
use std::io::Write;

/// Writes the output of one command.
pub(crate) struct Output<'a> {
    json: bool,
    sink: &'a mut dyn Write,
}

impl fmt::Debug for Output<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Output").field("json", &self.json).finish()
    }
}

impl<'a> Output<'a> {
    /// Creates an output that writes to a sink.
    pub(crate) fn new(json: bool, sink: &'a mut dyn Write) -> Self {
        Self { json, sink }
    }

    /// Whether the output is JSON.
    pub(crate) const fn is_json(&self) -> bool {
        self.json
    }

    /// Writes one line of text.
    pub(crate) fn line(&mut self, text: impl fmt::Display) -> Result<(), ToolError> {
        writeln!(self.sink, "{text}").context(PrintSnafu)
    }

    /// Writes one line of text, or nothing if the output is JSON.
    pub(crate) fn note(&mut self, text: &str) -> Result<(), ToolError> {
        if self.json {
            return Ok(());
        }
        self.line(text)
    }

    /// Writes a value as JSON.
    pub(crate) fn value(&mut self, value: &impl Serialize) -> Result<(), ToolError> {
        serde_json::to_writer_pretty(&mut *self.sink, value).context(JsonSnafu)?;
        self.line("")
    }

    /// Writes a value as JSON if the output is JSON, else as text.
    pub(crate) fn show(
        &mut self,
        value: &(impl Serialize + fmt::Display),
    ) -> Result<(), ToolError> {
        if self.json {
            return self.value(value);
        }
        write!(self.sink, "{value}").context(PrintSnafu)
    }
}

/// Creates a table without borders.
pub(crate) fn table(headings: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header(headings);
    table
}
