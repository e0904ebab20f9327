//! Routes, services and workspaces as the operator configures them.
//!
//! VMs send each other a configuration in this form. [`crate::RoutingTable`] holds the same
//! configuration indexed for look-ups.

use core::time::Duration;
use poplarswitch_entity::{ServiceName, WorkspaceName};
use poplarswitch_scaling::ScalingSpec;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Kind of a route, which decides whether its calls may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Calls are idempotent.
    Safe,
    /// Calls run at most once.
    Unsafe,
    /// Answers are streams of events.
    Stream {
        /// Another endpoint may continue the stream after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a call may run more than once.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether a call that is cut off can go on elsewhere where it stopped.
    pub const fn is_resumable(self) -> bool {
        matches!(self, Self::Stream { resumable: true })
    }

    /// Whether answers are streams of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service to which a route sends calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// A route from callers to services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Name of the route.
    pub name: Box<str>,
    /// Host name in the caller's request.
    pub host: Box<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Kind of the route.
    pub kind: RouteKind,
    /// Maximum time from the arrival of a call to the end of its answer.
    pub timeout: Option<Duration>,
    /// Latency objective: target time until the answer begins.
    pub objective: Option<Duration>,
    /// Longest gap between two events of a stream that meets the objective.
    #[serde(rename = "pause")]
    pub max_gap: Option<Duration>,
    /// Maximum number of endpoints that may run one call.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether calls are accepted without a key.
    #[serde(rename = "open")]
    pub public: bool,
    /// Services to which the route sends calls.
    pub targets: Vec<Target>,
}

impl RouteSpec {
    /// Whether the route sends calls to a service.
    pub fn has_target(&self, service: &ServiceName) -> bool {
        let has_weights = self.targets.iter().any(|target| target.weight > 0);
        let mut targets = self.targets.iter();
        targets.any(|target| target.service == *service && (target.weight > 0 || !has_weights))
    }
}

/// Capacity of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Calls that an engine runs in one batch.
    pub slots: u32,
}

/// A service that endpoints serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Its engines, if it serves models.
    pub engine: Option<EngineSpec>,
    /// Limits and prices of its engines, if their number is ordered by this system.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scaling: Option<ScalingSpec>,
}

/// Limits on requests from callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    #[serde(rename = "head_time")]
    pub head_timeout: Duration,
    /// Maximum idle time of a connection; also the maximum time to receive a request body.
    #[serde(rename = "idle_time")]
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Limits that apply until a configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A workspace and its API keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceSpec {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// API keys of its callers.
    pub keys: Vec<Box<str>>,
    /// Priority that takes precedence over the route's; 0 is the highest.
    pub priority: Option<u8>,
}

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Version; a higher version replaces a lower one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<RouteSpec>>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// Limits on requests from callers.
    pub limits: Limits,
    /// All workspaces; if absent, no call needs a key.
    pub workspaces: Option<Vec<WorkspaceSpec>>,
}
