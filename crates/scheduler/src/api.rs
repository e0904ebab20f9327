//! What goes into the scheduler and what comes out.
//!
//! All of it is named by names and identifiers, never by keys, because requests and
//! dispatches travel between VMs whose catalogs may differ by a generation.

use core::time::Duration;
use poplarswitch_catalog::Route;
use poplarswitch_entity::{
    AdapterName, Attempt, CallId, ClassName, DataCentre, EndpointName, PrefixHash, WorkspaceName,
};
use serde::{Deserialize, Serialize};

/// A call as the scheduler sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The call.
    pub call: CallId,
    /// Its class.
    pub class: ClassName,
    /// Who asks.
    pub workspace: WorkspaceName,
    /// What it asks for.
    pub route: Route,
    /// The adapter that it needs.
    pub adapter: Option<AdapterName>,
    /// Hash of the workspace and the start of the prompt.
    pub prefix: PrefixHash,
    /// Estimated length of the prompt, in tokens.
    pub input_tokens: u32,
    /// Most tokens that the answer may have.
    pub max_tokens: u32,
    /// Where the VM that holds the caller stands.
    pub data_centre: DataCentre,
    /// Time that the call had waited before this submission.
    pub waited: Duration,
}

/// A call that already runs at an endpoint when the scheduler first hears of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The call.
    pub request: Request,
    /// Where it runs.
    pub endpoint: EndpointName,
    /// Its dispatch.
    pub attempt: Attempt,
    /// Tokens emitted so far.
    pub tokens: u32,
}

/// Output that a running call has produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The call.
    #[serde(rename = "c")]
    pub call: CallId,
    /// Its dispatch.
    #[serde(rename = "a")]
    pub attempt: Attempt,
    /// Tokens emitted so far, in all.
    #[serde(rename = "t")]
    pub tokens: u32,
}

/// How an endpoint failed a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// No byte was sent: the connection was refused or never opened.
    Unreached,
    /// The endpoint said that it did not run the call.
    Declined,
    /// The connection was lost, or no answer came in time, after a byte was sent.
    Lost,
    /// The endpoint ran the call and said that it failed.
    Errored,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The whole answer came.
    Answered {
        /// Its length in tokens.
        tokens: u32,
    },
    /// It failed.
    Failed {
        /// In which way.
        fault: Fault,
        /// Tokens that the caller has already seen.
        emitted: u32,
    },
    /// It was stopped on the scheduler's order or because the caller left.
    Stopped {
        /// Tokens that the caller has already seen.
        emitted: u32,
    },
}

/// The end of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The call.
    pub call: CallId,
    /// Its dispatch.
    pub attempt: Attempt,
    /// How it ended.
    pub end: End,
}

/// What an endpoint says of its load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Calls in its batch.
    pub running: u32,
    /// Calls in its own queue.
    pub queued: u32,
    /// Age of the report when it was received.
    pub age: Duration,
}

/// A change in an endpoint's prefix cache; may be late or missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The prefix.
    pub prefix: PrefixHash,
    /// Whether it is now held.
    pub held: bool,
}

/// Everything that the scheduler reacts to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Input {
    /// A call arrived.
    Submit(Request),
    /// A running call came under this scheduler's care.
    Adopt(Running),
    /// The caller left.
    Cancel(CallId),
    /// A running call produced output.
    Progress(Progress),
    /// A dispatch ended.
    Ended(Ended),
    /// An endpoint reported its load.
    Load(LoadReport),
    /// An endpoint's prefix cache changed.
    Cache(CacheEvent),
}

/// How a dispatch starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// From the beginning.
    Fresh,
    /// From where the engine's own stream stopped.
    Resume {
        /// Tokens that the caller has already seen.
        emitted: u32,
    },
}

/// An order to send a call to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The call.
    pub call: CallId,
    /// Where it goes.
    pub endpoint: EndpointName,
    /// Counts the dispatches of the call.
    pub attempt: Attempt,
    /// How it starts.
    pub mode: Mode,
}

/// Why a dispatch is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// The caller left.
    Cancelled,
    /// A higher tier needs the slot; the call will resume.
    Preempted,
}

/// An order to stop a dispatch at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// The call.
    pub call: CallId,
    /// Its dispatch.
    pub attempt: Attempt,
    /// Why.
    pub reason: StopReason,
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The workspace is over its rate.
    RateLimit,
    /// The workspace or class has too many calls waiting.
    QueueFull,
    /// It could not meet its bound even if admitted.
    Overload,
    /// It waited for a slot for as long as its class allows.
    WaitExpired,
    /// The set in force has no such class, workspace or route.
    Unknown,
    /// No endpoint of the route is usable.
    NoEndpoint,
}

/// The answer to a call that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The call.
    pub call: CallId,
    /// Why.
    pub reason: RefusalReason,
    /// When a new attempt is worth while.
    pub retry_after: Duration,
}

/// What became of a call that ran without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConclusionKind {
    /// It ran and failed.
    Failed,
    /// It may or may not have run.
    InDoubt,
}

/// The end of a call that ran without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conclusion {
    /// The call.
    pub call: CallId,
    /// What became of it.
    pub kind: ConclusionKind,
}

/// Everything that the scheduler orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Output {
    /// Send a call to an endpoint.
    Dispatch(Dispatch),
    /// Stop a dispatch.
    Stop(Stop),
    /// Tell the caller that its call was not run.
    Refuse(Refusal),
    /// Tell the caller that its call failed or is in doubt.
    Conclude(Conclusion),
}

impl Output {
    /// The call that the order is about.
    pub const fn call(&self) -> CallId {
        match self {
            Self::Dispatch(dispatch) => dispatch.call,
            Self::Stop(stop) => stop.call,
            Self::Refuse(refusal) => refusal.call,
            Self::Conclude(verdict) => verdict.call,
        }
    }
}

/// How calls are ordered and endpoints chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Arrival order, endpoints in turn.
    FifoRoundRobin,
    /// Arrival order, the endpoint with the fewest outstanding calls.
    FifoLeastOutstanding,
    /// Strict tiers, the endpoint with the fewest outstanding calls.
    StrictLeastOutstanding,
    /// Tiers with floors, slack, fairness, limits, affinity and ejection.
    #[default]
    Full,
}
