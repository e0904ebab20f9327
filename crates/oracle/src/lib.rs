//! Stateful fuzzing of the cores against simple oracles.

pub mod calls;
pub mod cell;
mod cell_clock;
pub mod cell_machine;
pub mod cluster_event;
pub mod cluster_keys;
mod cluster_keys_record;
pub mod cluster_keys_steps;
pub mod cluster_members;
pub mod cluster_members_steps;
pub mod cluster_net;
pub mod cluster_orders;
pub mod cluster_orders_steps;
pub mod cluster_publish;
pub mod cluster_run;
pub mod fixture;
pub mod hunt;
pub mod judge;
pub mod mutation;
pub mod solo;
pub mod solo_machine;

#[cfg(test)]
mod cell_tests;
#[cfg(test)]
mod solo_tests;
