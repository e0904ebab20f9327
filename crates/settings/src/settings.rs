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

/// Addresses on which the process listens; those for callers and for other VMs are also announced
/// to the other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For scrapers of metrics.
    pub metrics: SocketAddr,
    /// For other VMs.
    pub peers: SocketAddr,
}

impl Addresses {
    /// Loopback addresses with port 0, so that the system assigns free ports.
    pub const fn loopback() -> Self {
        Self {
            callers: loopback_address(0),
            operators: loopback_address(0),
            metrics: loopback_address(0),
            peers: loopback_address(0),
        }
    }
}

impl Default for Addresses {
    fn default() -> Self {
        Self {
            callers: loopback_address(CALLERS_PORT),
            operators: loopback_address(OPERATORS_PORT),
            metrics: loopback_address(METRICS_PORT),
            peers: loopback_address(PEERS_PORT),
        }
    }
}

const fn loopback_address(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

/// Paths of the files with secrets; a secret without a path is read from the environment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SecretFiles {
    /// File with the secret that operators authenticate with.
    pub operators: Option<PathBuf>,
    /// File with the secret that VMs authenticate with to each other.
    pub peers: Option<PathBuf>,
}

/// Limits on the use of connections, memory and time by callers and endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of open connections of callers.
    #[builder(default = 4_096)]
    pub connections: u32,
    /// Maximum number of calls in the process, queued or running.
    #[builder(default = 4_096)]
    pub calls: u32,
    /// Maximum size of a call's body, in bytes.
    #[builder(default = 1 << 20)]
    pub body_bytes: u32,
    /// Maximum size of an answer that is not streamed, in bytes.
    #[builder(default = 4 << 20)]
    pub answer_bytes: u32,
    /// Maximum time for a caller to send the head of a call, in milliseconds.
    #[builder(default = 10_000)]
    pub head_ms: u32,
    /// Maximum time for which a caller's connection is kept without a call, in milliseconds; longer
    /// than callers keep idle connections, so that they don't use one that is being closed.
    #[builder(default = 30_000)]
    pub keep_alive_ms: u32,
    /// Maximum time for a caller to send the body of a call, in milliseconds.
    #[builder(default = 10_000)]
    pub body_ms: u32,
    /// Maximum time for which a caller may leave a part of its answer unread, in milliseconds.
    #[builder(default = 30_000)]
    pub unread_ms: u32,
    /// Maximum time to open a connection to an endpoint, in milliseconds.
    #[builder(default = 1_000)]
    pub connect_ms: u32,
    /// Maximum time without data from or to an endpoint that runs a call, in milliseconds.
    #[builder(default = 60_000)]
    pub silence_ms: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl Limits {
    /// Maximum time to receive the head of a call.
    pub const fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.head_ms as u64)
    }

    /// Maximum time for which a caller's connection is kept without a call.
    pub const fn keep_alive_timeout(&self) -> Duration {
        Duration::from_millis(self.keep_alive_ms as u64)
    }

    /// Maximum time to receive the body of a call.
    pub const fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_ms as u64)
    }

    /// Maximum time for which a part of an answer may stay unread.
    pub const fn unread_timeout(&self) -> Duration {
        Duration::from_millis(self.unread_ms as u64)
    }

    /// Maximum time to open a connection to an endpoint.
    pub const fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_ms as u64)
    }

    /// Maximum time without data from or to an endpoint that runs a call.
    pub const fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.silence_ms as u64)
    }
}

/// The settings of the process of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM's name, which its replacement may keep.
    #[builder(into)]
    pub vm: VmName,
    /// The data centre of the VM.
    #[builder(into)]
    pub data_centre: DataCentre,
    /// The cell of the VM, a group of VMs that share schedulers.
    #[builder(into)]
    pub cell: CellName,
    /// Data centres whose endpoints the cell uses; all if the list is empty.
    #[serde(default)]
    #[builder(default)]
    pub reach: Vec<DataCentre>,
    /// Addresses on which the process listens.
    #[serde(default)]
    #[builder(default)]
    pub addresses: Addresses,
    /// Peer addresses of other VMs, dialled while no live VM is known there.
    #[serde(default)]
    #[builder(default)]
    pub seeds: Vec<SocketAddr>,
    /// URL of the platform; must start with `http://`.
    #[serde(default)]
    #[builder(into)]
    pub platform: Option<String>,
    /// Paths of the files with secrets.
    #[serde(default)]
    #[builder(default)]
    pub secrets: SecretFiles,
    /// Limits on the use of resources.
    #[serde(default)]
    #[builder(default)]
    pub limits: Limits,
    /// Number of events that the timeline retains.
    #[serde(default = "default_events")]
    #[builder(default = default_events())]
    pub timeline_events: u32,
    /// Minimum duration of the drain, in which callers that still use this VM's address get a
    /// refusal with the addresses of other VMs, in milliseconds.
    #[serde(default = "default_linger_ms")]
    #[builder(default = default_linger_ms())]
    pub linger_ms: u32,
    /// Maximum time for calls in flight to end after a second stop signal, in milliseconds.
    #[serde(default = "default_drain_ms")]
    #[builder(default = default_drain_ms())]
    pub drain_ms: u32,
}

impl Settings {
    /// Minimum duration of the drain.
    pub const fn linger(&self) -> Duration {
        Duration::from_millis(self.linger_ms as u64)
    }

    /// Maximum time for calls in flight to end after a second stop signal.
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
