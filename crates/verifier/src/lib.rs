//! Checks a whole set of objects and reports every error with its location.
//!
//! A set is published as a whole, so it is checked as a whole: every rule runs on every set and
//! adds its findings, whatever the other rules have found. Only a set without errors can be
//! wrapped in a [`VerifiedSet`].

mod finding;
mod index;
mod rules;
mod verify;

#[cfg(test)]
mod example_sets_tests;
#[cfg(test)]
mod fixture;
#[cfg(test)]
mod fuzz_tests;
#[cfg(test)]
mod verify_tests;

pub use finding::{Code, Finding, Findings, Severity};
pub use verify::{VerifiedSet, verify, verify_located};
