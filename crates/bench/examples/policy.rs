//! Runs the policy benchmark: `policy [--seeds N] [--all] [--out DIR] [scenario ...]`.
//!
//! Without scenarios, all of them run, each with the seeds from 1 to N (default 3). Always prints
//! the summary and the missed goals. `--all` adds a table with a line for each seed and class,
//! `--out` writes the figures as JSON and the plots to a directory.

use poplarswitch_bench::{Options, Scenario, plot, run};
use std::{env, error::Error, fs, path::PathBuf};

fn main() -> Result<(), Box<dyn Error>> {
    let mut seeds = 3;
    let mut all = false;
    let mut out: Option<PathBuf> = None;
    let mut scenarios = Vec::new();
    let mut args = env::args().skip(1);
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--all" => all = true,
            "--seeds" => seeds = args.next().ok_or("--seeds needs a number")?.parse()?,
            "--out" => out = args.next().map(PathBuf::from),
            name => scenarios.push(Scenario::parse(name).ok_or("no such scenario")?),
        }
    }
    if scenarios.is_empty() {
        scenarios = Scenario::ALL.to_vec();
    }
    let options = Options::builder()
        .scenarios(scenarios)
        .seeds((1..=seeds).collect())
        .build();
    let report = run(&options);
    if all {
        println!("{}\n", report.table());
    }
    println!("{}\n", report.summary());
    let missed = report.missed_goals();
    println!("{} missed goals", missed.len());
    for line in missed {
        println!("- {line}");
    }
    if let Some(dir) = out {
        plot(&report, &dir)?;
        fs::write(dir.join("report.json"), serde_json::to_string(&report)?)?;
    }
    Ok(())
}
