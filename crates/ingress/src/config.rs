//! Routes, services and workspaces as the operator declares them.
//!
//! This is the form in which VMs hand a configuration to each other; [`crate::Table`] is the
//! form in which calls look it up.

use core::time::Duration;
use poplarswitch_entity::{ServiceName, WorkspaceName};
use serde::{Deserialize, Serialize};

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Calls are idempotent.
    Safe,
    /// Calls run at most once.
    Unsafe,
    /// Calls are answered with events.
    Stream {
        /// Another endpoint may go on after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a call may run more than once.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether answers are events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route leads to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its share against the other targets of the route.
    pub weight: u32,
}

/// A route from callers to services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Its name.
    pub name: Box<str>,
    /// The host that callers name.
    pub host: Box<str>,
    /// The start of its paths; begins and ends with a slash.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest that a caller is kept waiting.
    pub timeout: Option<Duration>,
    /// The latency objective.
    pub objective: Option<Duration>,
    /// The longest pause between events that meets the objective.
    #[serde(rename = "pause")]
    pub max_gap: Option<Duration>,
    /// Endpoints that may run one call.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Rank, 0 first.
    pub priority: u8,
    /// Callers need no key.
    #[serde(rename = "open")]
    pub public: bool,
    /// The services that it leads to.
    pub targets: Vec<Target>,
}

/// What the engines of a service can hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Calls in a batch.
    pub slots: u32,
}

/// A service that endpoints serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceName,
    /// Its engines, if it serves models.
    pub engine: Option<EngineSpec>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head.
    #[serde(rename = "head_time")]
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
    #[serde(rename = "idle_time")]
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// The limits before a configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A workspace and its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceSpec {
    /// Its name.
    pub name: WorkspaceName,
    /// The keys of its callers.
    pub keys: Vec<Box<str>>,
    /// Rank that goes before the route's, 0 first.
    pub priority: Option<u8>,
}

/// A configuration in full.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Its version; higher ones replace lower ones.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// Bounds on what callers may send.
    pub limits: Limits,
    /// The workspaces; without any, no call needs a key.
    pub workspaces: Option<Vec<WorkspaceSpec>>,
}
