//! Policy benchmark in virtual time, its baselines, tables and plots.
//!
//! The benchmark measures scheduling decisions, not the performance of a network. It simulates
//! engines by a fluid model of continuous batching, and each VM by a `Pool` of its own. A message
//! between two VMs, or between a VM and an endpoint, arrives after a fixed delay. A run is given
//! by a scenario, a number of VMs, the sharing of schedulers, a policy and a seed; it gives the
//! same figures on every machine.

mod cache;
mod demand;
mod endpoints;
mod engine;
mod events;
mod goals;
mod options;
mod plot;
mod report;
mod run;
mod scenario;
mod sim;
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
