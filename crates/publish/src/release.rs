//! The head object and the releases that it names.

use crate::BlobRef;
use poplarswitch_entity::Generation;
use poplarswitch_store::Key;
use serde::{Deserialize, Serialize};

/// The version of this program's object model.
pub const PROGRAM_VERSION: u32 = 1;

/// Releases that a head remembers.
pub const HISTORY_LEN: usize = 32;

/// The path of the head.
pub fn head_key() -> Key {
    Key::from("sets/head")
}

/// An accepted set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Counts the accepted sets.
    pub generation: Generation,
    /// The list of the set's parts.
    pub manifest: BlobRef,
    /// The manifest of the set that it replaced.
    pub parent: Option<BlobRef>,
    /// Who published it.
    pub author: String,
    /// Why.
    pub note: String,
    /// The oldest program that understands it.
    pub min_program: u32,
    /// Drawn by the publisher.
    pub nonce: u64,
}

/// A release that was replaced, and what its replacement left unused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastRelease {
    /// The release.
    pub release: Release,
    /// Its blobs that the next release does not use.
    pub unused: Vec<BlobRef>,
}

/// The one object that names the current set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The current release.
    pub current: Release,
    /// Earlier releases, the newest first.
    pub history: Vec<PastRelease>,
}

impl Head {
    /// Reads a head.
    pub fn parse(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// The release with a nonce, if it is remembered.
    pub fn by_nonce(&self, nonce: u64) -> Option<&Release> {
        self.releases().find(|release| release.nonce == nonce)
    }

    /// The release of a generation, if it is remembered.
    pub fn by_generation(&self, generation: Generation) -> Option<&Release> {
        self.releases()
            .find(|release| release.generation == generation)
    }

    fn releases(&self) -> impl Iterator<Item = &Release> {
        let past = self.history.iter().map(|past| &past.release);
        core::iter::once(&self.current).chain(past)
    }
}
