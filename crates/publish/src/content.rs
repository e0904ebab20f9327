//! Splits a set into blobs and puts it together again.
//!
//! A set at full size is larger than the platform's values and changes all day, one object at
//! a time. Its objects are spread over parts by a hash of their names, so that a change
//! rewrites one part and the list of parts, and a VM fetches no more than these.

use crate::{Blob, BlobHash, BlobRef, Change, ChangeKind};
use poplarswitch_objects::{Object, ObjectSet};
use poplarswitch_store::MAX_VALUE_BYTES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Size of a part that the number of parts aims at.
const TARGET_PART_BYTES: usize = 8 * 1024;
/// Most parts of one set.
const MAX_PARTS: usize = 256;

/// The list of a set's parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The parts, in order.
    pub parts: Vec<BlobRef>,
}

impl Manifest {
    /// Reads a manifest.
    pub fn parse(blob: &Blob) -> Result<Self, serde_json::Error> {
        serde_json::from_str(&blob.0)
    }
}

/// A set as blobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Content {
    /// The list of parts.
    pub manifest: Manifest,
    /// Where the manifest goes.
    pub root: BlobRef,
    /// All blobs, the manifest last.
    pub blobs: BTreeMap<BlobHash, Blob>,
}

impl Content {
    /// Splits a set; parts that the parent already has keep their place.
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

    /// The largest blob, in bytes.
    pub fn max_blob_bytes(&self) -> usize {
        self.blobs
            .values()
            .map(|blob| blob.0.len())
            .max()
            .unwrap_or_default()
    }

    /// Whether every blob fits into a value of the platform.
    pub fn fits(&self) -> bool {
        self.max_blob_bytes() <= MAX_VALUE_BYTES
    }

    /// Blobs that a publication with this nonce has to write, the manifest last.
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

/// Puts a set together from its parts.
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

/// Sorts the objects of each kind by name.
pub fn canonical(mut set: ObjectSet) -> ObjectSet {
    set.classes.sort_by(|a, b| a.name.cmp(&b.name));
    set.tiers.sort_by(|a, b| a.name.cmp(&b.name));
    set.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
    set.models.sort_by(|a, b| a.name.cmp(&b.name));
    set.services.sort_by(|a, b| a.name.cmp(&b.name));
    set.endpoints.sort_by(|a, b| a.name.cmp(&b.name));
    set
}

/// The objects in which two sets differ.
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

type ObjectKey = (&'static str, String);

fn change(key: &ObjectKey, change: ChangeKind) -> Change {
    Change {
        kind: key.0.to_owned(),
        name: key.1.clone(),
        change,
    }
}

fn part_ref(hash: BlobHash, nonce: u64, parent: Option<&Manifest>) -> BlobRef {
    parent
        .and_then(|parent| parent.parts.iter().find(|part| part.hash == hash))
        .copied()
        .unwrap_or(BlobRef { hash, nonce })
}

fn part_index(kind: &str, name: &str, count: usize) -> usize {
    let digest = BlobHash::of(format!("{kind}/{name}").as_bytes());
    digest.first_byte() as usize % count
}

fn object_texts(set: &ObjectSet) -> BTreeMap<ObjectKey, String> {
    let entry = |object: Object| {
        let key = (object.kind().as_str(), object.name().to_owned());
        let text = serde_json::to_string(&object).unwrap_or_default();
        (key, text)
    };
    set.objects().map(entry).collect()
}
