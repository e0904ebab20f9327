//! Compressed encoding of what is large in messages between VMs.
//!
//! A configuration of thousands of routes repeats the same names of fields, hosts and services, and
//! compresses to a tenth. It is encoded once, by the VM that read it from the platform; the other VMs
//! pass the bytes on as they came.

use bytes::Bytes;
use core::fmt;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::io::{self, Read as _};

/// Maximum size of the encoding before compression, in bytes; bounds what a malformed message takes.
const MAX_PLAIN_BYTES: u64 = 32 << 20;

/// An encoded and compressed value.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Packed(Bytes);

/// Why a value could not be unpacked.
pub type UnpackError = ciborium::de::Error<io::Error>;

impl Packed {
    /// Encodes and compresses a value of plain data.
    pub fn new(value: &impl Serialize) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        ciborium::into_writer(value, &mut encoder)
            .expect("plain data can always be encoded to memory");
        let bytes = encoder.finish();
        Self(bytes.expect("writing to memory can't fail").into())
    }

    /// Decompresses and decodes the value.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no compressed encoding of a `T`, or are one of more than 32 MiB.
    pub fn unpack<T: DeserializeOwned>(&self) -> Result<T, UnpackError> {
        let decoder = DeflateDecoder::new(&*self.0);
        let mut plain = Vec::with_capacity(self.0.len());
        decoder
            .take(MAX_PLAIN_BYTES)
            .read_to_end(&mut plain)
            .map_err(UnpackError::Io)?;
        ciborium::from_reader(&*plain)
    }

    /// Size in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no bytes, which is no encoding of any value.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for Packed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Packed({} bytes)", self.0.len())
    }
}
