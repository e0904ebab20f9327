//! Keyed calls, messages between VMs, and the inputs and outputs of [`Core`](crate::Core).

use crate::{KeyText, Token};
use bon::Builder;
use core::time::Duration;
use poplarswitch_entity::{CallId, Incarnation, WorkspaceName};
use poplarswitch_store::{Reply, Request, RequestId, Version};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An idempotency key within its workspace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallKey {
    /// The workspace that chose the key.
    pub workspace: WorkspaceName,
    /// The text of the caller's `idempotency-key` header.
    pub text: KeyText,
}

/// A call with an idempotency key, which must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedCall {
    /// Identifier of this submission; a repeat with the same key has another one.
    pub call: CallId,
    /// The idempotency key.
    pub key: CallKey,
    /// Digest of the request; a key that comes with another digest is a mismatch.
    pub digest: u64,
    /// The encoded request, opaque to this crate.
    pub payload: Arc<[u8]>,
}

/// Answer to the caller of a keyed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The call ran; the answer of this run or of an earlier one with the same key.
    Answer(Arc<[u8]>),
    /// The call ran once, and its answer is not stored.
    Ran,
    /// No call with this key has run, and none will unless the caller repeats it.
    NotRun(NotRunReason),
    /// This call did not run; whether an earlier one with the same key ran is unknown.
    NotRunHere,
    /// The call may or may not have run.
    InDoubt,
    /// The key was already used for a different request.
    Mismatch,
}

/// Reason for which a keyed call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The scheduler refused the call, or no endpoint accepted it.
    Refused,
    /// The home VM is leaving and accepts no new keys.
    Leaving,
    /// The home VM already holds the maximum number of keys.
    Full,
    /// The key is empty or too long, or its token was issued too far in the future.
    Malformed,
}

/// End of a run, as reported by the scheduler and the dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The call ran; its encoded answer, which may be an error of the service.
    Answered(Arc<[u8]>),
    /// No byte of the call reached an endpoint, or the endpoint declined it.
    NotRun,
    /// The call may or may not have run.
    InDoubt,
}

/// State of a key at its home VM, as transferred to a successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: CallKey,
    /// Digest of the request.
    pub digest: u64,
    /// Outcome of the key.
    pub state: KeyOutcome,
    /// Calls whose callers were told that the key was not run; they must never run.
    pub voided: Vec<CallId>,
}

/// Outcome of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyOutcome {
    /// The key ran; its answer if that is stored.
    Answered(Option<Arc<[u8]>>),
    /// The key may or may not have run.
    InDoubt,
    /// The key has not run; a new call may run it.
    Void,
}

/// Transfer of a VM's keys to a successor; the successor is their home from then on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Succession {
    /// The VM that left.
    #[serde(rename = "of")]
    pub predecessor: Incarnation,
    /// The VM that took over its keys.
    #[serde(rename = "by")]
    pub successor: Incarnation,
    /// Issue minute, since the Unix epoch, below which the predecessor's keys are refused.
    pub floor: u64,
}

/// A message between the [`Core`](crate::Core)s of two VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeysMessage {
    /// A call for the receiver, which is the home VM or the claimant of its key.
    Forward(KeyedCall),
    /// Outcome of a forwarded call, to be passed to its caller.
    #[serde(rename = "told")]
    Outcome {
        /// The forwarded call.
        call: CallId,
        /// The outcome.
        #[serde(rename = "told")]
        outcome: CallOutcome,
    },
    /// One part of the sender's keys; the receiver stages it until the commit.
    Handover {
        /// Index of this part, from zero.
        part: u32,
        /// Number of parts.
        parts: u32,
        /// The keys of this part.
        records: Vec<Record>,
    },
    /// The sender has staged all parts.
    Staged,
    /// The receiver is the home of the sender's keys from now on.
    Commit {
        /// Issue minute, since the Unix epoch, below which the sender refused keys.
        floor: u64,
        /// Successions in which the sender is the successor.
        inherited: Vec<Succession>,
    },
    /// The sender has applied the receiver's commit.
    Committed,
    /// Successions that the sender knows of.
    Successions(Vec<Succession>),
}

