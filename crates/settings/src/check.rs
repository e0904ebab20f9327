//! Checks of values beyond their types.

use crate::Settings;
use core::fmt;
use snafu::Snafu;

/// A field with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// The path of the field.
    pub field: String,
    /// Description of a valid value.
    pub expected: String,
}

impl FieldError {
    fn new(field: &str, expected: &str) -> Self {
        Self {
            field: field.to_owned(),
            expected: expected.to_owned(),
        }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: expected {}", self.field, self.expected)
    }
}

/// Error of reading, parsing or validating settings.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("cannot read {path}: {source}"))]
    Read {
        /// The path of the file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The text is not JSON, or not the JSON of settings.
    #[snafu(display("field {field}: {message}"))]
    Parse {
        /// The path of the field; empty if the error is after the JSON.
        field: String,
        /// Description of the error.
        message: String,
    },
    /// Some values are invalid.
    #[snafu(display("{}", join(errors)))]
    Check {
        /// All invalid values.
        errors: Vec<FieldError>,
    },
}

fn join(errors: &[FieldError]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl Settings {
    /// Checks all values; fails with a list of all that are invalid.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let mut errors = Vec::new();
        self.check_names(&mut errors);
        self.check_addresses(&mut errors);
        self.check_limits(&mut errors);
        if errors.is_empty() {
            Ok(())
        } else {
            CheckSnafu { errors }.fail()
        }
    }

    fn check_names(&self, errors: &mut Vec<FieldError>) {
        let names = [
            ("vm", self.vm.as_str()),
            ("data_centre", self.data_centre.as_str()),
            ("cell", self.cell.as_str()),
        ];
        for (field, name) in names {
            if name.trim().is_empty() {
                errors.push(FieldError::new(field, "a non-empty name"));
            }
        }
        if self
            .reach
            .iter()
            .any(|data_centre| data_centre.as_str().trim().is_empty())
        {
            errors.push(FieldError::new("reach", "non-empty names"));
        }
        if let Some(url) = &self.platform
            && !url.starts_with("http://")
        {
            errors.push(FieldError::new(
                "platform",
                "a URL that starts with http://",
            ));
        }
    }

    fn check_addresses(&self, errors: &mut Vec<FieldError>) {
        let addresses = [
            ("addresses.callers", self.addresses.callers),
            ("addresses.operators", self.addresses.operators),
            ("addresses.metrics", self.addresses.metrics),
            ("addresses.peers", self.addresses.peers),
        ];
        for (index, (field, address)) in addresses.iter().enumerate() {
            let is_duplicate = addresses[..index].iter().any(|(_, other)| other == address);
            if is_duplicate && address.port() != 0 {
                errors.push(FieldError::new(
                    field,
                    "an address different from the others",
                ));
            }
        }
    }

    fn check_limits(&self, errors: &mut Vec<FieldError>) {
        let limits = &self.limits;
        let values = [
            ("limits.connections", limits.connections),
            ("limits.calls", limits.calls),
            ("limits.body_bytes", limits.body_bytes),
            ("limits.answer_bytes", limits.answer_bytes),
            ("limits.head_ms", limits.head_ms),
            ("limits.keep_alive_ms", limits.keep_alive_ms),
            ("limits.body_ms", limits.body_ms),
            ("limits.unread_ms", limits.unread_ms),
            ("limits.connect_ms", limits.connect_ms),
            ("limits.silence_ms", limits.silence_ms),
            ("timeline_events", self.timeline_events),
        ];
        for (field, value) in values {
            if value == 0 {
                errors.push(FieldError::new(field, "a number greater than 0"));
            }
        }
    }
}
