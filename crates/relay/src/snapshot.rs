//! Encoded list of all endpoints, cached for all VMs that request it.
//!
//! After a restart of all VMs, the VMs of a data centre request the full list at the same time, all
//! from the VM that reads the platform. Encoding thousands of entries takes tens of milliseconds on
//! a small VM, so the encoded list is kept for the next requests.

use bytes::Bytes;
use poplarswitch_ingress::{EndpointEntry, Packed, UnpackError};
use std::sync::{Mutex, PoisonError};

/// The list that was encoded last, with the change count of the endpoint table at that time.
#[derive(Debug, Default)]
struct Encoded {
    change_count: u64,
    packed: Option<Packed>,
    plain: Option<Bytes>,
}

/// Cache of the encoded list.
#[derive(Debug, Default)]
pub(crate) struct Snapshot(Mutex<Encoded>);

impl Snapshot {
    /// Returns the packed list for a change count of the endpoint table; `list` is called only if
    /// that list is not cached.
    pub(crate) fn packed(
        &self,
        change_count: u64,
        list: impl FnOnce() -> Vec<EndpointEntry>,
    ) -> Packed {
        self.get(change_count, |encoded| {
            let packed = encoded.packed.get_or_insert_with(|| Packed::new(&list()));
            packed.clone()
        })
    }

    /// Returns the list as VMs of an earlier version read it; see [`Self::packed`].
    pub(crate) fn plain(
        &self,
        change_count: u64,
        list: impl FnOnce() -> Vec<EndpointEntry>,
    ) -> Bytes {
        self.get(change_count, |encoded| {
            let plain = encoded.plain.get_or_insert_with(|| encode(&list()));
            plain.clone()
        })
    }

    fn get<T>(&self, change_count: u64, read: impl FnOnce(&mut Encoded) -> T) -> T {
        let mut encoded = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if encoded.change_count != change_count {
            *encoded = Encoded {
                change_count,
                ..Encoded::default()
            };
        }
        read(&mut encoded)
    }
}

fn encode(list: &[EndpointEntry]) -> Bytes {
    let mut bytes = Vec::new();
    ciborium::into_writer(list, &mut bytes)
        .expect("entries are plain data and can always be encoded to memory");
    bytes.into()
}

/// Decodes a list that a VM of an earlier version has sent.
pub(crate) fn decode(bytes: &[u8]) -> Result<Vec<EndpointEntry>, UnpackError> {
    ciborium::from_reader(bytes)
}
