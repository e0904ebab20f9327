//! Prints the policy benchmark: `policy [--seeds N] [--all] [--out DIR] [scenario ...]`.
//!
//! Without scenarios all of them run. The summary and the misses are always printed,
//! `--all` adds a line for each seed and class, `--out` writes JSON and plots.

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
    let misses = report.missed_goals();
    println!("{} misses", misses.len());
    for line in misses {
        println!("- {line}");
    }
    if let Some(dir) = out {
        plot(&report, &dir)?;
        fs::write(dir.join("report.json"), serde_json::to_string(&report)?)?;
    }
    Ok(())
}
