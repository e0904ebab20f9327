//! Settings of a process: parsing, validation, conversion to JSON, and loading of secrets.
//!
//! The settings file is JSON. A missing field takes its default if it has one, and an unknown
//! field is an error. Validation reports all invalid values at once, each with the path of its
//! field, so that an operator can correct them together. Secrets are not part of the settings;
//! the file names the files that contain them.

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
