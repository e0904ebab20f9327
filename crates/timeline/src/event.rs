//! What can happen in a process.

use crate::Stamp;
use core::fmt;
use poplarswitch_entity::{
    Attempt, CallId, ClassName, EndpointName, FencingNumber, Generation, Incarnation, VmName,
    WorkspaceName,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Names a lease in the platform.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseName(Arc<str>);

impl LeaseName {
    /// Takes the text as it is.
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

/// How a call that ran came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The caller got the whole answer.
    Answered,
    /// It ran and failed.
    Failed,
    /// It may or may not have run.
    InDoubt,
}

/// Why a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    /// The workspace is over its rate.
    RateLimit,
    /// Too many calls wait.
    QueueFull,
    /// It could not meet its bound.
    Overload,
    /// It waited for as long as its class allows.
    WaitExpired,
    /// No usable endpoint.
    NoEndpoint,
    /// Unknown class, model or service.
    Unknown,
    /// Missing or unknown bearer key.
    Unauthorized,
    /// Malformed or oversized request.
    Malformed,
    /// The VM is leaving.
    Draining,
    /// The VM has no set yet.
    NoSet,
    /// The key of a non-repeatable call is held elsewhere or could not be claimed.
    KeyHeld,
}

/// One kind of event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EventKind {
    /// A call arrived from its caller.
    Arrived {
        /// Its class.
        class: ClassName,
        /// Who asks.
        workspace: WorkspaceName,
    },
    /// A call waits for a slot.
    Queued {
        /// Calls that wait in the same scheduler, this one included.
        depth: u32,
    },
    /// A call was sent to an endpoint.
    Dispatched {
        /// Where it went.
        endpoint: EndpointName,
        /// Counts its dispatches.
        attempt: Attempt,
    },
    /// A call was stopped at its endpoint for a higher tier and will resume.
    Preempted {
        /// Where it ran.
        endpoint: EndpointName,
    },
    /// The first output went to the caller.
    FirstToken,
    /// A call ended after it ran.
    Ended {
        /// How.
        outcome: Outcome,
        /// Tokens that the caller got.
        tokens: u32,
    },
    /// A call was refused without being run.
    Refused {
        /// Why.
        cause: RefusalCause,
    },
    /// The caller left.
    Cancelled,
    /// A call was handed to another VM.
    Forwarded {
        /// That VM.
        to: VmName,
    },
    /// A set came into force.
    GenerationInForce {
        /// Its generation.
        generation: Generation,
    },
    /// A set was refused and the last good one stays.
    GenerationRefused {
        /// Its generation.
        generation: Generation,
    },
    /// A peer was found alive.
    MemberUp {
        /// The peer.
        member: VmName,
        /// Its process.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// A peer stopped answering.
    MemberSuspect {
        /// The peer.
        member: VmName,
        /// Its process.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// A peer is taken for dead.
    MemberGone {
        /// The peer.
        member: VmName,
        /// Its process.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// A peer said that it is leaving.
    MemberLeaving {
        /// The peer.
        member: VmName,
        /// Its process.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// This VM began to leave.
    DrainBegan {
        /// Calls in flight.
        in_flight: u32,
    },
    /// This VM has left.
    DrainEnded {
        /// Calls in flight that were cut off.
        cut: u32,
    },
    /// This VM took a lease.
    LeaseTaken {
        /// The lease.
        lease: LeaseName,
        /// Its version.
        number: FencingNumber,
    },
    /// This VM gave up a lease or let it lapse.
    LeaseLost {
        /// The lease.
        lease: LeaseName,
        /// Its version.
        number: FencingNumber,
    },
    /// An order went to an engine.
    OrderSent {
        /// The engine.
        endpoint: EndpointName,
        /// The fencing number that it carried.
        number: FencingNumber,
    },
    /// An engine took an order.
    OrderApplied {
        /// The engine.
        endpoint: EndpointName,
        /// The fencing number that the order carried.
        number: FencingNumber,
    },
    /// An engine refused an order.
    OrderRefused {
        /// The engine.
        endpoint: EndpointName,
        /// The fencing number that it carried.
        number: FencingNumber,
    },
    /// The platform stopped answering.
    PlatformDown,
    /// The platform answers again.
    PlatformUp,
    /// An endpoint gets no more calls.
    EndpointEjected {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// An ejected endpoint got a trial call.
    EndpointProbed {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// An ejected endpoint gets calls again.
    EndpointBack {
        /// The endpoint.
        endpoint: EndpointName,
    },
}

/// Something that happened in one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When.
    pub at: Stamp,
    /// On which VM.
    pub vm: VmName,
    /// In which life of its process.
    pub incarnation: Incarnation,
    /// The call that it is about.
    pub call: Option<CallId>,
    /// What happened.
    #[serde(rename = "what")]
    pub kind: EventKind,
}
