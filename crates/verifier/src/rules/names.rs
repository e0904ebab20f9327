//! Checks that names are well formed and that none is declared or listed twice.
//!
//! Names appear in paths, headers, metrics and timelines, so they consist of ASCII letters,
//! digits and a few punctuation characters. The names of models, versions and adapters are not
//! chosen by the operators and may contain slashes and colons as well.

use crate::{Code, Findings, finding::Subject};
use poplarswitch_objects::{Endpoint, Kind, Model, ObjectSet, Serves};
use std::collections::BTreeMap;

/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 100;

/// The characters that a name may contain.
#[derive(Clone, Copy)]
enum Alphabet {
    Plain,
    Model,
}

pub(crate) fn check(set: &ObjectSet, findings: &mut Findings) {
    let mut names: BTreeMap<Kind, Vec<String>> = BTreeMap::new();
    for object in set.objects() {
        let kind_names = names.entry(object.kind()).or_default();
        kind_names.push(object.name().to_owned());
    }
    for (kind, kind_names) in &names {
        check_kind(*kind, kind_names, set, findings);
    }
    check_nested(set, findings);
}

fn check_kind(kind: Kind, names: &[String], set: &ObjectSet, findings: &mut Findings) {
    let alphabet = match kind {
        Kind::Model => Alphabet::Model,
        _ => Alphabet::Plain,
    };
    let mut first_index: BTreeMap<&str, usize> = BTreeMap::new();
    for (index, name) in names.iter().map(String::as_str).enumerate() {
        let subject = Subject { kind, index, name };
        check_name(subject, "name", name, alphabet, findings);
        match first_index.get(name) {
            Some(earlier) => add_duplicate(subject, *earlier, set, findings),
            None => {
                first_index.insert(name, index);
            }
        }
    }
}

fn add_duplicate(subject: Subject<'_>, earlier: usize, set: &ObjectSet, findings: &mut Findings) {
    if subject.kind == Kind::Class {
        let (first, second) = (&set.classes[earlier].tier, &set.classes[subject.index].tier);
        if first != second {
            let message = format!("is in tiers {first} and {second}, expected one tier");
            findings.add(subject, Code::ClassInTwoTiers, "tier", message);
            return;
        }
    }
    let message = format!(
        "another {} has this name, expected a unique one",
        subject.kind
    );
    findings.add(subject, Code::DuplicateName, "name", message);
}

/// Checks the names and lists of names within objects.
fn check_nested(set: &ObjectSet, findings: &mut Findings) {
    for (index, model) in set.models.iter().enumerate() {
        check_model(index, model, findings);
    }
    for (index, class) in set.classes.iter().enumerate() {
        let subject = Subject {
            kind: Kind::Class,
            index,
            name: class.name.as_str(),
        };
        check_repeated(subject, "models", &class.models, findings);
        check_repeated(subject, "services", &class.services, findings);
    }
    for (index, endpoint) in set.endpoints.iter().enumerate() {
        check_endpoint(index, endpoint, findings);
    }
}

fn check_model(index: usize, model: &Model, findings: &mut Findings) {
    let subject = Subject {
        kind: Kind::Model,
        index,
        name: model.name.as_str(),
    };
    for version in &model.versions {
        check_name(
            subject,
            "versions",
            version.as_str(),
            Alphabet::Model,
            findings,
        );
    }
    for adapter in &model.adapters {
        check_name(
            subject,
            "adapters",
            adapter.as_str(),
            Alphabet::Model,
            findings,
        );
    }
    check_repeated(subject, "versions", &model.versions, findings);
    check_repeated(subject, "adapters", &model.adapters, findings);
}

fn check_endpoint(index: usize, endpoint: &Endpoint, findings: &mut Findings) {
    let subject = Subject {
        kind: Kind::Endpoint,
        index,
        name: endpoint.name.as_str(),
    };
    let data_centre = endpoint.data_centre.as_str();
    check_name(
        subject,
        "data_centre",
        data_centre,
        Alphabet::Plain,
        findings,
    );
    if let Serves::Model { adapters, .. } = &endpoint.serves {
        check_repeated(subject, "serves.model.adapters", adapters, findings);
    }
}

fn check_name(
    subject: Subject<'_>,
    field: &str,
    name: &str,
    alphabet: Alphabet,
    findings: &mut Findings,
) {
    if let Some(message) = name_error(name, alphabet) {
        findings.add(subject, Code::BadName, field, message);
    }
}

fn name_error(name: &str, alphabet: Alphabet) -> Option<String> {
    let punctuation = match alphabet {
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
        return Some(format!(
            "starts with {first:?}, expected an ASCII letter or digit"
        ));
    }
    let is_legal = |char: &char| char.is_ascii_alphanumeric() || punctuation.contains(*char);
    let illegal = name.chars().find(|char| !is_legal(char))?;
    Some(format!(
        "contains {illegal:?}, expected only ASCII letters, digits and the characters {punctuation}"
    ))
}

fn check_repeated<T: Ord + core::fmt::Display>(
    subject: Subject<'_>,
    field: &str,
    items: &[T],
    findings: &mut Findings,
) {
    let mut sorted: Vec<&T> = items.iter().collect();
    sorted.sort();
    let duplicate = sorted.windows(2).find(|pair| pair[0] == pair[1]);
    if let Some([item, ..]) = duplicate {
        let message = format!("lists {item} twice, expected once");
        findings.add(subject, Code::RepeatedItem, field, message);
    }
}
