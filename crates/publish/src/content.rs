//! Splits a set into blobs and joins it again.
//!
//! A set at full size is larger than one value of the platform, and it changes often, one object
//! at a time. Objects are assigned to parts by a hash of their kind and name, so that a change of
//! one object rewrites only its part and the manifest, and a VM fetches only these two blobs.

use crate::{Blob, BlobHash, BlobRef, Change, ChangeKind};
use poplarswitch_objects::{Object, ObjectSet};
use poplarswitch_store::MAX_VALUE_BYTES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Average size of a part from which the number of parts is computed.
const TARGET_PART_BYTES: usize = 8 * 1024;
/// Largest number of parts of one set; part indices come from one byte of a hash.
const MAX_PARTS: usize = 256;

/// The list of the parts of a set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The parts, in order of their index.
    pub parts: Vec<BlobRef>,
}

impl Manifest {
    /// Parses a manifest blob; an error if it is not the JSON of a manifest.
    pub fn parse(blob: &Blob) -> Result<Self, serde_json::Error> {
        serde_json::from_str(&blob.0)
    }
}

/// A set split into blobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Content {
    /// The list of parts.
    pub manifest: Manifest,
    /// The reference to the manifest's own blob.
    pub root: BlobRef,
    /// All blobs by hash: the parts and the manifest.
    pub blobs: BTreeMap<BlobHash, Blob>,
}

impl Content {
    /// Splits a set; parts that equal one of the parent's reuse the parent's blob.
    pub fn split(set: &ObjectSet, nonce: u64, parent: Option<&Manifest>) -> Self {
        let objects = object_texts(set);
        let bytes: usize = objects.values().map(String::len).sum();
        let count = (bytes / TARGET_PART_BYTES)
            .next_power_of_two()
            .clamp(1, MAX_PARTS);
        let mut texts = vec![Vec::new(); count];
        for ((kind, name), text) in &objects {
            texts[part_index(kind, name, count)].push(text.as_str());
        }
        let mut blobs = BTreeMap::new();
        let mut parts = Vec::new();
        for part in &texts {
            let blob = Blob(format!("[{}]", part.join(",")).into());
            let hash = blob.hash();
            parts.push(part_ref(hash, nonce, parent));
            blobs.insert(hash, blob);
        }
        let manifest = Manifest { parts };
        let text = serde_json::to_string(&manifest).unwrap_or_default();
        let blob = Blob(text.into());
        let hash = blob.hash();
        blobs.insert(hash, blob);
        let root = BlobRef { hash, nonce };
        Self {
            manifest,
            root,
            blobs,
        }
    }

    /// The size of the largest blob, in bytes.
    pub fn max_blob_bytes(&self) -> usize {
        self.blobs
            .values()
            .map(|blob| blob.0.len())
            .max()
            .unwrap_or_default()
    }

    /// Whether every blob fits into one value of the platform.
    pub fn fits(&self) -> bool {
        self.max_blob_bytes() <= MAX_VALUE_BYTES
    }

    /// The blobs that the publication with this nonce has to write, the manifest last.
    pub fn new_refs(&self, nonce: u64) -> Vec<BlobRef> {
        let mut refs: Vec<BlobRef> = self
            .manifest
            .parts
            .iter()
            .filter(|part| part.nonce == nonce)
            .copied()
            .collect();
        refs.sort();
        refs.dedup();
        refs.push(self.root);
        refs
    }
}

/// Joins the parts of a set; an error if a part does not parse.
pub fn join<'a>(parts: impl Iterator<Item = &'a Blob>) -> Result<ObjectSet, serde_json::Error> {
    let mut set = ObjectSet::default();
    for blob in parts {
        let objects: Vec<Object> = serde_json::from_str(&blob.0)?;
        for object in objects {
            set.push(object);
        }
    }
    Ok(canonical(set))
}

/// Returns the set with the objects of each kind sorted by name.
pub fn canonical(mut set: ObjectSet) -> ObjectSet {
    set.classes.sort_by(|a, b| a.name.cmp(&b.name));
    set.tiers.sort_by(|a, b| a.name.cmp(&b.name));
    set.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
    set.models.sort_by(|a, b| a.name.cmp(&b.name));
    set.services.sort_by(|a, b| a.name.cmp(&b.name));
    set.endpoints.sort_by(|a, b| a.name.cmp(&b.name));
    set
}

/// The objects that differ between two sets, sorted by kind and name.
pub fn changes(old: &ObjectSet, new: &ObjectSet) -> Vec<Change> {
    let old = object_texts(old);
    let new = object_texts(new);
    let mut changes: Vec<Change> = old
        .iter()
        .filter_map(|(key, text)| match new.get(key) {
            None => Some(change(key, ChangeKind::Removed)),
            Some(other) if other != text => Some(change(key, ChangeKind::Altered)),
            Some(_) => None,
        })
        .collect();
    let added = new.keys().filter(|key| !old.contains_key(*key));
    changes.extend(added.map(|key| change(key, ChangeKind::Added)));
    changes.sort();
    changes
}

/// The kind and the name of an object.
type ObjectKey = (&'static str, String);

fn change(key: &ObjectKey, change: ChangeKind) -> Change {
    Change {
        kind: key.0.to_owned(),
        name: key.1.clone(),
        change,
    }
}

/// The parent's blob with this hash, or else a new blob of the publication with this nonce.
fn part_ref(hash: BlobHash, nonce: u64, parent: Option<&Manifest>) -> BlobRef {
    parent
        .and_then(|parent| parent.parts.iter().find(|part| part.hash == hash))
        .copied()
        .unwrap_or(BlobRef { hash, nonce })
}

/// The index of the part that holds an object.
fn part_index(kind: &str, name: &str, count: usize) -> usize {
    let digest = BlobHash::of(format!("{kind}/{name}").as_bytes());
    digest.first_byte() as usize % count
}

/// The JSON text of each object of a set.
fn object_texts(set: &ObjectSet) -> BTreeMap<ObjectKey, String> {
    let entry = |object: Object| {
        let key = (object.kind().as_str(), object.name().to_owned());
        let text = serde_json::to_string(&object).unwrap_or_default();
        (key, text)
    };
    set.objects().map(entry).collect()
}
