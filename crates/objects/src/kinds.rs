//! The six kinds of objects.

use bon::Builder;
use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::{
    AdapterName, ClassName, DataCentre, EndpointName, ModelName, ModelVersion, ServiceName,
    TierName, WorkspaceName,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// What a class promises its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Target {
    /// A streamed answer: the first token, then the gaps between tokens.
    Stream {
        /// Milliseconds from the call's arrival to its first token.
        first_token_ms: u32,
        /// Milliseconds between tokens, as a mean over one answer.
        inter_token_ms: u32,
    },
    /// A whole answer.
    Answer {
        /// Milliseconds from the call's arrival to the end of its answer.
        answer_ms: u32,
    },
}

impl Target {
    /// The time within which the caller expects the first output.
    pub const fn first_output(self) -> Duration {
        match self {
            Self::Stream { first_token_ms, .. } => Duration::from_millis(first_token_ms as u64),
            Self::Answer { answer_ms } => Duration::from_millis(answer_ms as u64),
        }
    }
}

/// Bounds on what a class may hold at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClassLimits {
    /// Share of each endpoint's slots that the class may hold, in percent.
    pub slot_percent: u8,
    /// Calls that may wait at once.
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

/// A request class: a kind of work with one latency target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name that calls give.
    #[builder(into)]
    pub name: ClassName,
    /// The tier it is served in.
    #[builder(into)]
    pub tier: TierName,
    /// The latency target.
    pub target: Target,
    /// Whether a call may run more than once.
    #[serde(default = "yes")]
    #[builder(default = true)]
    pub repeatable: bool,
    /// The models that it may use.
    #[serde(default)]
    #[builder(default)]
    pub models: Vec<ModelName>,
    /// The plain services that it may use.
    #[serde(default)]
    #[builder(default)]
    pub services: Vec<ServiceName>,
    /// Largest body of a call, in bytes.
    #[serde(default = "default_input_bytes")]
    #[builder(default = default_input_bytes())]
    pub max_input_bytes: u32,
    /// Most tokens of one answer.
    #[serde(default = "default_output_tokens")]
    #[builder(default = default_output_tokens())]
    pub max_output_tokens: u32,
    /// Longest wait for a slot, in milliseconds, after which a call is refused.
    #[serde(default = "default_wait_ms")]
    #[builder(default = default_wait_ms())]
    pub max_wait_ms: u32,
    /// What it may hold at once.
    #[serde(default)]
    #[builder(default)]
    pub limits: ClassLimits,
}

/// A tier: classes that are served before those of the tiers below.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// The name that classes refer to.
    #[builder(into)]
    pub name: TierName,
    /// The place in the order; zero is served first.
    pub rank: u8,
    /// Share of dispatches kept for the tier while it has work, in percent.
    #[serde(default)]
    #[builder(default)]
    pub floor_percent: u8,
    /// Whether a running call may be paused for a higher tier where the engine can resume.
    #[serde(default)]
    #[builder(default)]
    pub preemptible: bool,
}

/// Bounds on one workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkspaceLimits {
    /// Calls a second, sustained.
    pub rate: u32,
    /// Calls being served at once.
    pub in_flight: u32,
    /// Calls waiting at once.
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

/// A workspace: one customer, who pays for its own bursts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The name used in metrics and limits.
    #[builder(into)]
    pub name: WorkspaceName,
    /// Its share beside other workspaces of the same tier.
    #[serde(default = "default_weight")]
    #[builder(default = default_weight())]
    pub weight: u32,
    /// What it may use at once.
    #[serde(default)]
    #[builder(default)]
    pub limits: WorkspaceLimits,
    /// Hashes of the bearer keys that belong to it.
    #[serde(default)]
    #[builder(default)]
    pub keys: Vec<KeyHash>,
}

/// A language model that endpoints serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name that calls give.
    #[builder(into)]
    pub name: ModelName,
    /// Its versions, the one in use first.
    pub versions: Vec<ModelVersion>,
    /// Its adapters.
    #[serde(default)]
    #[builder(default)]
    pub adapters: Vec<AdapterName>,
    /// The class of calls that name none.
    #[builder(into)]
    pub default_class: ClassName,
    /// Size of its weights, in megabytes.
    #[serde(default)]
    #[builder(default)]
    pub weight_mb: u32,
    /// Ready replicas that orders must leave standing.
    #[serde(default = "default_min_ready")]
    #[builder(default = default_min_ready())]
    pub min_ready: u32,
}

/// A plain service beside the model engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name in the path of calls.
    #[builder(into)]
    pub name: ServiceName,
    /// The class of calls that name none.
    #[builder(into)]
    pub default_class: ClassName,
}

/// What an endpoint serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Serves {
    /// A model engine.
    Model {
        /// The model.
        model: ModelName,
        /// The version that it should serve.
        version: ModelVersion,
        /// The adapters that it should hold.
        #[serde(default)]
        adapters: Vec<AdapterName>,
    },
    /// A plain service.
    Service {
        /// The service.
        service: ServiceName,
    },
}

/// An endpoint: one back end at one address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The name used in orders, metrics and time lines.
    #[builder(into)]
    pub name: EndpointName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    #[builder(into)]
    pub data_centre: DataCentre,
    /// What it serves.
    pub serves: Serves,
    /// Calls that it serves at once.
    pub slots: u32,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    #[builder(default)]
    pub fenced: bool,
}

const fn yes() -> bool {
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
