//! Releases, messages between VMs, and the inputs and outputs of both state machines.

use crate::{Blob, BlobHash, Head, Release};
use bon::Builder;
use core::time::Duration;
use poplarswitch_entity::{Generation, Incarnation};
use poplarswitch_objects::ObjectSet;
use poplarswitch_store::{Reply, Request, RequestId};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::sync::Arc;

/// A message between the followers of two VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PublishMessage {
    /// The sender holds all of this release.
    Holds(Release),
    /// The sender has no newer release and asks for one.
    Ask(Generation),
    /// The sender asks for blobs.
    Fetch(Vec<BlobHash>),
    /// Blobs that were asked for.
    Blobs(Vec<Blob>),
    /// Blobs that were asked for and that the sender does not hold.
    Missing(Vec<BlobHash>),
}

/// A set in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveSet {
    /// The release that it came with.
    pub release: Release,
    /// The objects.
    pub set: Arc<ObjectSet>,
}

/// Why a VM keeps a release out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(rename_all = "snake_case")]
pub enum RefuseReason {
    /// The set needs a newer program.
    #[snafu(display("the set needs program version {needs}, this is {has}"))]
    TooNew {
        /// The version that it needs.
        needs: u32,
        /// The version of this program.
        has: u32,
    },
    /// A part of the set does not parse.
    #[snafu(display("the set does not parse: {message}"))]
    Unparsable {
        /// The parser's message.
        message: String,
    },
    /// The set parses, but the VM cannot use it.
    #[snafu(display("the set cannot be used: {message}"))]
    Unusable {
        /// The check's message.
        message: String,
    },
}

/// A release that a VM keeps out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The release.
    pub release: Release,
    /// Why.
    pub reason: RefuseReason,
}

/// What a VM says of its configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The release in force.
    pub active: Option<Release>,
    /// The newest release heard of.
    pub newest: Option<Generation>,
    /// A newer release that is kept out.
    pub refused: Option<Refused>,
    /// Whether the last word of the platform was an answer.
    pub platform_up: bool,
    /// A head in the platform below the release in force; it needs an operator.
    pub head_behind: Option<Generation>,
}

/// What a follower reacts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A message came over a link.
    Message {
        /// The sender.
        from: Incarnation,
        /// What it says.
        message: PublishMessage,
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
}

/// What a follower orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message over a link.
    Send {
        /// The receiver.
        to: Incarnation,
        /// What to say.
        message: PublishMessage,
    },
    /// Ask the platform.
    Request {
        /// Pairs it with its reply.
        id: RequestId,
        /// What to ask.
        request: Request,
    },
    /// Put a set into force.
    Activate(ActiveSet),
    /// A release was kept out.
    Refuse(Refused),
}

/// Checks whether this VM can use a set that parses.
pub type Check = fn(&ObjectSet) -> Result<(), String>;

/// Periods and bounds of a follower.
#[derive(Clone, Debug, Builder)]
pub struct Settings {
    /// Longest wait of one watch; each is shortened at random by up to a quarter.
    #[builder(default = Duration::from_mins(1))]
    pub watch_timeout: Duration,
    /// Time left to peers before the platform is asked for content.
    #[builder(default = Duration::from_millis(1_500))]
    pub platform_delay: Duration,
    /// Time after which a fetch from a peer counts as lost.
    #[builder(default = Duration::from_secs(1))]
    pub peer_timeout: Duration,
    /// Time after which a read counts as lost.
    #[builder(default = Duration::from_secs(3))]
    pub read_timeout: Duration,
    /// Time between two comparisons with a random peer.
    #[builder(default = Duration::from_secs(5))]
    pub sync_interval: Duration,
    /// Shortest wait after a failed request; doubles up to `max_backoff`.
    #[builder(default = Duration::from_millis(250))]
    pub min_backoff: Duration,
    /// Longest wait after a failed request.
    #[builder(default = Duration::from_secs(8))]
    pub max_backoff: Duration,
    /// The version of this program.
    #[builder(default = crate::PROGRAM_VERSION)]
    pub program_version: u32,
}

/// What an operator wants to publish.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct Draft {
    /// The whole set.
    pub set: ObjectSet,
    /// Who publishes.
    #[builder(into)]
    pub author: String,
    /// Why.
    #[builder(into, default)]
    pub note: String,
    /// Drawn at random; recognises this publication after a lost answer.
    pub nonce: u64,
    /// The generation that the operator started from; the current one if not given.
    pub base: Option<Generation>,
    /// The oldest program that understands the set.
    #[builder(default = crate::PROGRAM_VERSION)]
    pub min_program: u32,
    /// Time after which an undecided publication is given up.
    #[builder(default = Duration::from_mins(1))]
    pub timeout: Duration,
}

/// Whether an object was added, removed or altered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// It is new.
    Added,
    /// It is no longer there.
    Removed,
    /// It differs.
    Altered,
}

/// One object in which two sets differ.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Change {
    /// The kind of object, as in its JSON form.
    pub kind: String,
    /// Its name.
    pub name: String,
    /// In which way it differs.
    pub change: ChangeKind,
}

/// How a publication ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is the current set, or was followed by others.
    Accepted(Release),
    /// The set equals the current one; nothing was written.
    Unchanged(Option<Release>),
    /// Another publication came first; nothing of this one is in force.
    Conflict {
        /// The release that came first.
        theirs: Release,
        /// What it changed, if its content could be read.
        changed: Vec<Change>,
    },
    /// The set has errors; nothing was written.
    Invalid(Vec<String>),
    /// The set is larger than can be published.
    TooLarge {
        /// Its size in bytes.
        bytes: usize,
        /// The largest size in bytes.
        limit: usize,
    },
    /// The head in the platform does not parse.
    BadHead(String),
    /// The platform stayed out of reach before anything could take effect.
    Unavailable,
    /// The publication may yet take effect; ask again by its nonce.
    Undecided {
        /// Its nonce.
        nonce: u64,
    },
}

/// What a publisher reacts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherInput {
    /// Begin.
    Start,
    /// The platform answered, or did not.
    Reply {
        /// The request that it answers.
        id: RequestId,
        /// The answer.
        reply: Reply,
    },
}

/// What a publisher orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherOutput {
    /// Ask the platform.
    Request {
        /// Pairs it with its reply.
        id: RequestId,
        /// What to ask.
        request: Request,
    },
    /// The publication ended.
    Finished(Outcome),
}

/// Checks a set against the set that it replaces; says every error.
pub type Verify = Box<dyn Fn(Option<&ObjectSet>, &ObjectSet) -> Vec<String> + Send>;

/// The read side of an operator's tool: the head and a whole set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The head.
    pub head: Head,
    /// The set that it names.
    pub set: ObjectSet,
}
