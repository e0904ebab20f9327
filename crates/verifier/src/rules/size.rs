//! A set has objects and fits into the platform.
//!
//! Publication spreads a set over many values, so a set may be larger than one value; one
//! object may not.

use crate::{Code, Findings, finding::Spot};
use poplarswitch_objects::{Kind, ObjectSet};
use std::collections::BTreeMap;

/// Largest set, in bytes of its JSON form; each VM holds it in memory a few times over.
const MAX_SET_BYTES: usize = 8 << 20;

/// Largest object, in bytes of its JSON form; well within the platform's 1 MB for a value.
const MAX_OBJECT_BYTES: usize = 256 << 10;

pub(crate) fn check(set: &ObjectSet, findings: &mut Findings) {
    if set.is_empty() {
        let message = "the set has no object, expected classes, tiers, workspaces and endpoints";
        findings.add_of_set(Code::EmptySet, message.to_owned());
    }
    let mut total = 0;
    let mut next: BTreeMap<Kind, usize> = BTreeMap::new();
    for object in set.objects() {
        let index = next.entry(object.kind()).or_default();
        let bytes = serde_json::to_vec(&object).map_or(0, |text| text.len());
        total += bytes;
        if bytes > MAX_OBJECT_BYTES {
            let spot = Spot {
                kind: object.kind(),
                index: *index,
                name: object.name(),
            };
            let message = format!("has {bytes} bytes, expected at most {MAX_OBJECT_BYTES}");
            findings.add(spot, Code::TooLarge, "", message);
        }
        *index += 1;
    }
    if total > MAX_SET_BYTES {
        let message = format!("the set has {total} bytes, expected at most {MAX_SET_BYTES}");
        findings.add_of_set(Code::TooLarge, message);
    }
}
