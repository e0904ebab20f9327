//! Conversion of settings from and to JSON.

use crate::{
    Settings, SettingsError,
    check::{ParseSnafu, ReadSnafu},
};
use snafu::ResultExt;
use std::path::Path;

impl Settings {
    /// Reads, parses and validates a file.
    ///
    /// Fails if the file cannot be read or parsed, or if a value is invalid.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu {
            path: path.display().to_string(),
        })?;
        let settings = Self::parse(&text)?;
        settings.validate()?;
        Ok(settings)
    }

    /// Parses JSON without validating the values.
    ///
    /// Fails if the text is not JSON, or if a field is unknown, missing or of a wrong type.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let mut input = serde_json::Deserializer::from_str(text);
        let settings = serde_path_to_error::deserialize(&mut input).map_err(|error| {
            ParseSnafu {
                field: error.path().to_string(),
                message: error.inner().to_string(),
            }
            .build()
        })?;
        input.end().map_err(|error| {
            ParseSnafu {
                field: "",
                message: error.to_string(),
            }
            .build()
        })?;
        Ok(settings)
    }

    /// Returns the settings as JSON, including the defaults.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}
