//! `poplarctl bench`: compares the scheduling policy with its baselines in a simulation.

use crate::{
    error::{FileSnafu, JsonSnafu, PlotSnafu, ToolError},
    exit::Exit,
    fleet::progress,
    output::Output,
};
use poplarswitch_bench::{Options, Report, Scenario, plot, run};
use snafu::ResultExt;
use std::{
    fs,
    path::{Path, PathBuf},
};

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Scenarios to run; all if none is given
    #[arg(value_parser = scenario)]
    scenarios: Vec<Scenario>,
    /// Numbers of VMs to simulate, separated by commas
    #[arg(long, value_delimiter = ',', default_values_t = [1, 6, 9],
        value_parser = clap::value_parser!(u32).range(1..=64))]
    vms: Vec<u32>,
    /// Number of seeds for each scenario and number of VMs
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    seeds: u64,
    /// Maximum number of concurrent runs
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=256))]
    threads: u16,
    /// Also print a row for each seed and class
    #[arg(long)]
    all: bool,
    /// Directory for the report as JSON and a plot of each scenario as SVG
    #[arg(long, short)]
    out: Option<PathBuf>,
}

impl Args {
    pub(crate) fn run(&self, output: &mut Output<'_>) -> Result<Exit, ToolError> {
        let report = self.report();
        if let Some(dir) = &self.out {
            write(&report, dir)?;
        }
        if output.is_json() {
            output.value(&report)?;
            return Ok(Exit::Success);
        }
        if self.all {
            output.line(report.table())?;
        }
        output.line(report.summary())?;
        let missed = report.missed_goals();
        output.line(format_args!("{} goals missed", missed.len()))?;
        missed.iter().try_for_each(|goal| output.line(goal))?;
        Ok(Exit::Success)
    }

    /// Runs the scenarios one after another, so that the progress bar shows how many have finished.
    fn report(&self) -> Report {
        let scenarios = match self.scenarios.as_slice() {
            [] => &Scenario::ALL[..],
            some => some,
        };
        let bar = progress(scenarios.len(), "scenarios");
        let mut report = Report::default();
        for scenario in scenarios {
            let options = Options::builder()
                .scenarios(vec![*scenario])
                .vms(self.vms.clone())
                .seeds((1..=self.seeds).collect())
                .threads(self.threads.into())
                .build();
            report.rows.extend(run(&options).rows);
            bar.inc(1);
        }
        bar.finish_and_clear();
        report
    }
}

fn scenario(name: &str) -> Result<Scenario, String> {
    Scenario::parse(name).ok_or_else(|| {
        let names = Scenario::ALL.map(|scenario| scenario.to_string());
        format!("expected one of {}", names.join(", "))
    })
}

fn write(report: &Report, dir: &Path) -> Result<(), ToolError> {
    plot(report, dir).context(PlotSnafu)?;
    let path = dir.join("report.json");
    let text = serde_json::to_string_pretty(report).context(JsonSnafu)?;
    fs::write(&path, text).context(FileSnafu {
        step: "write the report",
        path: path.display().to_string(),
    })
}
