//! All endpoints, encoded once for all VMs that ask.
//!
//! After a restart of all VMs every VM of a data centre asks the one that reads the platform for
//! the whole list at the same moment. Encoding thousands of entries takes a small VM tens of
//! milliseconds, so the bytes are kept for those who come next.

use bytes::Bytes;
use poplarswitch_ingress::EndpointEntry;
use std::sync::{Mutex, PoisonError};

/// Why a list of endpoints can't be read.
pub(crate) type SnapshotError = ciborium::de::Error<std::io::Error>;

/// The list as of the last count of changes that was asked for.
#[derive(Debug, Default)]
pub(crate) struct Snapshot(Mutex<Option<(u64, Bytes)>>);

impl Snapshot {
    /// The list as of a count of changes, encoded unless it is at hand.
    pub(crate) fn at(&self, changes: u64, list: impl FnOnce() -> Vec<EndpointEntry>) -> Bytes {
        let mut kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, bytes)) = kept.as_ref().filter(|(at, _)| *at == changes) {
            return bytes.clone();
        }
        let mut bytes = Vec::new();
        ciborium::into_writer(&list(), &mut bytes)
            .expect("entries are plain data, and memory takes them");
        let bytes = Bytes::from(bytes);
        *kept = Some((changes, bytes.clone()));
        bytes
    }
}

/// Reads a list.
pub(crate) fn entries(bytes: &[u8]) -> Result<Vec<EndpointEntry>, SnapshotError> {
    ciborium::from_reader(bytes)
}
