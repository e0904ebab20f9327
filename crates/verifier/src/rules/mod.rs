//! The rules, one per module.

pub(crate) mod classes;
pub(crate) mod endpoints;
pub(crate) mod keys;
pub(crate) mod limits;
pub(crate) mod names;
pub(crate) mod references;
pub(crate) mod size;
pub(crate) mod tiers;
pub(crate) mod usage;

#[cfg(test)]
mod rules_tests;
