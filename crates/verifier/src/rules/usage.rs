//! Objects that nothing refers to are likely left over or misspelt.

use crate::{Code, Findings, finding::Spot};
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
    unused(Kind::Tier, names, &tiers, findings);
    let names = set.models.iter().map(|o| o.name.as_str());
    unused(Kind::Model, names, &models, findings);
    let names = set.services.iter().map(|o| o.name.as_str());
    unused(Kind::Service, names, &services, findings);
}

fn unused<'a>(
    kind: Kind,
    names: impl Iterator<Item = &'a str>,
    used: &BTreeSet<&str>,
    findings: &mut Findings,
) {
    for (index, name) in names.enumerate() {
        if !used.contains(name) {
            let spot = Spot { kind, index, name };
            let message = format!("no class uses this {kind}");
            findings.add(spot, Code::Unused, "name", message);
        }
    }
}
