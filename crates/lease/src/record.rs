//! The record of a lease, and the calls to the platform that read and write it.

use core::time::Duration;
use poplarswitch_entity::Incarnation;
use serde::{Deserialize, Serialize};

/// A revision of the platform; numbers are unique within their era only.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Era of the platform, which rises when it comes back from a copy.
    pub era: u64,
    /// Revision of the record.
    pub number: u64,
}

/// The value of the lease object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The process that holds the lease.
    pub holder: Incarnation,
    /// Random number that identifies the write after a lost answer.
    pub nonce: u64,
    /// Duration of the lease from this write, in milliseconds.
    pub hold_ms: u64,
    /// Whether the holder released the lease.
    pub released: bool,
    /// Fencing token of the holder.
    #[serde(default)]
    pub token: u64,
}

/// What a VM tells the others of a lease that it has written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseNews {
    /// Revision of the record.
    pub stamp: Stamp,
    /// Fencing token of the holder.
    pub token: u64,
    /// Duration of the lease from its write, in milliseconds.
    pub hold_ms: u64,
    /// Whether the holder released the lease.
    pub released: bool,
}

/// A call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseCall {
    /// Number that the reply must carry.
    pub number: u64,
    /// The request.
    pub request: LeaseRequest,
}

/// A request to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseRequest {
    /// Read the record.
    Read,
    /// Replace the record if it has this stamp; without one, create it if there is none.
    Write {
        /// The stamp that the record must have.
        condition: Option<Stamp>,
        /// The new record.
        record: LeaseRecord,
    },
}

/// A reply of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseReply {
    /// The record as read, or as it was instead of the condition of a write.
    Found {
        /// Era of the platform.
        era: u64,
        /// The record's stamp and the record, if it can be read; none if there is no record.
        current: Option<(Stamp, Option<LeaseRecord>)>,
    },
    /// The record has been written.
    Written(Stamp),
    /// The platform has not executed the request and will not execute it later.
    Unavailable {
        /// Time after which to try again.
        retry_after: Duration,
    },
    /// No usable reply; a write may take effect later.
    Unknown,
}
