//! Publication of checked sets and their distribution to all VMs.
//!
//! A set is stored as content-addressed parts and a manifest that lists them; one head object in
//! the platform refers to the current manifest. [`Publisher`] replaces the head by a conditional
//! update that succeeds only if the head is still the one that the set was checked against.
//! [`Follower`] puts the newest release into force on a VM: it watches the head, receives
//! announcements of releases from peers, fetches parts from peers before it asks the platform,
//! and moves only to higher generations.

mod api;
mod assembly;
mod blob;
mod conflict;
mod content;
mod fetch;
mod follower;
mod mutation;
mod plan;
mod publisher;
mod reader;
mod release;
mod watch;

#[cfg(test)]
mod content_tests;
#[cfg(test)]
mod follower_tests;
#[cfg(test)]
mod publisher_tests;

pub use api::{
    ActiveSet, Change, ChangeKind, Check, Draft, Input, Outcome, Output, PublishMessage,
    PublisherInput, PublisherOutput, RefuseReason, Refused, Settings, Snapshot, Status, Verify,
};
pub use assembly::Assembly;
pub use blob::{BadHash, Blob, BlobHash, BlobRef};
pub use content::{Content, Manifest, canonical, changes, join};
pub use follower::Follower;
pub use mutation::Mutation;
pub use publisher::Publisher;
pub use reader::{ReadError, ReadOutcome, Reader};
pub use release::{HISTORY_LEN, Head, PROGRAM_VERSION, PastRelease, Release, head_key};
