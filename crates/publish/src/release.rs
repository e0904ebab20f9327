//! The head object and the releases that it lists.

use crate::BlobRef;
use poplarswitch_entity::Generation;
use poplarswitch_store::Key;
use serde::{Deserialize, Serialize};

/// The version of this program's object model.
pub const PROGRAM_VERSION: u32 = 1;

/// Largest number of earlier releases in a head.
pub const HISTORY_LEN: usize = 32;

/// The path of the head.
pub fn head_key() -> Key {
    Key::from("sets/head")
}

/// An accepted set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The sequence number of the release, from 1.
    pub generation: Generation,
    /// The reference to the manifest, which lists the parts of the set.
    pub manifest: BlobRef,
    /// The manifest of the release that this one replaced.
    pub parent: Option<BlobRef>,
    /// The operator who published the set.
    pub author: String,
    /// The operator's reason for the change.
    pub note: String,
    /// The oldest program version that understands the set.
    pub min_program: u32,
    /// Random number that identifies the publication.
    pub nonce: u64,
}

/// A release that was replaced, and its blobs that the replacement does not use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastRelease {
    /// The replaced release.
    pub release: Release,
    /// The blobs of the release that the next release does not use.
    pub unused: Vec<BlobRef>,
}

/// The object in the platform that names the current release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The current release.
    pub current: Release,
    /// Earlier releases, the newest first.
    pub history: Vec<PastRelease>,
}

impl Head {
    /// Parses a head; an error if the bytes are not the JSON of a head.
    pub fn parse(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// The release with this nonce, if the head still lists it.
    pub fn by_nonce(&self, nonce: u64) -> Option<&Release> {
        self.releases().find(|release| release.nonce == nonce)
    }

    /// The release with this generation, if the head still lists it.
    pub fn by_generation(&self, generation: Generation) -> Option<&Release> {
        self.releases()
            .find(|release| release.generation == generation)
    }

    fn releases(&self) -> impl Iterator<Item = &Release> {
        let past = self.history.iter().map(|past| &past.release);
        core::iter::once(&self.current).chain(past)
    }
}
