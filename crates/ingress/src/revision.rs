//! Revisions of the platform.
//!
//! The platform may lose its latest writes and come back from a copy. It then gives revisions out
//! again, in a new era, so revisions are compared by their eras first. What a VM has read in an era
//! is complete only up to the end of that era: changes of the next one follow a listing.

use serde::{Deserialize, Serialize};

/// A revision of the platform; the default is before all others.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Era in which the platform gave the number out; 0 if it names none, or if the revision comes
    /// from a VM of an earlier version.
    #[serde(default)]
    pub era: u64,
    /// Number, which is unique within its era only.
    #[serde(rename = "revision")]
    pub number: u64,
}

impl Revision {
    /// The same number in another era.
    #[must_use]
    pub const fn in_era(self, era: u64) -> Self {
        Self { era, ..self }
    }
}
