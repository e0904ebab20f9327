//! Assembles a set from the blobs of one release.

use crate::{Blob, BlobHash, BlobRef, Manifest, join};
use poplarswitch_objects::ObjectSet;
use std::collections::BTreeMap;

/// The blobs of one release that are known so far.
#[derive(Clone, Debug)]
pub struct Assembly {
    root: BlobRef,
    manifest: Option<Manifest>,
    known: BTreeMap<BlobHash, Blob>,
}

impl Assembly {
    /// Creates an assembly of the release with this manifest from blobs that are already known.
    pub fn new(root: BlobRef, known: &BTreeMap<BlobHash, Blob>) -> Self {
        let mut assembly = Self {
            root,
            manifest: None,
            known: known.clone(),
        };
        assembly.parse_manifest();
        assembly
    }

    /// The blobs to fetch next: the manifest, then its parts; empty once all are known.
    pub fn missing(&self) -> Vec<BlobRef> {
        let Some(manifest) = &self.manifest else {
            let root = (!self.known.contains_key(&self.root.hash)).then_some(self.root);
            return root.into_iter().collect();
        };
        let mut missing: Vec<BlobRef> = manifest
            .parts
            .iter()
            .filter(|part| !self.known.contains_key(&part.hash))
            .copied()
            .collect();
        missing.sort();
        missing.dedup();
        missing
    }

    /// Adds a blob if it is one of the missing ones, and returns whether it was.
    pub fn add(&mut self, blob: Blob) -> bool {
        let hash = blob.hash();
        if !self.missing().iter().any(|blob| blob.hash == hash) {
            return false;
        }
        self.known.insert(hash, blob);
        self.parse_manifest();
        true
    }

    /// The set, once all blobs are known; an error if the manifest or a part does not parse.
    pub fn join(&self) -> Option<Result<ObjectSet, serde_json::Error>> {
        if !self.missing().is_empty() {
            return None;
        }
        let root = self.known.get(&self.root.hash)?;
        let manifest = match Manifest::parse(root) {
            Ok(manifest) => manifest,
            Err(error) => return Some(Err(error)),
        };
        let parts = manifest.parts.iter();
        Some(join(parts.filter_map(|part| self.known.get(&part.hash))))
    }

    /// The manifest, once it is known.
    pub fn manifest(&self) -> Option<&Manifest> {
        self.manifest.as_ref()
    }

    /// The blob with this hash, if it is known.
    pub fn blob(&self, hash: BlobHash) -> Option<&Blob> {
        self.known.get(&hash)
    }

    /// Switches to the release with this manifest and keeps all known blobs.
    #[must_use]
    pub fn retarget(self, root: BlobRef) -> Self {
        Self::new(root, &self.known)
    }

    /// The known blobs that belong to this release.
    pub fn into_blobs(mut self) -> BTreeMap<BlobHash, Blob> {
        let parts = self.manifest.iter().flat_map(|manifest| &manifest.parts);
        let wanted: Vec<BlobHash> = parts
            .map(|part| part.hash)
            .chain([self.root.hash])
            .collect();
        self.known.retain(|hash, _| wanted.contains(hash));
        self.known
    }

    fn parse_manifest(&mut self) {
        if self.manifest.is_none() {
            let root = self.known.get(&self.root.hash);
            self.manifest = root.and_then(|root| Manifest::parse(root).ok());
        }
    }
}
