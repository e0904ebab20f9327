//! `poplarctl demo`: runs a whole deployment in one process, with injected faults.
//!
//! Stand-ins for the platform, the engines and the services, three entry VMs and callers of every
//! class run in the process of the tool and communicate over HTTP on the loopback interface.
//! While calls run, the platform is unavailable for some time, an engine crashes and a VM is
//! replaced. Afterwards the outcomes that the callers saw are compared with the calls that the
//! services ran.

mod audit;
mod fleet;
mod profile;
mod report;
mod script;
mod sets;
mod standins;
mod stats;
mod traffic;

#[cfg(test)]
mod audit_tests;
#[cfg(test)]
mod sets_tests;
#[cfg(test)]
mod stats_tests;

use crate::{error::ToolError, exit::Exit, output::Output};
use core::time::Duration;
use report::Reports;
use sets::Deployment;

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Deployment to run; both if omitted
    #[arg(long, value_enum)]
    user: Option<Deployment>,
    /// Time during which calls are sent to each deployment, in seconds
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(4..=600))]
    seconds: u64,
    /// Seed of the calls
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Inject no faults: no platform outage, no engine crash, no replacement of a VM
    #[arg(long)]
    calm: bool,
}

impl Args {
    pub(crate) fn run(&self, output: &mut Output<'_>) -> Result<Exit, ToolError> {
        let deployments = self
            .user
            .map_or(Deployment::ALL.to_vec(), |deployment| vec![deployment]);
        let mut reports = Vec::new();
        for deployment in deployments {
            output.note(&format!(
                "{}: sending calls for {} s",
                deployment.name(),
                self.seconds
            ))?;
            reports.push(script::run(deployment, &self.options())?);
        }
        let reports = Reports(reports);
        output.show(&reports)?;
        if reports.has_violations() {
            return Ok(Exit::Violated);
        }
        Ok(Exit::Success)
    }

    const fn options(&self) -> script::Options {
        script::Options {
            duration: Duration::from_secs(self.seconds),
            seed: self.seed,
            no_faults: self.calm,
        }
    }
}
