//! The six kinds of declared objects.

use bon::Builder;
use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::{
    AdapterName, ClassName, DataCentre, EndpointName, ModelName, ModelVersion, ServiceName,
    TierName, WorkspaceName,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Latency target of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Target {
    /// Target for streamed answers.
    Stream {
        /// Time from the arrival of a call to its first token, in milliseconds.
        first_token_ms: u32,
        /// Mean time between the tokens of one answer, in milliseconds.
        inter_token_ms: u32,
    },
    /// Target for whole answers.
    Answer {
        /// Time from the arrival of a call to the end of its answer, in milliseconds.
        answer_ms: u32,
    },
}

impl Target {
    /// Target time from the arrival of a call to its first output.
    pub const fn first_output(self) -> Duration {
        match self {
            Self::Stream { first_token_ms, .. } => Duration::from_millis(first_token_ms as u64),
            Self::Answer { answer_ms } => Duration::from_millis(answer_ms as u64),
        }
    }
}

/// Limits of one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClassLimits {
    /// Largest share of each endpoint's slots that calls of the class may use, in percent.
    pub slot_percent: u8,
    /// Largest number of queued calls.
    pub queued: u32,
}

impl Default for ClassLimits {
    fn default() -> Self {
        Self {
            slot_percent: 100,
            queued: 10_000,
        }
    }
}

/// A class: calls with the same latency target and the same limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name by which calls and other objects refer to the class.
    #[builder(into)]
    pub name: ClassName,
    /// Tier that the class belongs to.
    #[builder(into)]
    pub tier: TierName,
    /// Latency target of its calls.
    pub target: Target,
    /// Whether a call may run more than once, for example after a failed run.
    #[serde(default = "default_repeatable")]
    #[builder(default = true)]
    pub repeatable: bool,
    /// Models that its calls may use.
    #[serde(default)]
    #[builder(default)]
    pub models: Vec<ModelName>,
    /// Services that its calls may use.
    #[serde(default)]
    #[builder(default)]
    pub services: Vec<ServiceName>,
    /// Largest size of a call's body, in bytes.
    #[serde(default = "default_input_bytes")]
    #[builder(default = default_input_bytes())]
    pub max_input_bytes: u32,
    /// Largest number of tokens of one answer.
    #[serde(default = "default_output_tokens")]
    #[builder(default = default_output_tokens())]
    pub max_output_tokens: u32,
    /// Longest time that a call waits for a slot before it is refused, in milliseconds.
    #[serde(default = "default_wait_ms")]
    #[builder(default = default_wait_ms())]
    pub max_wait_ms: u32,
    /// Limits on its calls.
    #[serde(default)]
    #[builder(default)]
    pub limits: ClassLimits,
}

/// A tier: a priority level of classes, whose calls are served before those of lower tiers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Name by which classes refer to the tier.
    #[builder(into)]
    pub name: TierName,
    /// Rank of the tier, from 0; the tier with the lowest rank is served first.
    pub rank: u8,
    /// Share of dispatches guaranteed to the tier while it has queued calls, in percent.
    #[serde(default)]
    #[builder(default)]
    pub floor_percent: u8,
    /// Whether running calls may be preempted for higher tiers on engines that can resume them.
    #[serde(default)]
    #[builder(default)]
    pub preemptible: bool,
}

/// Limits of one workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkspaceLimits {
    /// Largest sustained rate of calls, in calls per second.
    pub rate: u32,
    /// Largest number of running calls.
    pub in_flight: u32,
    /// Largest number of queued calls.
    pub queued: u32,
}

impl Default for WorkspaceLimits {
    fn default() -> Self {
        Self {
            rate: 1_000,
            in_flight: 1_000,
            queued: 1_000,
        }
    }
}

/// SHA-256 of a bearer key, in lower-case hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub String);

impl KeyHash {
    /// Hashes a bearer key.
    pub fn from_key(key: &str) -> Self {
        use core::fmt::Write as _;
        let digest = Sha256::digest(key.as_bytes());
        let mut text = String::with_capacity(digest.len() * 2);
        for byte in digest {
            let _ = write!(text, "{byte:02x}");
        }
        Self(text)
    }
}

/// A workspace: one customer, whose bursts count against its own limits and weight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace in metrics and limits.
    #[builder(into)]
    pub name: WorkspaceName,
    /// Weight for fair sharing between the workspaces with calls in the same tier.
    #[serde(default = "default_weight")]
    #[builder(default = default_weight())]
    pub weight: u32,
    /// Limits on its calls.
    #[serde(default)]
    #[builder(default)]
    pub limits: WorkspaceLimits,
    /// Hashes of its bearer keys.
    #[serde(default)]
    #[builder(default)]
    pub keys: Vec<KeyHash>,
}

/// A language model that endpoints serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name by which calls and other objects refer to the model.
    #[builder(into)]
    pub name: ModelName,
    /// Its versions, by convention the one in use first.
    pub versions: Vec<ModelVersion>,
    /// Its adapters, which calls may request and endpoints may load.
    #[serde(default)]
    #[builder(default)]
    pub adapters: Vec<AdapterName>,
    /// Class of calls that name none.
    #[builder(into)]
    pub default_class: ClassName,
    /// Size of the model's weights, in megabytes.
    #[serde(default)]
    #[builder(default)]
    pub weight_mb: u32,
    /// Number of ready replicas that an order must leave.
    #[serde(default = "default_min_ready")]
    #[builder(default = default_min_ready())]
    pub min_ready: u32,
}

/// A service: an HTTP back end that is not a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service in the paths of calls.
    #[builder(into)]
    pub name: ServiceName,
    /// Class of calls that name none.
    #[builder(into)]
    pub default_class: ClassName,
}

/// Models or service that an endpoint serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Serves {
    /// The endpoint is a model engine.
    Model {
        /// The model.
        model: ModelName,
        /// The version that the engine should serve.
        version: ModelVersion,
        /// The adapters that the engine should load.
        #[serde(default)]
        adapters: Vec<AdapterName>,
    },
    /// The endpoint is an instance of a service.
    Service {
        /// The service.
        service: ServiceName,
    },
}

/// An endpoint: one back end at one address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name of the endpoint in orders, metrics and timelines.
    #[builder(into)]
    pub name: EndpointName,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Data centre of the endpoint.
    #[builder(into)]
    pub data_centre: DataCentre,
    /// Models or service that the endpoint serves.
    pub serves: Serves,
    /// Number of calls that the endpoint serves concurrently.
    pub slots: u32,
    /// Whether the engine refuses orders with an old fencing number.
    #[serde(default)]
    #[builder(default)]
    pub fenced: bool,
}

const fn default_repeatable() -> bool {
    true
}

const fn default_input_bytes() -> u32 {
    256 * 1024
}

const fn default_output_tokens() -> u32 {
    4_096
}

const fn default_wait_ms() -> u32 {
    60_000
}

const fn default_weight() -> u32 {
    1
}

const fn default_min_ready() -> u32 {
    1
}
