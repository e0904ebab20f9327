//! The settings of a relay and their checks.

use core::{net::Ipv4Addr, net::SocketAddr, time::Duration};
use poplarswitch_entity::{DataCentre, VmName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Addresses on which the process listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the platform's question whether this VM takes calls.
    pub ready: SocketAddr,
    /// For callers' question which addresses to use, if this VM answers it.
    pub directory: Option<SocketAddr>,
    /// For other VMs, by TCP and UDP; the port is the same on all of them.
    pub peers: SocketAddr,
    /// For the collector of metrics.
    pub metrics: SocketAddr,
}

/// Bounds that the deployment promises to keep.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// From the signal to end until the kill, in milliseconds.
    pub grace_ms: u64,
    /// From the acknowledgement of a revoked key until it is useless everywhere, in
    /// milliseconds; nothing if VMs that are cut off may go on.
    pub revoke_ms: Option<u64>,
    /// Repeats for each call.
    pub retry_ratio: f64,
    /// Repeats beyond the ratio, for all VMs.
    pub retry_allowance: f64,
    /// Window in which repeats are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Longest time for which callers keep addresses, in milliseconds.
    pub ttl_ms: u64,
}

/// The settings of a relay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// The VM's name.
    pub vm: VmName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// All data centres.
    pub data_centres: BTreeSet<DataCentre>,
    /// Addresses on which it listens.
    pub listen: Listen,
    /// Addresses of VMs that may be up.
    pub seeds: Vec<Ipv4Addr>,
    /// The platform's address.
    pub platform: SocketAddr,
    /// Memory that the process may use, in bytes.
    pub memory: u64,
    /// Bounds of the deployment.
    pub bounds: Bounds,
}

impl RelaySettings {
    /// The JSON form, with every value.
    ///
    /// # Errors
    ///
    /// Fails only if a value has no JSON form.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(self)
    }

    /// Every value that can't be used, with its place.
    pub fn check(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let bounds = &self.bounds;
        if !self.data_centres.contains(&self.data_centre) {
            errors.push(format!(
                "data_centre: {} is not in data_centres",
                self.data_centre
            ));
        }
        if self.listen.peers.is_ipv6() {
            errors.push("listen.peers: must be an IPv4 address".to_owned());
        }
        if self.memory < 16 << 20 {
            errors.push(format!("memory: {} bytes are too few", self.memory));
        }
        if !(0.0..=10.0).contains(&bounds.retry_ratio) {
            errors.push(format!(
                "bounds.retry_ratio: {} is not 0 to 10",
                bounds.retry_ratio
            ));
        }
        if !(0.0..=1e9).contains(&bounds.retry_allowance) {
            errors.push("bounds.retry_allowance: must not be negative".to_owned());
        }
        for (name, value) in [
            ("grace_ms", bounds.grace_ms),
            ("retry_window_ms", bounds.retry_window_ms),
            ("ttl_ms", bounds.ttl_ms),
            ("revoke_ms", bounds.revoke_ms.unwrap_or(1)),
        ] {
            if value == 0 {
                errors.push(format!("bounds.{name}: must be over 0"));
            }
        }
        errors
    }

    /// The index of a data centre in their sorted order, by which VMs name it to each other.
    pub fn data_centre_index(&self, name: &str) -> Option<u8> {
        let place = self
            .data_centres
            .iter()
            .position(|dc| dc.as_str() == name)?;
        u8::try_from(place).ok()
    }

    /// The grace after the signal to end.
    pub const fn grace(&self) -> Duration {
        Duration::from_millis(self.bounds.grace_ms)
    }
}
