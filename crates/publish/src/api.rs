//! Peer messages, settings, and the inputs and outputs of the follower and the publisher.

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
    /// Announcement that the sender holds every blob of this release.
    Holds(Release),
    /// Request for an announcement of any release above this generation, the sender's newest.
    Ask(Generation),
    /// Request for blobs.
    Fetch(Vec<BlobHash>),
    /// Requested blobs, as many as fit into one message.
    Blobs(Vec<Blob>),
    /// Requested blobs of which the sender holds none.
    Missing(Vec<BlobHash>),
}

/// The set in force on a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveSet {
    /// The release whose content the set is.
    pub release: Release,
    /// The objects of the set.
    pub set: Arc<ObjectSet>,
}

/// Why a VM refuses to put a release into force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(rename_all = "snake_case")]
pub enum RefuseReason {
    /// The set requires a newer program version.
    #[snafu(display("the set requires program version {needs}, but this VM runs version {has}"))]
    TooNew {
        /// The oldest program version that understands the set.
        needs: u32,
        /// The program version of this VM.
        has: u32,
    },
    /// A part of the set does not parse.
    #[snafu(display("the set does not parse: {message}"))]
    Unparsable {
        /// The parser's message.
        message: String,
    },
    /// The set parses, but this VM cannot use it.
    #[snafu(display("the set cannot be used on this VM: {message}"))]
    Unusable {
        /// The message of the VM's check.
        message: String,
    },
}

/// A release that a VM refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The refused release.
    pub release: Release,
    /// Why the VM refused it.
    pub reason: RefuseReason,
}

/// The configuration status that a VM reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The release in force.
    pub active: Option<Release>,
    /// The generation of the newest release that the head or a peer announced.
    pub newest: Option<Generation>,
    /// The release refused since the last activation, if any.
    pub refused: Option<Refused>,
    /// Whether the last watch of the head was answered.
    pub platform_up: bool,
    /// The head's generation if it is below the one in force, which an operator has to resolve.
    pub head_behind: Option<Generation>,
}

/// An input of a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A message arrived over a link.
    Message {
        /// The sender.
        from: Incarnation,
        /// The message.
        message: PublishMessage,
    },
    /// A platform request ended, with or without an answer.
    Reply {
        /// The request.
        id: RequestId,
        /// The answer, or why there is none.
        reply: Reply,
    },
    /// The first link to a peer opened.
    Linked(Incarnation),
    /// The last link to a peer closed.
    Unlinked(Incarnation),
}

/// An action that a follower requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message over a link.
    Send {
        /// The receiver.
        to: Incarnation,
        /// The message.
        message: PublishMessage,
    },
    /// Send a request to the platform.
    Request {
        /// The ID that the reply has to carry.
        id: RequestId,
        /// The request.
        request: Request,
    },
    /// Put a set into force.
    Activate(ActiveSet),
    /// Report a refused release.
    Refuse(Refused),
}

/// Checks whether this VM can use a set that parses; the error says why not.
pub type Check = fn(&ObjectSet) -> Result<(), String>;

/// Periods and limits of a follower.
#[derive(Clone, Debug, Builder)]
pub struct Settings {
    /// Longest duration of one watch; each is shortened at random by up to a quarter.
    #[builder(default = Duration::from_mins(1))]
    pub watch_timeout: Duration,
    /// Longest delay of the first blob request to the platform, so that peers are asked first.
    ///
    /// It also bounds how long the first set waits for an answer about the head.
    #[builder(default = Duration::from_millis(1_500))]
    pub platform_delay: Duration,
    /// Timeout of a blob request to a peer.
    #[builder(default = Duration::from_secs(1))]
    pub peer_timeout: Duration,
    /// Timeout of a blob request to the platform.
    #[builder(default = Duration::from_secs(3))]
    pub read_timeout: Duration,
    /// Interval at which the follower asks a random peer for a newer release.
    #[builder(default = Duration::from_secs(5))]
    pub sync_interval: Duration,
    /// Initial backoff after a failed platform request; watches double it up to `max_backoff`.
    #[builder(default = Duration::from_millis(250))]
    pub min_backoff: Duration,
    /// Longest backoff after a failed watch.
    #[builder(default = Duration::from_secs(8))]
    pub max_backoff: Duration,
    /// The program version of this VM.
    #[builder(default = crate::PROGRAM_VERSION)]
    pub program_version: u32,
}

/// A publication as an operator requests it.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct Draft {
    /// The whole set.
    pub set: ObjectSet,
    /// The operator who publishes the set.
    #[builder(into)]
    pub author: String,
    /// The operator's reason for the change.
    #[builder(into, default)]
    pub note: String,
    /// Random number that identifies this publication after a lost answer.
    pub nonce: u64,
    /// The generation that the operator edited; the current one if not given.
    pub base: Option<Generation>,
    /// The oldest program version that understands the set.
    #[builder(default = crate::PROGRAM_VERSION)]
    pub min_program: u32,
    /// Time after which the publication ends with whatever outcome is known.
    #[builder(default = Duration::from_mins(1))]
    pub timeout: Duration,
}

/// Difference of an object between two sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// Only the new set has the object.
    Added,
    /// Only the old set has the object.
    Removed,
    /// Both sets have the object, with different content.
    Altered,
}

/// An object that differs between two sets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Change {
    /// The kind of the object, as in its JSON form.
    pub kind: String,
    /// The name of the object.
    pub name: String,
    /// The difference.
    pub change: ChangeKind,
}

/// The outcome of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The set became the current one; later publications may have replaced it since.
    Accepted(Release),
    /// The set equals the current one; nothing was written.
    Unchanged(Option<Release>),
    /// Another publication replaced the base first; this one has not and will not take effect.
    Conflict {
        /// The release that replaced the base.
        theirs: Release,
        /// The objects changed since the base; empty if the content could not be read.
        changed: Vec<Change>,
    },
    /// The set has errors; nothing was written.
    Invalid(Vec<String>),
    /// A blob of the set exceeds the size limit of the platform; nothing was written.
    TooLarge {
        /// The size of the largest blob in bytes.
        bytes: usize,
        /// The largest size that the platform stores, in bytes.
        limit: usize,
    },
    /// The head or the current set in the platform is missing or does not parse.
    BadHead(String),
    /// The platform could not be reached within the timeout; the set will not take effect.
    Unavailable,
    /// The publication may still take effect; publishing again with its nonce shows the outcome.
    Undecided {
        /// The nonce of the publication.
        nonce: u64,
    },
}

/// An input of a publisher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherInput {
    /// Start the publication.
    Start,
    /// A platform request ended, with or without an answer.
    Reply {
        /// The request.
        id: RequestId,
        /// The answer, or why there is none.
        reply: Reply,
    },
}

/// An action that a publisher requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherOutput {
    /// Send a request to the platform.
    Request {
        /// The ID that the reply has to carry.
        id: RequestId,
        /// The request.
        request: Request,
    },
    /// Report the outcome of the publication.
    Finished(Outcome),
}

/// Checks a new set against the set that it replaces, if any, and returns all errors.
pub type Verify = Box<dyn Fn(Option<&ObjectSet>, &ObjectSet) -> Vec<String> + Send>;

/// The head and the current set, read from the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The head.
    pub head: Head,
    /// The set of the head's current release.
    pub set: ObjectSet,
}
