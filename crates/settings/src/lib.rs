//! A process's settings: parses, validates and prints itself.
//!
//! The file is JSON. A field that is left out takes its default, a field that does not exist
//! is refused, and the checks report every error at once, each with the field's name, so that
//! an operator mends a file in one go. Secrets are never part of it; the file names where they
//! are kept.

mod check;
mod parse;
mod secret;
mod settings;

#[cfg(test)]
mod check_tests;
#[cfg(test)]
mod parse_fuzz_tests;
#[cfg(test)]
mod parse_tests;

pub use check::{FieldError, SettingsError};
pub use secret::{Secret, SecretError, Secrets};
pub use settings::{Addresses, Limits, SecretFiles, Settings};
