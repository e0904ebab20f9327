//! Stateful fuzzing of the cores against simple oracles.

pub mod cluster_keys;
pub mod cluster_keys_steps;
pub mod cluster_members;
pub mod cluster_members_steps;
pub mod cluster_net;
pub mod cluster_orders;
pub mod cluster_publish;
pub mod cluster_run;
