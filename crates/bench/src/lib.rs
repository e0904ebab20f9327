//! Policy benchmark in virtual time, its baselines, tables and plots.
//!
//! It measures decisions, not a network: engines are a fluid model of continuous batching,
//! VMs are pools, messages between them take a fixed time. One run is a scenario, a number
//! of VMs, a policy and a seed, and gives the same figures on every machine.

mod cache;
mod demand;
mod engine;
mod events;
mod misses;
mod options;
mod plot;
mod report;
mod run;
mod scenario;
mod sim;
mod sites;
mod table;
mod tally;
mod world;

#[cfg(test)]
mod engine_tests;
#[cfg(test)]
mod sim_tests;

pub use options::{Options, Sharing};
pub use plot::{PlotError, plot};
pub use report::{ClassRow, Report, Row};
pub use run::run;
pub use scenario::Scenario;
