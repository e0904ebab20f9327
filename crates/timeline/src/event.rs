//! Events of a process.

use crate::Stamp;
use core::fmt;
use poplarswitch_entity::{
    Attempt, CallId, ClassName, EndpointName, FencingNumber, Generation, Incarnation, VmName,
    WorkspaceName,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Name of a lease in the platform.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseName(Arc<str>);

impl LeaseName {
    /// Creates a name without checks.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }
}

impl From<&str> for LeaseName {
    fn from(text: &str) -> Self {
        Self::new(text)
    }
}

impl fmt::Display for LeaseName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Outcome of a dispatched call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The caller got the complete answer.
    Answered,
    /// The call ran and failed.
    Failed,
    /// The call may or may not have run.
    InDoubt,
}

/// Reason why a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    /// The workspace exceeds its rate.
    RateLimit,
    /// Too many calls are queued.
    QueueFull,
    /// The call could not be served within its latency bound.
    Overload,
    /// The call reached the maximum wait of its class.
    WaitExpired,
    /// No endpoint is usable.
    NoEndpoint,
    /// The class, model or service is unknown.
    Unknown,
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// The request is malformed or too large.
    Malformed,
    /// The VM is shutting down.
    Draining,
    /// The VM has no set of objects yet.
    NoSet,
    /// The key of a non-repeatable call is held by another VM or could not be claimed.
    KeyHeld,
}

/// Kind of an event, with its data.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EventKind {
    /// A call arrived from its caller.
    Arrived {
        /// Class of the call.
        class: ClassName,
        /// Workspace of the caller.
        workspace: WorkspaceName,
    },
    /// A call was queued for a slot.
    Queued {
        /// Calls queued in the same scheduler, including this one.
        depth: u32,
    },
    /// A call was dispatched to an endpoint.
    Dispatched {
        /// Endpoint that the call was sent to.
        endpoint: EndpointName,
        /// Number of this dispatch among the dispatches of the call, from zero.
        attempt: Attempt,
    },
    /// A call was stopped at its endpoint in favour of a higher tier, and will be resumed.
    Preempted {
        /// Endpoint that ran the call.
        endpoint: EndpointName,
    },
    /// The first output of a call was sent to the caller.
    FirstToken,
    /// A dispatched call ended.
    Ended {
        /// Outcome of the call.
        outcome: Outcome,
        /// Tokens sent to the caller.
        tokens: u32,
    },
    /// A call was refused without having run.
    Refused {
        /// Reason of the refusal.
        cause: RefusalCause,
    },
    /// The caller disconnected before the call ended.
    Cancelled,
    /// A call was forwarded to another VM.
    Forwarded {
        /// VM that the call was forwarded to.
        to: VmName,
    },
    /// A set was put in force.
    GenerationInForce {
        /// Generation of the set.
        generation: Generation,
    },
    /// A set was refused; the set in force stays.
    GenerationRefused {
        /// Generation of the refused set.
        generation: Generation,
    },
    /// Another VM was found alive.
    MemberUp {
        /// Name of the other VM.
        member: VmName,
        /// Incarnation of its process.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// Another VM's heartbeats are overdue.
    MemberSuspect {
        /// Name of the other VM.
        member: VmName,
        /// Incarnation of its process.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// Another VM is considered dead.
    MemberGone {
        /// Name of the other VM.
        member: VmName,
        /// Incarnation of its process.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// Another VM announced that it is shutting down.
    MemberLeaving {
        /// Name of the other VM.
        member: VmName,
        /// Incarnation of its process.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// This VM began to shut down.
    DrainBegan {
        /// Calls in flight at that time.
        in_flight: u32,
    },
    /// This VM finished draining.
    DrainEnded {
        /// Calls that were still in flight and were cut off.
        cut: u32,
    },
    /// This VM acquired a lease.
    LeaseTaken {
        /// Name of the lease.
        lease: LeaseName,
        /// Fencing number of the lease.
        number: FencingNumber,
    },
    /// This VM released a lease or let it expire.
    LeaseLost {
        /// Name of the lease.
        lease: LeaseName,
        /// Fencing number of the lease.
        number: FencingNumber,
    },
    /// An order was sent to an engine.
    OrderSent {
        /// Endpoint of the engine.
        endpoint: EndpointName,
        /// Fencing number of the order.
        number: FencingNumber,
    },
    /// An engine accepted an order.
    OrderApplied {
        /// Endpoint of the engine.
        endpoint: EndpointName,
        /// Fencing number of the order.
        number: FencingNumber,
    },
    /// An order was refused by its engine or did not reach it.
    OrderRefused {
        /// Endpoint of the engine.
        endpoint: EndpointName,
        /// Fencing number of the order.
        number: FencingNumber,
    },
    /// The platform stopped answering.
    PlatformDown,
    /// The platform answers again.
    PlatformUp,
    /// An endpoint was ejected: it gets no more calls.
    EndpointEjected {
        /// Name of the endpoint.
        endpoint: EndpointName,
    },
    /// A probe call was sent to an ejected endpoint.
    EndpointProbed {
        /// Name of the endpoint.
        endpoint: EndpointName,
    },
    /// An ejected endpoint gets calls again.
    EndpointBack {
        /// Name of the endpoint.
        endpoint: EndpointName,
    },
}

/// An event of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event.
    pub at: Stamp,
    /// VM of the process.
    pub vm: VmName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Call that the event belongs to, if any.
    pub call: Option<CallId>,
    /// Kind and data of the event.
    #[serde(rename = "what")]
    pub kind: EventKind,
}
