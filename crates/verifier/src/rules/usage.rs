//! Warns of tiers, models and services that no class uses.
//!
//! Such an object is probably left over, or its name is misspelt where it should be used.

use crate::{Code, Findings, finding::Subject};
use poplarswitch_entity::{ModelName, ServiceName};
use poplarswitch_objects::{Kind, ObjectSet};
use std::collections::BTreeSet;

pub(crate) fn check(set: &ObjectSet, findings: &mut Findings) {
    let classes = &set.classes;
    let tiers: BTreeSet<&str> = classes.iter().map(|class| class.tier.as_str()).collect();
    let models: BTreeSet<&str> = classes
        .iter()
        .flat_map(|class| class.models.iter().map(ModelName::as_str))
        .collect();
    let services: BTreeSet<&str> = classes
        .iter()
        .flat_map(|class| class.services.iter().map(ServiceName::as_str))
        .collect();
    let names = set.tiers.iter().map(|o| o.name.as_str());
    check_used(Kind::Tier, names, &tiers, findings);
    let names = set.models.iter().map(|o| o.name.as_str());
    check_used(Kind::Model, names, &models, findings);
    let names = set.services.iter().map(|o| o.name.as_str());
    check_used(Kind::Service, names, &services, findings);
}

fn check_used<'a>(
    kind: Kind,
    names: impl Iterator<Item = &'a str>,
    used: &BTreeSet<&str>,
    findings: &mut Findings,
) {
    for (index, name) in names.enumerate() {
        if !used.contains(name) {
            let subject = Subject { kind, index, name };
            let message = format!("no class uses this {kind}");
            findings.add(subject, Code::Unused, "name", message);
        }
    }
}
