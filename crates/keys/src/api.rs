//! Calls, messages between VMs, and the core's inputs and outputs.

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
    /// Whose key.
    pub workspace: WorkspaceName,
    /// The text of the caller's header.
    pub text: KeyText,
}

/// A call that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedCall {
    /// The call, unique for each arrival at a VM.
    pub call: CallId,
    /// Its key.
    pub key: CallKey,
    /// A digest of what it asks for; a key never stands for two requests.
    pub digest: u64,
    /// The request as the caller's port encoded it.
    pub payload: Arc<[u8]>,
}

/// What a caller is told about a keyed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The answer, of this run or an earlier one with the key.
    Answer(Arc<[u8]>),
    /// It ran once, and its answer is no longer kept.
    Ran,
    /// No call with this key has run, nor will it unless the caller repeats it.
    NotRun(NotRunReason),
    /// This call did not run; whether an earlier one with the key did is not known.
    NotRunHere,
    /// It may or may not have run.
    InDoubt,
    /// The key was used for another request.
    Mismatch,
}

/// Why a keyed call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The scheduler refused it, or no endpoint took it.
    Refused,
    /// The home is leaving and takes no new keys.
    Leaving,
    /// The home has no room for another key.
    Full,
    /// The key is malformed or too long.
    Malformed,
}

/// How a run ended, as the scheduler and the dispatch saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// It ran to its end; the encoded answer may also say that the service failed.
    Answered(Arc<[u8]>),
    /// No byte of it reached an endpoint, or the endpoint declined it.
    NotRun,
    /// It may or may not have run.
    InDoubt,
}

/// What a home remembers of a key, in the form that a successor takes over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: CallKey,
    /// A digest of its request.
    pub digest: u64,
    /// What became of it.
    pub state: KeyOutcome,
    /// Calls that were told that the key was not run; they must never run.
    pub voided: Vec<CallId>,
}

/// What became of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyOutcome {
    /// It ran, with its answer if that is kept.
    Answered(Option<Arc<[u8]>>),
    /// It may or may not have run.
    InDoubt,
    /// It has not run and may be claimed again.
    Void,
}

/// A VM that answers for the keys of another that has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Succession {
    /// The VM that has left.
    #[serde(rename = "of")]
    pub predecessor: Incarnation,
    /// The VM that took over its keys.
    #[serde(rename = "by")]
    pub successor: Incarnation,
    /// The issue minute below which keys of the former are refused.
    pub floor: u64,
}

/// A message between the cores of two VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeysMessage {
    /// A call for the receiver, which is the home of its key.
    Forward(KeyedCall),
    /// What to tell the caller of a forwarded call.
    #[serde(rename = "told")]
    Outcome {
        /// The call.
        call: CallId,
        /// What to tell.
        #[serde(rename = "told")]
        outcome: CallOutcome,
    },
    /// Some of the sender's keys; the receiver keeps them aside.
    Handover {
        /// Counts the parts, from zero.
        part: u32,
        /// The number of parts.
        parts: u32,
        /// The keys.
        records: Vec<Record>,
    },
    /// All parts have arrived.
    Staged,
    /// The receiver answers for the sender's keys from now on.
    Commit {
        /// The issue minute below which the sender refused keys.
        floor: u64,
        /// VMs that the sender answers for in their turn.
        inherited: Vec<Succession>,
    },
    /// The receiver's commit is known.
    Committed,
    /// Who answers for whom.
    Successions(Vec<Succession>),
}

/// Everything that the core reacts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A caller's call arrived at this VM.
    Submit(KeyedCall),
    /// A run that the core ordered has ended.
    Ended {
        /// The call.
        call: CallId,
        /// How it ended.
        end: RunEnd,
    },
    /// A message came over a link.
    Message {
        /// The sender.
        from: Incarnation,
        /// What it says.
        message: KeysMessage,
    },
    /// The platform answered, or did not.
    Reply {
        /// The request that it answers.
        id: RequestId,
        /// The answer.
        reply: Reply,
    },
    /// A link opened.
    Linked(Incarnation),
    /// A link broke.
    Unlinked(Incarnation),
    /// This VM leaves: it claims no more keys.
    Leave,
    /// Nothing runs any more; hand the keys over to the first of these that takes them.
    HandOver(Vec<Incarnation>),
}

/// Everything that the core orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Run the call through this VM's scheduler, once.
    Run(KeyedCall),
    /// Tell the caller of a call that arrived at this VM.
    Respond {
        /// The call.
        call: CallId,
        /// What to tell.
        outcome: CallOutcome,
    },
    /// Send a message over a link.
    Send {
        /// The receiver.
        to: Incarnation,
        /// What to say.
        message: KeysMessage,
    },
    /// Ask the platform.
    Request {
        /// Pairs it with its reply.
        id: RequestId,
        /// What to ask.
        request: Request,
    },
    /// The keys are handed over, or nobody takes them; the process may exit.
    HandedOver(Option<Incarnation>),
}

/// Bounds of the core.
#[derive(Clone, Debug, Builder)]
pub struct Settings {
    /// Age of a token up to which its keys are taken, in minutes.
    #[builder(default = 120)]
    pub retention_min: u64,
    /// Keys held at once.
    #[builder(default = 50_000)]
    pub max_keys: usize,
    /// Bytes of answers held at once.
    #[builder(default = 16 << 20)]
    pub answer_budget_bytes: usize,
    /// Largest answer that is kept for a repeat.
    #[builder(default = 64 << 10)]
    pub answer_limit_bytes: usize,
    /// Time that a forwarded call waits for its answer.
    #[builder(default = Duration::from_mins(10))]
    pub forward_timeout: Duration,
    /// Time that a claim in the platform may take.
    #[builder(default = Duration::from_secs(5))]
    pub claim_timeout: Duration,
    /// Time that one successor has for taking over.
    #[builder(default = Duration::from_secs(2))]
    pub handover_timeout: Duration,
}

/// What a claim in the platform says; the value of `keys/<hash>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimObject {
    /// The VM that may run the key.
    pub claimant: Incarnation,
    /// Drawn for each claim; recognises it after a lost answer.
    pub nonce: u64,
    /// A digest of its request.
    pub digest: u64,
    /// Whether it ran.
    pub state: ClaimState,
}

/// Whether a claimed key ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The claimant may be running it.
    Claimed,
    /// It ran, with its answer if that is kept.
    Answered(Option<Vec<u8>>),
    /// It may or may not have run.
    InDoubt,
    /// The claimant has not run it and gave the claim up.
    Void,
}

/// A claim as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoredClaim {
    pub(crate) version: Version,
    pub(crate) object: ClaimObject,
}

/// Numbers for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Keys held.
    pub keys: usize,
    /// Bytes of answers held.
    pub answer_bytes: usize,
    /// Runs in flight.
    pub running: usize,
    /// Forwarded calls that wait for their answer.
    pub forwarded: usize,
}

impl CallKey {
    /// The token that names its home, if it has one.
    pub fn token(&self) -> Option<Token> {
        self.text.token()
    }
}
