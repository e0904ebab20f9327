//! The inputs and outputs of the scheduler.
//!
//! They refer to objects by name and to calls by identifier, never by key, because requests
//! and dispatches are sent between VMs whose catalogs may differ by a generation.

use core::time::Duration;
use poplarswitch_catalog::Route;
use poplarswitch_entity::{
    AdapterName, Attempt, CallId, ClassName, DataCentre, EndpointName, PrefixHash, WorkspaceName,
};
use serde::{Deserialize, Serialize};

/// The properties of a call that scheduling depends on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Identifier of the call.
    pub call: CallId,
    /// Class of the call.
    pub class: ClassName,
    /// Workspace that the call belongs to.
    pub workspace: WorkspaceName,
    /// Model or service that is called.
    pub route: Route,
    /// Adapter that the endpoint must hold, if any.
    pub adapter: Option<AdapterName>,
    /// Hash of the workspace and the prompt prefix.
    pub prefix: PrefixHash,
    /// Estimated prompt length in tokens.
    pub input_tokens: u32,
    /// Maximum answer length in tokens.
    pub max_tokens: u32,
    /// Data centre of the VM that holds the caller's connection.
    pub data_centre: DataCentre,
    /// Time that the call had already waited before this submission.
    pub waited: Duration,
}

/// A call that is already running at an endpoint when this scheduler takes it over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The call.
    pub request: Request,
    /// Endpoint that runs the call.
    pub endpoint: EndpointName,
    /// Number of the current dispatch.
    pub attempt: Attempt,
    /// Tokens emitted so far.
    pub tokens: u32,
}

/// Progress of a running call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Identifier of the call.
    #[serde(rename = "c")]
    pub call: CallId,
    /// Number of the dispatch.
    #[serde(rename = "a")]
    pub attempt: Attempt,
    /// Tokens emitted so far, including those of earlier dispatches.
    #[serde(rename = "t")]
    pub tokens: u32,
}

/// The way in which a dispatch failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// No byte was sent: the connection was refused or could not be opened.
    Unreached,
    /// The endpoint stated that it did not run the call.
    Declined,
    /// After a byte was sent, the connection was lost or the answer timed out.
    Lost,
    /// The endpoint ran the call and reported an error.
    Errored,
}

/// The result of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The answer is complete.
    Answered {
        /// Answer length in tokens.
        tokens: u32,
    },
    /// The dispatch failed.
    Failed {
        /// The kind of failure.
        fault: Fault,
        /// Tokens that the caller has already received.
        emitted: u32,
    },
    /// The dispatch was stopped by the scheduler, or because the caller disconnected.
    Stopped {
        /// Tokens that the caller has already received.
        emitted: u32,
    },
}

/// The end of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// Identifier of the call.
    pub call: CallId,
    /// Number of the dispatch.
    pub attempt: Attempt,
    /// Result of the dispatch.
    pub end: End,
}

/// An endpoint's report of its load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Calls in the endpoint's current batch.
    pub running: u32,
    /// Calls in the endpoint's own queue.
    pub queued: u32,
    /// Age of the report when it was received.
    pub age: Duration,
}

/// A change in an endpoint's prefix cache. Such events may arrive late or be lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Hash of the workspace and the prompt prefix.
    pub prefix: PrefixHash,
    /// Whether the cache now holds the prefix.
    pub held: bool,
}

/// An input of the scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Input {
    /// Schedule a new call.
    Submit(Request),
    /// Take over a call that is already running.
    Adopt(Running),
    /// Cancel a call whose caller disconnected.
    Cancel(CallId),
    /// A running call emitted tokens.
    Progress(Progress),
    /// A dispatch ended.
    Ended(Ended),
    /// An endpoint reported its load.
    Load(LoadReport),
    /// An endpoint's prefix cache changed.
    Cache(CacheEvent),
}

/// Position in the answer at which a dispatch starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// At the beginning.
    Fresh,
    /// At the point where the same endpoint's stream was interrupted.
    Resume {
        /// Tokens that the caller has already received.
        emitted: u32,
    },
}

/// An instruction to send a call to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Identifier of the call.
    pub call: CallId,
    /// Endpoint that the call is sent to.
    pub endpoint: EndpointName,
    /// Number of the dispatch, counted from 0 for each call.
    pub attempt: Attempt,
    /// Position in the answer at which the dispatch starts.
    pub mode: Mode,
}

/// Why a dispatch is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// The caller disconnected.
    Cancelled,
    /// A higher tier needs the slot; the call is resumed later.
    Preempted,
}

/// An instruction to stop a dispatch at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// Identifier of the call.
    pub call: CallId,
    /// Number of the dispatch.
    pub attempt: Attempt,
    /// Why the dispatch is stopped.
    pub reason: StopReason,
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The workspace exceeds its rate limit.
    RateLimit,
    /// The workspace or the class has reached its limit of queued calls.
    QueueFull,
    /// The expected queue wait exceeds the longest wait that the class allows.
    Overload,
    /// The call waited for a slot for as long as its class allows.
    WaitExpired,
    /// The set in force lacks the call's class, workspace or route.
    Unknown,
    /// No endpoint serves the call, or too many of its dispatches were not run.
    NoEndpoint,
}

/// The refusal of a call that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Identifier of the call.
    pub call: CallId,
    /// Why the call was refused.
    pub reason: RefusalReason,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

/// End of a call that was dispatched but has no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConclusionKind {
    /// The call was dispatched and failed.
    Failed,
    /// The call may or may not have run.
    InDoubt,
}

/// The end of a call that was dispatched but has no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conclusion {
    /// Identifier of the call.
    pub call: CallId,
    /// Whether the call failed or is in doubt.
    pub kind: ConclusionKind,
}

/// An output of the scheduler, to be carried out by its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Output {
    /// Send a call to an endpoint.
    Dispatch(Dispatch),
    /// Stop a dispatch at its endpoint.
    Stop(Stop),
    /// Report to the caller that its call was not run.
    Refuse(Refusal),
    /// Report to the caller that its call failed or is in doubt.
    Conclude(Conclusion),
}

impl Output {
    /// The call that the output refers to.
    pub const fn call(&self) -> CallId {
        match self {
            Self::Dispatch(dispatch) => dispatch.call,
            Self::Stop(stop) => stop.call,
            Self::Refuse(refusal) => refusal.call,
            Self::Conclude(conclusion) => conclusion.call,
        }
    }
}

/// Order of queued calls and choice of endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Calls in arrival order, endpoints round robin.
    FifoRoundRobin,
    /// Calls in arrival order, the endpoint with the fewest outstanding calls.
    FifoLeastOutstanding,
    /// Strict tier priority, the endpoint with the fewest outstanding calls.
    StrictLeastOutstanding,
    /// Tiers with guaranteed floors, deadlines, fairness between workspaces, limits, prefix
    /// affinity and endpoint ejection.
    #[default]
    Full,
}
