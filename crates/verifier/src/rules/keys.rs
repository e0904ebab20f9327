//! Checks that the key hashes of workspaces are well formed and that each belongs to one
//! workspace.

use crate::{Code, Findings, finding::Subject};
use poplarswitch_objects::{KeyHash, Kind, ObjectSet};
use std::collections::BTreeMap;

/// Length of a SHA-256 hash in hexadecimal.
const HASH_CHARS: usize = 64;

pub(crate) fn check(set: &ObjectSet, findings: &mut Findings) {
    let mut workspaces_by_key: BTreeMap<&KeyHash, &str> = BTreeMap::new();
    for (index, workspace) in set.workspaces.iter().enumerate() {
        let name = workspace.name.as_str();
        let subject = Subject {
            kind: Kind::Workspace,
            index,
            name,
        };
        if workspace.keys.is_empty() {
            let message = "has no key, so no caller can use the workspace";
            findings.add(subject, Code::NoKey, "keys", message.to_owned());
        }
        for (item, hash) in workspace.keys.iter().enumerate() {
            let field = format!("keys[{item}]");
            if !is_sha256_hex(hash) {
                let message = "is not a SHA-256 hash in lower-case hexadecimal, expected the hash that \
                    `poplarctl key` prints";
                findings.add(subject, Code::BadKeyHash, &field, message.to_owned());
                continue;
            }
            match workspaces_by_key.get(hash) {
                Some(other) if *other == name => {
                    let message = "is listed twice, expected once".to_owned();
                    findings.add(subject, Code::RepeatedItem, &field, message);
                }
                Some(other) => {
                    let message =
                        format!("workspace {other} also has this key, expected a unique one");
                    findings.add(subject, Code::SharedKey, &field, message);
                }
                None => {
                    workspaces_by_key.insert(hash, name);
                }
            }
        }
    }
}

fn is_sha256_hex(hash: &KeyHash) -> bool {
    hash.0.len() == HASH_CHARS
        && hash
            .0
            .bytes()
            .all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}
