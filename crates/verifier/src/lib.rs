//! Checks a whole set of objects and reports every error with its location.
//!
//! A set is published as a whole, so it is checked as a whole: each rule walks the set by
//! itself and adds what it finds, and no rule stops another. Only a set without errors
//! becomes [`VerifiedSet`], the proof that publication asks for.

mod finding;
mod index;
mod proof;
mod rules;

#[cfg(test)]
mod fixture;
#[cfg(test)]
mod fuzz_tests;
#[cfg(test)]
mod proof_tests;
#[cfg(test)]
mod sets_tests;

pub use finding::{Code, Finding, Findings, Severity};
pub use proof::{VerifiedSet, verify, verify_located};
