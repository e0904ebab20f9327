//! Content-addressed blobs and the paths at which the platform stores them.

use core::fmt;
use poplarswitch_store::Key;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// SHA-256 of a blob's bytes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlobHash([u8; 32]);

impl BlobHash {
    /// Computes the hash of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// The first byte of the hash, which is uniformly distributed.
    pub const fn first_byte(self) -> u8 {
        self.0[0]
    }
}

impl fmt::Display for BlobHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for BlobHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl core::str::FromStr for BlobHash {
    type Err = BadHash;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; 32];
        if text.len() != 2 * bytes.len() || !text.is_ascii() {
            return Err(BadHash);
        }
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).ok().ok_or(BadHash)?;
        }
        Ok(Self(bytes))
    }
}

/// The error of parsing a text that is not a SHA-256 hash in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("not a SHA-256 hash in hexadecimal"))]
pub struct BadHash;

impl Serialize for BlobHash {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for BlobHash {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// A reference to a blob in the platform.
///
/// The nonce of the publication that wrote the blob is part of its path. Deleting a blob that
/// no release needs any more therefore never deletes an equal blob that a later publication
/// has written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BlobRef {
    /// The hash of the blob's bytes.
    pub hash: BlobHash,
    /// The nonce of the publication that wrote the blob.
    pub nonce: u64,
}

impl BlobRef {
    /// The path of the blob in the platform.
    pub fn key(&self) -> Key {
        Key::new(format!("sets/{}/{:016x}", self.hash, self.nonce))
    }
}

/// The content of a blob: a JSON text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Blob(pub Arc<str>);

impl Blob {
    /// The hash of the blob's bytes.
    pub fn hash(&self) -> BlobHash {
        BlobHash::of(self.0.as_bytes())
    }
}
