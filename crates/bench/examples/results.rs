//! Writes the results page `RESULTS.md` and its plots: `results DIR`.

use poplarswitch_bench::{Options, Report, Scenario, Sharing, plot, run};
use poplarswitch_scheduler::Policy;
use std::{env, error::Error, fs, path::Path};

/// Scenarios whose plots the page shows.
const PLOTTED_SCENARIOS: [Scenario; 2] = [Scenario::AtlasBriefing, Scenario::AbayCrowd2];
/// Number of VMs for which the page shows the figures of each seed.
const SEED_TABLE_VMS: u32 = 6;

const HEAD: &str = "\
# Results of the policy benchmark

Written by `cargo run --release -p poplarswitch-bench --example results -- docs`; don't edit.

Virtual time: the same command gives the same figures on every machine. Engines are a fluid model
of continuous batching, VMs are pools with the delays of the two users between their data centres;
seeds 1 to 3. The sets, classes, lengths and rates are in `crates/bench/src/world.rs`, the scenarios
in `scenario.rs`. A burst or fault lasts from 30 s (60 s for a straggler or a crash) to 120 s.

- **attained**: share of all calls that arrived, also those refused, whose whole answer came within
  the class's target (first token and mean gap, or time of the answer).
- **goodput**: tokens a second in answers that attained their target.
- **engine time useful**: share of the engines' time in the burst that such answers cost with full
  batches; 100% is what the engines could do.
- **wasted**: share of generated tokens that belong to no whole answer.
- All policies of a number of VMs share one scheduler per route, the baselines too; *full, VMs
  alone* is the full policy with VMs that decide for themselves.

";

fn main() -> Result<(), Box<dyn Error>> {
    let dir = env::args()
        .nth(1)
        .ok_or("missing argument: the directory of the results page")?;
    let dir = Path::new(&dir);
    let report = run(&Options::default());
    fs::write(dir.join("RESULTS.md"), page(&report))?;
    plot(
        &filter_rows(&report, |row| PLOTTED_SCENARIOS.contains(&row.scenario)),
        &dir.join("plots"),
    )?;
    Ok(())
}

fn page(report: &Report) -> String {
    let missed = report.missed_goals();
    let goals = format!("- {}", missed.join("\n- "));
    let seeds = filter_rows(report, |row| {
        let full = row.policy == Policy::Full && row.sharing == Sharing::Cell;
        full && row.vms == SEED_TABLE_VMS
    });
    let images = PLOTTED_SCENARIOS.map(|scenario| format!("![{scenario}](plots/{scenario}.svg)"));
    let plots = images.join(
        "

",
    );
    format!(
        "{HEAD}{plots}\n\n## All cases, means over the seeds\n\n{}\n\n\
         ## Goals missed by the full policy ({})\n\n{goals}\n\n\
         ## Each seed of the full policy on {SEED_TABLE_VMS} VMs\n\n{}\n",
        report.summary(),
        missed.len(),
        seeds.table(),
    )
}

fn filter_rows(report: &Report, keep: impl Fn(&poplarswitch_bench::Row) -> bool) -> Report {
    Report {
        rows: report
            .rows
            .iter()
            .filter(|row| keep(row))
            .cloned()
            .collect(),
    }
}
