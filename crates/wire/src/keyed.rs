//! Calls that must run at most once, and their answers, as VMs send them to each other.

use poplarswitch_scheduler::Request;
use serde::{Deserialize, Serialize};

/// A call to a service with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRequest {
    /// The call's data for the scheduler.
    pub request: Request,
    /// Rank of the call's tier.
    pub rank: u8,
    /// HTTP method.
    pub method: String,
    /// Path and query at the service.
    pub path: String,
    /// Headers that are passed on to the service.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body of the call.
    #[serde(with = "bytes_form")]
    pub body: Vec<u8>,
}

/// Answer of a service to a call with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the Content-Type header.
    #[serde(rename = "kind")]
    pub content_type: Option<Vec<u8>>,
    /// Body of the answer.
    #[serde(with = "bytes_form")]
    pub body: Vec<u8>,
}

/// Serialises bodies as CBOR byte strings; serde's default is an array of numbers.
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
