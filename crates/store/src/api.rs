//! Requests and replies.

use core::{fmt, net::SocketAddr, time::Duration};
use poplarswitch_entity::{DataCentre, VmName};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Largest value that the platform holds, in bytes: its objects have 1 MiB, of which a value takes
/// four thirds of its length and the rest of the object at most 1 KiB.
pub const MAX_VALUE_BYTES: usize = ((1 << 20) - (1 << 10)) / 4 * 3;

/// The path of an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(Arc<str>);

impl Key {
    /// Takes the text as it is.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// The text of the path.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Key {
    fn from(text: &str) -> Self {
        Self::new(text)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The version of an object; each write takes a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// An object as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    /// Its version.
    pub version: Version,
    /// Its value.
    pub value: Arc<[u8]>,
}

/// The condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Precondition {
    /// Only if the object does not exist.
    Absent,
    /// Only if the object has this version.
    Matches(Version),
    /// In any case.
    Always,
}

/// Pairs a request with its reply.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// A request to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Read one object.
    Get {
        /// Its path.
        key: Key,
    },
    /// Write one object.
    Put {
        /// Its path.
        key: Key,
        /// Its new value.
        value: Arc<[u8]>,
        /// The condition.
        #[serde(rename = "guard")]
        precondition: Precondition,
    },
    /// Delete one object.
    Delete {
        /// Its path.
        key: Key,
        /// The condition.
        #[serde(rename = "guard")]
        precondition: Precondition,
    },
    /// List the objects below a path.
    List {
        /// The start of their paths.
        prefix: Key,
    },
    /// Wait until an object has a version above the given one.
    Watch {
        /// Its path.
        key: Key,
        /// The version that is already known.
        after: Version,
        /// The longest wait.
        wait: Duration,
    },
    /// Read the list of live and leaving VMs.
    Vms,
}

/// An object in a listing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedObject {
    /// Its path.
    pub key: Key,
    /// Its version.
    pub version: Version,
}

/// Whether the platform keeps a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is about to be taken away.
    Leaving,
}

/// A line of the platform's lagging list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The name of the VM.
    pub name: VmName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// The address of its peer port.
    pub address: SocketAddr,
    /// Whether it is kept.
    pub state: VmState,
}

/// A reply of the platform, or the lack of one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The object, or nothing if it does not exist.
    Object(Option<Versioned>),
    /// The write was done.
    Done {
        /// The new version.
        version: Version,
    },
    /// The condition did not hold; nothing was written.
    Conflict {
        /// The object as it is.
        current: Option<Versioned>,
    },
    /// The objects below a path.
    Listing(Vec<ListedObject>),
    /// No version above the known one appeared during the wait.
    Unchanged,
    /// The list of VMs.
    Vms(Vec<VmRecord>),
    /// Nothing was done: the platform refused or could not be reached.
    Unavailable {
        /// When a new attempt is worth while.
        retry_after: Duration,
    },
    /// A write may or may not have been done.
    Unknown,
}
