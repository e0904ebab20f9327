//! Stateful fuzzing of the cores against simple oracles.

pub mod calls;
pub mod cell;
pub mod cell_machine;
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
