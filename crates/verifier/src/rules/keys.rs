//! Bearer keys are hashes, and each belongs to one workspace.

use crate::{Code, Findings, finding::Spot};
use poplarswitch_objects::{KeyHash, Kind, ObjectSet};
use std::collections::BTreeMap;

/// Length of a SHA-256 in hexadecimal.
const HASH_CHARS: usize = 64;

pub(crate) fn check(set: &ObjectSet, findings: &mut Findings) {
    let mut owners: BTreeMap<&KeyHash, &str> = BTreeMap::new();
    for (index, workspace) in set.workspaces.iter().enumerate() {
        let name = workspace.name.as_str();
        let spot = Spot {
            kind: Kind::Workspace,
            index,
            name,
        };
        if workspace.keys.is_empty() {
            let message = "has no key, so no caller can use the workspace";
            findings.add(spot, Code::NoKey, "keys", message.to_owned());
        }
        for (item, hash) in workspace.keys.iter().enumerate() {
            let field = format!("keys[{item}]");
            if !well_formed(hash) {
                let message = "is no SHA-256 in lower-case hexadecimal, expected the hash that \
                    `poplarctl key` prints";
                findings.add(spot, Code::BadKeyHash, &field, message.to_owned());
                continue;
            }
            match owners.get(hash) {
                Some(other) if *other == name => {
                    let message = "stands twice, expected once".to_owned();
                    findings.add(spot, Code::RepeatedItem, &field, message);
                }
                Some(other) => {
                    let message = format!("workspace {other} has this key too, expected its own");
                    findings.add(spot, Code::SharedKey, &field, message);
                }
                None => {
                    owners.insert(hash, name);
                }
            }
        }
    }
}

fn well_formed(hash: &KeyHash) -> bool {
    hash.0.len() == HASH_CHARS
        && hash
            .0
            .bytes()
            .all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}
