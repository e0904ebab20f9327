//! Calls that must run at most once, and their answers, as they travel between VMs.

use poplarswitch_scheduler::Request;
use serde::{Deserialize, Serialize};

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRequest {
    /// The call as the scheduler sees it.
    pub request: Request,
    /// The rank of its tier.
    pub rank: u8,
    /// Its method.
    pub method: String,
    /// Its path and query at the service.
    pub path: String,
    /// The headers that are passed on.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Its body.
    #[serde(with = "bytes_form")]
    pub body: Vec<u8>,
}

/// The answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    #[serde(rename = "kind")]
    pub content_type: Option<Vec<u8>>,
    /// The body.
    #[serde(with = "bytes_form")]
    pub body: Vec<u8>,
}

/// Byte strings in place of lists of numbers.
mod bytes_form {
    use ciborium::value::Value;
    use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        Value::Bytes(bytes.to_vec()).serialize(to)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        match Value::deserialize(from)? {
            Value::Bytes(bytes) => Ok(bytes),
            _ => Err(D::Error::custom("a byte string is expected")),
        }
    }
}
