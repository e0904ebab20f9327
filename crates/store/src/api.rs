//! Requests and replies of the platform's object API.

use core::{fmt, net::SocketAddr, time::Duration};
use poplarswitch_entity::{DataCentre, VmName};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Maximum length of a value. The platform limits an object to 1 MiB, of which a value takes four
/// thirds of its length as base64 and the rest of the object at most 1 KiB.
pub const MAX_VALUE_BYTES: usize = ((1 << 20) - (1 << 10)) / 4 * 3;

/// Path of an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(Arc<str>);

impl Key {
    /// Creates a path without checks.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// The path as text.
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

/// Version of an object; each write assigns a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// Value of an object and the version at which it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    /// Version of the object.
    pub version: Version,
    /// Value of the object.
    pub value: Arc<[u8]>,
}

/// Condition under which a write or delete is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Matches(Version),
    /// No condition.
    Always,
}

/// Identifier by which a reply is matched to its request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// Request to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Reads an object.
    Get {
        /// Path of the object.
        key: Key,
    },
    /// Writes an object.
    Put {
        /// Path of the object.
        key: Key,
        /// New value of the object.
        value: Arc<[u8]>,
        /// Condition of the write.
        #[serde(rename = "guard")]
        precondition: Precondition,
    },
    /// Deletes an object.
    Delete {
        /// Path of the object.
        key: Key,
        /// Condition of the delete.
        #[serde(rename = "guard")]
        precondition: Precondition,
    },
    /// Lists the objects whose paths have a prefix.
    List {
        /// Prefix of the paths.
        prefix: Key,
    },
    /// Waits until an object has a version above the given one.
    Watch {
        /// Path of the object.
        key: Key,
        /// Version that is already known.
        after: Version,
        /// Maximum wait.
        wait: Duration,
    },
    /// Reads the list of live and leaving VMs.
    Vms,
}

/// An object in a listing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedObject {
    /// Path of the object.
    pub key: Key,
    /// Version of the object.
    pub version: Version,
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// Entry of the platform's list of VMs, which lags behind the state of the VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Name of the VM.
    pub name: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Address of the VM's port for peers.
    pub address: SocketAddr,
    /// State of the VM.
    pub state: VmState,
}

/// Reply to a request, or the reason why there is none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The object, or `None` if it does not exist.
    Object(Option<Versioned>),
    /// The write or delete was done.
    Done {
        /// Version that the write assigned.
        version: Version,
    },
    /// The precondition was not met; nothing was written.
    Conflict {
        /// The current object, or `None` if it does not exist.
        current: Option<Versioned>,
    },
    /// The objects of a listing.
    Listing(Vec<ListedObject>),
    /// The watched object got no version above the known one during the wait.
    Unchanged,
    /// The list of VMs.
    Vms(Vec<VmRecord>),
    /// Nothing was done: the request was refused or did not reach the platform.
    Unavailable {
        /// Time after which to try again.
        retry_after: Duration,
    },
    /// The write may or may not have been done.
    Unknown,
}
