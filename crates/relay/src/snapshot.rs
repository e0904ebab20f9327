//! Encoded list of all endpoints, cached for all VMs that request it.
//!
//! After a restart of all VMs, the VMs of a data centre request the full list at the same time, all
//! from the VM that reads the platform. Encoding thousands of entries takes tens of milliseconds on
//! a small VM, so the encoded list is kept for the next requests.

use bytes::Bytes;
use poplarswitch_ingress::EndpointEntry;
use std::sync::{Mutex, PoisonError};

/// Why a list of endpoints could not be decoded.
pub(crate) type SnapshotError = ciborium::de::Error<std::io::Error>;

/// The list that was encoded last, with the change count of the endpoint table at that time.
#[derive(Debug, Default)]
pub(crate) struct Snapshot(Mutex<Option<(u64, Bytes)>>);

impl Snapshot {
    /// Returns the encoded list for a change count of the endpoint table; `list` is called only if
    /// that list is not cached.
    pub(crate) fn get(
        &self,
        change_count: u64,
        list: impl FnOnce() -> Vec<EndpointEntry>,
    ) -> Bytes {
        let mut cached = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, bytes)) = cached.as_ref().filter(|(at, _)| *at == change_count) {
            return bytes.clone();
        }
        let mut bytes = Vec::new();
        ciborium::into_writer(&list(), &mut bytes)
            .expect("entries are plain data and can always be encoded to memory");
        let bytes = Bytes::from(bytes);
        *cached = Some((change_count, bytes.clone()));
        bytes
    }
}

/// Decodes a list.
pub(crate) fn decode(bytes: &[u8]) -> Result<Vec<EndpointEntry>, SnapshotError> {
    ciborium::from_reader(bytes)
}
