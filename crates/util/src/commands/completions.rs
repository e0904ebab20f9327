//! `poplarctl completions`: prints the completion script for a shell.

use crate::{cli::Cli, error::ToolError, exit::Exit, output::Output};
use clap::CommandFactory;
use clap_complete::{Shell, generate};

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Shell for which to print the script
    shell: Shell,
}

impl Args {
    pub(crate) fn run(&self, output: &mut Output<'_>) -> Result<Exit, ToolError> {
        let mut script = Vec::new();
        generate(self.shell, &mut Cli::command(), "poplarctl", &mut script);
        output.line(String::from_utf8_lossy(&script))?;
        Ok(Exit::Success)
    }
}
