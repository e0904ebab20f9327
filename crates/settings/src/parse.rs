//! From a file's text to settings and back.

use crate::{
    Settings, SettingsError,
    check::{ParseSnafu, ReadSnafu},
};
use snafu::ResultExt;
use std::path::Path;

impl Settings {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu {
            path: path.display().to_string(),
        })?;
        let settings = Self::parse(&text)?;
        settings.validate()?;
        Ok(settings)
    }

    /// Parses the JSON form without checking values.
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

    /// The JSON form with all defaults filled in.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}
