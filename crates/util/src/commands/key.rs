//! `poplarctl key`: generates or hashes a bearer key.
//!
//! The key is given to the caller, and its hash is declared in the workspace's object. The key
//! itself is not stored.

use crate::{
    error::{FileSnafu, ToolError},
    exit::Exit,
    output::Output,
};
use core::fmt;
use poplarswitch_objects::KeyHash;
use rand::Rng as _;
use serde::Serialize;
use snafu::ResultExt;
use std::io;

/// Number of random bytes in a key.
const KEY_BYTES: usize = 32;

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Hash the key on the first line of the standard input instead of generating one
    #[arg(long)]
    hash: bool,
}

#[derive(Debug, Serialize)]
struct KeyOutput {
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<String>,
    hash: KeyHash,
}

impl fmt::Display for KeyOutput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(key) = &self.key {
            writeln!(f, "key:  {key}")?;
        }
        writeln!(f, "hash: {}", self.hash.0)
    }
}

impl Args {
    pub(crate) fn run(&self, output: &mut Output<'_>) -> Result<Exit, ToolError> {
        let key = if self.hash { hash_input()? } else { generate() };
        output.show(&key)?;
        Ok(Exit::Success)
    }
}

fn generate() -> KeyOutput {
    let mut bytes = [0_u8; KEY_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    let digits = bytes.map(|byte| format!("{byte:02x}"));
    let key = format!("ps-{}", digits.concat());
    KeyOutput {
        hash: KeyHash::from_key(&key),
        key: Some(key),
    }
}

fn hash_input() -> Result<KeyOutput, ToolError> {
    let mut line = String::new();
    io::stdin().read_line(&mut line).context(FileSnafu {
        step: "read the key from",
        path: "the standard input",
    })?;
    Ok(KeyOutput {
        key: None,
        hash: KeyHash::from_key(line.trim_end_matches(['\r', '\n'])),
    })
}
