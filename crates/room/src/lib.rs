//! Which calls are sent, sent late or refused when engines have less room than callers ask for.
//!
//! Callers spread their attempts over the VMs at random, so a VM's own calls are a sample of those of
//! all VMs, and engines, which all VMs share, order what they get by rank. Each VM therefore decides
//! alone, by the same rules, from its sample and the engines' reports, and a VM that is cut off from
//! the others decides as well as before. Decisions have no I/O, clock or threads.

mod limits;

#[cfg(test)]
mod limits_tests;

pub use limits::{CallTimes, StartLimits};
