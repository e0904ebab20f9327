//! List of addresses that a VM returns to callers.

use core::net::SocketAddr;
use poplarswitch_entity::{DataCentre, VmName};
use serde::{Deserialize, Serialize};

/// A VM that accepts calls, with its share of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedAddress {
    /// Name of the VM.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Address of the VM's port for callers.
    pub address: SocketAddr,
    /// Share of callers for this VM, relative to the other weights of the list.
    pub weight: u32,
}

/// VMs that accept calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressList {
    /// Addresses, nearest first.
    pub addresses: Vec<WeightedAddress>,
    /// Time for which the list may be cached, in milliseconds.
    pub ttl_ms: u64,
    /// Token with which new idempotency keys start; it names the VM that is to be their home.
    pub key_token: String,
}
