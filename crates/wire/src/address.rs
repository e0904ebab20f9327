//! The answer to a caller's question which address to use.

use core::net::SocketAddr;
use poplarswitch_entity::{DataCentre, VmName};
use serde::{Deserialize, Serialize};

/// One VM that takes calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedAddress {
    /// Its name.
    pub vm: VmName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Its port for callers.
    pub address: SocketAddr,
    /// Its share of callers, beside the other weights.
    pub weight: u32,
}

/// The VMs that take calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressList {
    /// The addresses, the nearest first.
    pub addresses: Vec<WeightedAddress>,
    /// How long the list may be kept, in milliseconds.
    pub ttl_ms: u64,
    /// To be shown with calls that carry an idempotency key.
    pub key_token: String,
}
