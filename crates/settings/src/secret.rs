//! Secrets, which never appear in settings, logs or debug output.

use crate::SecretFiles;
use core::fmt;
use snafu::{ResultExt, Snafu};
use std::path::Path;

const OPERATORS_VARIABLE: &str = "POPLARSWITCH_OPERATORS_SECRET";
const PEERS_VARIABLE: &str = "POPLARSWITCH_PEERS_SECRET";

/// A string whose debug output does not contain it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The text of the secret.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// Error of loading a secret.
#[derive(Debug, Snafu)]
pub enum SecretError {
    /// The file of the secret could not be read.
    #[snafu(display("cannot read the secret from {path}: {source}"))]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The secret is empty, or neither a file nor an environment variable provides it.
    #[snafu(display("no secret: name a file in secrets.{field} or set {variable}"))]
    Missing {
        /// The name of the setting, a field of `secrets`.
        field: &'static str,
        /// The name of the environment variable.
        variable: &'static str,
    },
}

/// The secrets of one process.
#[derive(Clone, Debug)]
pub struct Secrets {
    /// Secret that operators authenticate with.
    pub operators: Secret,
    /// Secret that VMs authenticate with to each other.
    pub peers: Secret,
}

impl Secrets {
    /// Loads the secrets from files or, where no file is named, from the environment.
    ///
    /// Fails if a file cannot be read, or if a secret is missing or empty.
    pub fn load(files: &SecretFiles) -> Result<Self, SecretError> {
        Ok(Self {
            operators: Self::operators(files.operators.as_deref())?,
            peers: load_secret(files.peers.as_deref(), "peers", PEERS_VARIABLE)?,
        })
    }

    /// Loads only the operators' secret, for the command-line tool.
    ///
    /// Fails if the file cannot be read, or if the secret is missing or empty.
    pub fn operators(file: Option<&Path>) -> Result<Secret, SecretError> {
        load_secret(file, "operators", OPERATORS_VARIABLE)
    }
}

fn load_secret(
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
