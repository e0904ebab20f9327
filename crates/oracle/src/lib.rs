//! Stateful random testing of the state machines against simple reference models.
//!
//! `scheduler_sim` and `cell_sim` drive one scheduler and the pools of one cell; `call_oracle`
//! checks their outputs. The `cluster_*` modules simulate several VMs, their links and the
//! platform in virtual time, and check keyed calls, membership, orders and publication. The
//! `quarantine_*` modules simulate requests that crash endpoints, and pass one VM's quarantine inputs of
//! any kind. Each oracle is verified by deliberate faults that it has to detect.

pub mod brittle_sim;
pub mod call_oracle;
pub mod calls;
mod cell_clock;
pub mod cell_machine;
pub mod cell_sim;
pub mod cluster_env;
pub mod cluster_event;
pub mod cluster_keys;
mod cluster_keys_oracle;
pub mod cluster_keys_steps;
pub mod cluster_members;
pub mod cluster_members_steps;
pub mod cluster_orders;
pub mod cluster_orders_steps;
pub mod cluster_publish;
pub mod cluster_search;
pub mod fixture;
pub mod fleet_sim;
pub mod limits_sim;
pub mod limits_steps;
pub mod mutation;
pub mod quarantine_inputs;
pub mod quarantine_oracle;
pub mod quarantine_sim;
pub mod quarantine_steps;
pub mod runner;
pub mod scheduler_machine;
pub mod scheduler_sim;
pub mod streams_sim;

#[cfg(test)]
mod cell_tests;
#[cfg(test)]
mod scheduler_tests;
