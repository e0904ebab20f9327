//! Checks that a set has objects and that the set and its objects are not too large.
//!
//! Publication splits a set into many values of the platform, so a set may be larger than one
//! value; a single object may not.

use crate::{Code, Findings, finding::Subject};
use poplarswitch_objects::{Kind, ObjectSet};
use std::collections::BTreeMap;

/// Largest set, in bytes of JSON; each VM holds several copies of it in memory.
const MAX_SET_BYTES: usize = 8 << 20;

/// Largest object, in bytes of JSON; well below the platform's limit of 1 MiB for an encoded value.
const MAX_OBJECT_BYTES: usize = 256 << 10;

pub(crate) fn check(set: &ObjectSet, findings: &mut Findings) {
    if set.is_empty() {
        let message = "the set has no objects, expected classes, tiers, workspaces and endpoints";
        findings.add_for_set(Code::EmptySet, message.to_owned());
    }
    let mut total = 0;
    let mut next: BTreeMap<Kind, usize> = BTreeMap::new();
    for object in set.objects() {
        let index = next.entry(object.kind()).or_default();
        let bytes = serde_json::to_vec(&object).map_or(0, |text| text.len());
        total += bytes;
        if bytes > MAX_OBJECT_BYTES {
            let subject = Subject {
                kind: object.kind(),
                index: *index,
                name: object.name(),
            };
            let message = format!("has {bytes} bytes, expected at most {MAX_OBJECT_BYTES}");
            findings.add(subject, Code::TooLarge, "", message);
        }
        *index += 1;
    }
    if total > MAX_SET_BYTES {
        let message = format!("the set has {total} bytes, expected at most {MAX_SET_BYTES}");
        findings.add_for_set(Code::TooLarge, message);
    }
}
