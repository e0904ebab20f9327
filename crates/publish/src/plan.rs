//! The writes of a publication, derived from the head that it replaces.

use crate::{
    BlobRef, Content, Draft, Head, PastRelease, ReadOutcome, Release, release::HISTORY_LEN,
};
use poplarswitch_entity::Generation;
use poplarswitch_objects::ObjectSet;
use poplarswitch_store::{Precondition, Version};
use std::sync::Arc;

/// The writes of a publication and the parent that the set was checked against.
#[derive(Debug)]
pub(crate) struct Plan {
    /// The version of the head to replace and its current release; none before the first head.
    pub(crate) base: Option<(Version, Release)>,
    /// The set that the base refers to.
    pub(crate) parent: ObjectSet,
    /// The new head.
    pub(crate) head: Head,
    /// New blobs that have not been sent to the platform yet.
    pub(crate) unwritten: Vec<BlobRef>,
    pub(crate) content: Content,
    /// Blobs to delete once the new head is accepted, because the head's history no longer
    /// refers to them.
    pub(crate) unreferenced: Vec<BlobRef>,
}

impl Plan {
    pub(crate) fn precondition(&self) -> Precondition {
        self.base
            .as_ref()
            .map_or(Precondition::Absent, |(version, _)| {
                Precondition::Matches(*version)
            })
    }

    pub(crate) fn bytes(&self, blob: BlobRef) -> Arc<[u8]> {
        let blob = self.content.blobs.get(&blob.hash);
        blob.map(|blob| blob.0.as_bytes().into())
            .unwrap_or_default()
    }
}

/// The head that replaces the one read, and the blobs that no release in it refers to any more.
pub(crate) fn next_head(
    draft: &Draft,
    content: &Content,
    read: &ReadOutcome,
) -> (Head, Vec<BlobRef>) {
    let old = read.snapshot.as_ref().map(|snapshot| &snapshot.head);
    let generation = old.map_or(Generation(1), |head| head.current.generation.next());
    let current = Release {
        generation,
        manifest: content.root,
        parent: old.map(|head| head.current.manifest),
        author: draft.author.clone(),
        note: draft.note.clone(),
        min_program: draft.min_program,
        nonce: draft.nonce,
    };
    let mut history: Vec<PastRelease> = Vec::new();
    if let Some(old) = old {
        let parts = read.manifest.iter().flat_map(|manifest| &manifest.parts);
        let mut unused: Vec<BlobRef> = parts
            .chain([&old.current.manifest])
            .filter(|blob| !content.manifest.parts.contains(blob))
            .copied()
            .collect();
        unused.sort();
        unused.dedup();
        let release = old.current.clone();
        history.push(PastRelease { release, unused });
        history.extend(old.history.iter().cloned());
    }
    let removed = history.split_off(history.len().min(HISTORY_LEN));
    let unreferenced = removed.into_iter().flat_map(|past| past.unused).collect();
    (Head { current, history }, unreferenced)
}
