//! `poplarctl demo`.
//!
//! Stand-ins for the platform, the engines and the services, three entry VMs and callers of
//! every class run in this one process and talk over HTTP on loopback. While calls run, the
//! platform goes away for a while, an engine crashes and a VM is replaced; afterwards what
//! the callers saw is held against what the services ran.

mod audit;
mod fleet;
mod profile;
mod report;
mod script;
mod sets;
mod tally;
mod traffic;
mod world;

#[cfg(test)]
mod audit_tests;
#[cfg(test)]
mod sets_tests;
#[cfg(test)]
mod tally_tests;

use crate::{error::ToolError, exit::Exit, output::Output};
use core::time::Duration;
use report::Reports;
use sets::User;

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// The deployment to run; both if left out
    #[arg(long, value_enum)]
    user: Option<User>,
    /// Seconds of calls for each deployment
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(4..=600))]
    seconds: u64,
    /// Seed of the calls
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Leave out the outage, the crash and the replacement
    #[arg(long)]
    calm: bool,
}

impl Args {
    pub(crate) fn run(&self, output: &mut Output<'_>) -> Result<Exit, ToolError> {
        let users = self.user.map_or(User::ALL.to_vec(), |user| vec![user]);
        let mut reports = Vec::new();
        for user in users {
            output.note(&format!("{}: {} s of calls", user.name(), self.seconds))?;
            reports.push(script::run(user, &self.plan())?);
        }
        let reports = Reports(reports);
        output.show(&reports)?;
        if reports.is_broken() {
            return Ok(Exit::Broken);
        }
        Ok(Exit::Success)
    }

    const fn plan(&self) -> script::Plan {
        script::Plan {
            time: Duration::from_secs(self.seconds),
            seed: self.seed,
            calm: self.calm,
        }
    }
}
