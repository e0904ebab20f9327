//! Secrets, kept out of settings, logs and debug output.

use crate::SecretFiles;
use core::fmt;
use snafu::{ResultExt, Snafu};
use std::path::Path;

const OPERATORS_VARIABLE: &str = "POPLARSWITCH_OPERATORS_SECRET";
const PEERS_VARIABLE: &str = "POPLARSWITCH_PEERS_SECRET";

/// A text that is never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Takes the text as it is.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The text itself.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// Why a secret is not at hand.
#[derive(Debug, Snafu)]
pub enum SecretError {
    /// Its file could not be read.
    #[snafu(display("read the secret {path}: {source}"))]
    Unreadable {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// It is empty, or neither a file nor a variable holds it.
    #[snafu(display("no secret: name a file in secrets.{field} or set {variable}"))]
    Missing {
        /// The setting.
        field: &'static str,
        /// The variable of the environment.
        variable: &'static str,
    },
}

/// The secrets of one process.
#[derive(Clone, Debug)]
pub struct Secrets {
    /// What operators show.
    pub operators: Secret,
    /// What VMs show each other.
    pub peers: Secret,
}

impl Secrets {
    /// Reads the secrets from their files or the environment.
    pub fn load(files: &SecretFiles) -> Result<Self, SecretError> {
        Ok(Self {
            operators: Self::operators(files.operators.as_deref())?,
            peers: find(files.peers.as_deref(), "peers", PEERS_VARIABLE)?,
        })
    }

    /// Reads the operators' secret alone, as their tool does.
    pub fn operators(file: Option<&Path>) -> Result<Secret, SecretError> {
        find(file, "operators", OPERATORS_VARIABLE)
    }
}

fn find(
    file: Option<&Path>,
    field: &'static str,
    variable: &'static str,
) -> Result<Secret, SecretError> {
    let text = match file {
        Some(path) => std::fs::read_to_string(path).context(UnreadableSnafu {
            path: path.display().to_string(),
        })?,
        None => std::env::var(variable).unwrap_or_default(),
    };
    let text = text.trim();
    if text.is_empty() {
        return MissingSnafu { field, variable }.fail();
    }
    Ok(Secret::new(text))
}