/// An event for [`Core::handle`](crate::Core::handle).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A caller submitted a call to this VM.
    Submit(KeyedCall),
    /// A run requested by [`Output::Run`] has ended.
    Ended {
        /// The call that ran.
        call: CallId,
        /// Its end.
        end: RunEnd,
    },
    /// A message arrived over a link.
    Message {
        /// The sender.
        from: Incarnation,
        /// The message.
        message: KeysMessage,
    },
    /// A request to the platform was answered or failed.
    Reply {
        /// The request.
        id: RequestId,
        /// The reply, or the failure.
        reply: Reply,
    },
    /// The first link to a VM opened.
    Linked(Incarnation),
    /// The last link to a VM closed.
    Unlinked(Incarnation),
    /// This VM is leaving and must run no further keys.
    Leave,
    /// No call runs any more; hand the keys over to the first of these VMs that accepts them.
    HandOver(Vec<Incarnation>),
}

/// An action requested by [`Core`](crate::Core).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Run the call once through this VM's scheduler.
    Run(KeyedCall),
    /// Respond to a caller connected to this VM.
    Respond {
        /// The submitted call.
        call: CallId,
        /// Its outcome.
        outcome: CallOutcome,
    },
    /// Send a message over a link.
    Send {
        /// The receiver.
        to: Incarnation,
        /// The message.
        message: KeysMessage,
    },
    /// Send a request to the platform.
    Request {
        /// Identifier that the reply has to carry.
        id: RequestId,
        /// The request.
        request: Request,
    },
    /// The handover ended, with the successor if it confirmed; the process may exit.
    HandedOver(Option<Incarnation>),
}

/// Limits and timeouts of [`Core`](crate::Core).
#[derive(Clone, Debug, Builder)]
pub struct Settings {
    /// Age of a token up to which its keys are accepted, in minutes.
    #[builder(default = 120)]
    pub retention_minutes: u64,
    /// Maximum number of keys held at once.
    #[builder(default = 50_000)]
    pub max_keys: usize,
    /// Maximum size of all stored answers together, in bytes.
    #[builder(default = 16 << 20)]
    pub answer_budget_bytes: usize,
    /// Largest answer that is stored for repeats, in bytes.
    #[builder(default = 64 << 10)]
    pub answer_limit_bytes: usize,
    /// Time that a forwarded call waits for its outcome.
    #[builder(default = Duration::from_mins(10))]
    pub forward_timeout: Duration,
    /// Time that the platform may take to grant or void a claim.
    #[builder(default = Duration::from_secs(5))]
    pub claim_timeout: Duration,
    /// Time that a successor has for each of the two steps of a handover.
    #[builder(default = Duration::from_secs(2))]
    pub handover_timeout: Duration,
}

/// A claim stored in the platform; the value of `keys/<hash>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimObject {
    /// The VM that may run the key.
    pub claimant: Incarnation,
    /// Random number of the claim; identifies the claimant's own write if its reply was lost.
    pub nonce: u64,
    /// Digest of the request.
    pub digest: u64,
    /// Whether the key ran.
    pub state: ClaimState,
}

/// State of a claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The claimant may be running the key.
    Claimed,
    /// The key ran; its answer if that is stored.
    Answered(Option<Vec<u8>>),
    /// The key may or may not have run.
    InDoubt,
    /// The claimant did not run the key and released the claim.
    Void,
}

/// A claim read from the platform, with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoredClaim {
    pub(crate) version: Version,
    pub(crate) object: ClaimObject,
}

/// Gauges of [`Core`](crate::Core) for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Keys held by this VM.
    pub keys: usize,
    /// Size of the stored answers, in bytes.
    pub answer_bytes: usize,
    /// Calls that run now.
    pub running: usize,
    /// Forwarded calls that wait for their outcome.
    pub forwarded: usize,
}

impl CallKey {
    /// The token that names the home of the key, if the key starts with one.
    pub fn token(&self) -> Option<Token> {
        self.text.token()
    }
}
