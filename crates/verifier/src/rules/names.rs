//! Names are well formed and stand once.
//!
//! Names appear in paths, headers, metrics and time lines, so they keep to letters, digits
//! and a few marks. Those of models, versions and adapters are not the operators' own and
//! may have slashes and colons as well.

use crate::{Code, Findings, finding::Spot};
use poplarswitch_objects::{Endpoint, Kind, Model, ObjectSet, Serves};
use std::collections::BTreeMap;

/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 100;

#[derive(Clone, Copy)]
enum Alphabet {
    Plain,
    Model,
}

pub(crate) fn check(set: &ObjectSet, findings: &mut Findings) {
    let mut names: BTreeMap<Kind, Vec<String>> = BTreeMap::new();
    for object in set.objects() {
        let of_kind = names.entry(object.kind()).or_default();
        of_kind.push(object.name().to_owned());
    }
    for (kind, of_kind) in &names {
        check_kind(*kind, of_kind, set, findings);
    }
    check_inner(set, findings);
}

fn check_kind(kind: Kind, names: &[String], set: &ObjectSet, findings: &mut Findings) {
    let alphabet = match kind {
        Kind::Model => Alphabet::Model,
        _ => Alphabet::Plain,
    };
    let mut first: BTreeMap<&str, usize> = BTreeMap::new();
    for (index, name) in names.iter().map(String::as_str).enumerate() {
        let spot = Spot { kind, index, name };
        check_name(spot, "name", name, alphabet, findings);
        match first.get(name) {
            Some(earlier) => duplicate(spot, *earlier, set, findings),
            None => {
                first.insert(name, index);
            }
        }
    }
}

fn duplicate(spot: Spot<'_>, earlier: usize, set: &ObjectSet, findings: &mut Findings) {
    if spot.kind == Kind::Class {
        let (one, other) = (&set.classes[earlier].tier, &set.classes[spot.index].tier);
        if one != other {
            let message = format!("stands in tiers {one} and {other}, expected one tier");
            findings.add(spot, Code::ClassInTwoTiers, "tier", message);
            return;
        }
    }
    let message = format!("another {} has this name, expected one", spot.kind);
    findings.add(spot, Code::DuplicateName, "name", message);
}

/// Names that stand within objects.
fn check_inner(set: &ObjectSet, findings: &mut Findings) {
    for (index, model) in set.models.iter().enumerate() {
        check_model(index, model, findings);
    }
    for (index, class) in set.classes.iter().enumerate() {
        let spot = Spot {
            kind: Kind::Class,
            index,
            name: class.name.as_str(),
        };
        repeated(spot, "models", &class.models, findings);
        repeated(spot, "services", &class.services, findings);
    }
    for (index, endpoint) in set.endpoints.iter().enumerate() {
        check_endpoint(index, endpoint, findings);
    }
}

fn check_model(index: usize, model: &Model, findings: &mut Findings) {
    let spot = Spot {
        kind: Kind::Model,
        index,
        name: model.name.as_str(),
    };
    for version in &model.versions {
        check_name(
            spot,
            "versions",
            version.as_str(),
            Alphabet::Model,
            findings,
        );
    }
    for adapter in &model.adapters {
        check_name(
            spot,
            "adapters",
            adapter.as_str(),
            Alphabet::Model,
            findings,
        );
    }
    repeated(spot, "versions", &model.versions, findings);
    repeated(spot, "adapters", &model.adapters, findings);
}

fn check_endpoint(index: usize, endpoint: &Endpoint, findings: &mut Findings) {
    let spot = Spot {
        kind: Kind::Endpoint,
        index,
        name: endpoint.name.as_str(),
    };
    let place = endpoint.data_centre.as_str();
    check_name(spot, "data_centre", place, Alphabet::Plain, findings);
    if let Serves::Model { adapters, .. } = &endpoint.serves {
        repeated(spot, "serves.model.adapters", adapters, findings);
    }
}

fn check_name(
    spot: Spot<'_>,
    field: &str,
    name: &str,
    alphabet: Alphabet,
    findings: &mut Findings,
) {
    if let Some(message) = fault_of(name, alphabet) {
        findings.add(spot, Code::BadName, field, message);
    }
}

fn fault_of(name: &str, alphabet: Alphabet) -> Option<String> {
    let marks = match alphabet {
        Alphabet::Plain => "-_.",
        Alphabet::Model => "-_.:/",
    };
    if name.len() > MAX_NAME_BYTES {
        let bytes = name.len();
        return Some(format!(
            "has {bytes} bytes, expected at most {MAX_NAME_BYTES}"
        ));
    }
    let Some(first) = name.chars().next() else {
        return Some("is empty, expected a name".to_owned());
    };
    if !first.is_ascii_alphanumeric() {
        return Some(format!("starts with {first:?}, expected a letter or digit"));
    }
    let legal = |char: &char| char.is_ascii_alphanumeric() || marks.contains(*char);
    let illegal = name.chars().find(|char| !legal(char))?;
    Some(format!(
        "has the character {illegal:?}, expected letters, digits and {marks}"
    ))
}

fn repeated<T: Ord + core::fmt::Display>(
    spot: Spot<'_>,
    field: &str,
    items: &[T],
    findings: &mut Findings,
) {
    let mut sorted: Vec<&T> = items.iter().collect();
    sorted.sort();
    let twice = sorted.windows(2).find(|pair| pair[0] == pair[1]);
    if let Some([item, ..]) = twice {
        let message = format!("names {item} twice, expected once");
        findings.add(spot, Code::RepeatedItem, field, message);
    }
}
