//! The settings and their defaults.

use bon::Builder;
use core::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};
use poplarswitch_entity::{CellName, DataCentre, VmName};
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

const CALLERS_PORT: u16 = 8080;
const OPERATORS_PORT: u16 = 8081;
const METRICS_PORT: u16 = 8082;
const PEERS_PORT: u16 = 8083;

/// Where the process listens; the same addresses are told to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For the collector of metrics.
    pub metrics: SocketAddr,
    /// For other VMs.
    pub peers: SocketAddr,
}

impl Addresses {
    /// Any free ports of the loopback interface.
    pub const fn loopback() -> Self {
        Self {
            callers: local(0),
            operators: local(0),
            metrics: local(0),
            peers: local(0),
        }
    }
}

impl Default for Addresses {
    fn default() -> Self {
        Self {
            callers: local(CALLERS_PORT),
            operators: local(OPERATORS_PORT),
            metrics: local(METRICS_PORT),
            peers: local(PEERS_PORT),
        }
    }
}

const fn local(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

/// Files that hold secrets; a missing one is looked for in the environment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SecretFiles {
    /// The operators' secret.
    pub operators: Option<PathBuf>,
    /// The secret that VMs share.
    pub peers: Option<PathBuf>,
}

/// Bounds on what callers and endpoints may take up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Callers' connections at once.
    #[builder(default = 4_096)]
    pub connections: u32,
    /// Calls at once, waiting or running.
    #[builder(default = 4_096)]
    pub calls: u32,
    /// Largest body of a call, in bytes.
    #[builder(default = 1 << 20)]
    pub body_bytes: u32,
    /// Largest answer that is not streamed, in bytes.
    #[builder(default = 4 << 20)]
    pub answer_bytes: u32,
    /// Longest time for a caller to send the head of a call, in milliseconds.
    #[builder(default = 10_000)]
    pub head_ms: u32,
    /// Longest time for a caller to send the body of a call, in milliseconds.
    #[builder(default = 10_000)]
    pub body_ms: u32,
    /// Longest time that a caller may leave a piece of its answer unread, in milliseconds.
    #[builder(default = 30_000)]
    pub unread_ms: u32,
    /// Longest time to open a connection to an endpoint, in milliseconds.
    #[builder(default = 1_000)]
    pub connect_ms: u32,
    /// Longest silence of an endpoint that runs a call, in milliseconds.
    #[builder(default = 60_000)]
    pub silence_ms: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl Limits {
    /// Longest time for the head of a call.
    pub const fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.head_ms as u64)
    }

    /// Longest time for the body of a call.
    pub const fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_ms as u64)
    }

    /// Longest time that a piece of an answer may stay unread.
    pub const fn unread_timeout(&self) -> Duration {
        Duration::from_millis(self.unread_ms as u64)
    }

    /// Longest time to open a connection.
    pub const fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_ms as u64)
    }

    /// Longest silence of an endpoint.
    pub const fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.silence_ms as u64)
    }
}

/// The settings of one entry VM's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM's name; its replacement may carry it on.
    #[builder(into)]
    pub vm: VmName,
    /// Where the VM stands.
    #[builder(into)]
    pub data_centre: DataCentre,
    /// The group of VMs that share schedulers.
    #[builder(into)]
    pub cell: CellName,
    /// Data centres whose endpoints the cell uses; all if none is named.
    #[serde(default)]
    #[builder(default)]
    pub reach: Vec<DataCentre>,
    /// Where the process listens.
    #[serde(default)]
    #[builder(default)]
    pub addresses: Addresses,
    /// Peer addresses to try first.
    #[serde(default)]
    #[builder(default)]
    pub seeds: Vec<SocketAddr>,
    /// The platform's address, as a URL.
    #[serde(default)]
    #[builder(into)]
    pub platform: Option<String>,
    /// Where the secrets are kept.
    #[serde(default)]
    #[builder(default)]
    pub secrets: SecretFiles,
    /// Bounds.
    #[serde(default)]
    #[builder(default)]
    pub limits: Limits,
    /// Events that the time line keeps.
    #[serde(default = "default_events")]
    #[builder(default = default_events())]
    pub timeline_events: u32,
    /// Shortest drain, in which late callers get a refusal and other addresses, in milliseconds.
    #[serde(default = "default_linger_ms")]
    #[builder(default = default_linger_ms())]
    pub linger_ms: u32,
    /// Longest wait for calls in flight after a second stop signal, in milliseconds.
    #[serde(default = "default_drain_ms")]
    #[builder(default = default_drain_ms())]
    pub drain_ms: u32,
}

impl Settings {
    /// Shortest drain.
    pub const fn linger(&self) -> Duration {
        Duration::from_millis(self.linger_ms as u64)
    }

    /// Longest wait for calls in flight after a second stop signal.
    pub const fn force_delay(&self) -> Duration {
        Duration::from_millis(self.drain_ms as u64)
    }
}

const fn default_events() -> u32 {
    16_384
}

const fn default_linger_ms() -> u32 {
    6_000
}

const fn default_drain_ms() -> u32 {
    30_000
}
