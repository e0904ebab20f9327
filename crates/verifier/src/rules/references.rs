//! Every name that an object refers to is declared.

use crate::{
    Code, Findings,
    finding::Spot,
    index::{Index, declared},
};
use poplarswitch_entity::{AdapterName, ModelName, ModelVersion};
use poplarswitch_objects::{Class, Kind, ObjectSet, Serves};

pub(crate) fn check(set: &ObjectSet, index: &Index<'_>, findings: &mut Findings) {
    for (at, class) in set.classes.iter().enumerate() {
        check_class(at, class, index, findings);
    }
    for (at, model) in set.models.iter().enumerate() {
        let spot = spot(Kind::Model, at, model.name.as_str());
        default_class(spot, model.default_class.as_str(), index, findings);
    }
    for (at, service) in set.services.iter().enumerate() {
        let spot = spot(Kind::Service, at, service.name.as_str());
        default_class(spot, service.default_class.as_str(), index, findings);
    }
    for (at, endpoint) in set.endpoints.iter().enumerate() {
        let spot = spot(Kind::Endpoint, at, endpoint.name.as_str());
        match &endpoint.serves {
            Serves::Model {
                model,
                version,
                adapters,
            } => engine(spot, model, version, adapters, index, findings),
            Serves::Service { service } => {
                if !index.services.contains_key(service.as_str()) {
                    let message = format!(
                        "service {service} does not exist; {}",
                        declared(&index.services)
                    );
                    findings.add(
                        spot,
                        Code::UnknownService,
                        "serves.service.service",
                        message,
                    );
                }
            }
        }
    }
}

const fn spot(kind: Kind, index: usize, name: &str) -> Spot<'_> {
    Spot { kind, index, name }
}

fn check_class(at: usize, class: &Class, index: &Index<'_>, findings: &mut Findings) {
    let spot = spot(Kind::Class, at, class.name.as_str());
    let tier = &class.tier;
    if !index.tiers.contains_key(tier.as_str()) {
        let message = format!("tier {tier} does not exist; {}", declared(&index.tiers));
        findings.add(spot, Code::UnknownTier, "tier", message);
    }
    for (item, model) in class.models.iter().enumerate() {
        if !index.models.contains_key(model.as_str()) {
            let message = format!("model {model} does not exist; {}", declared(&index.models));
            findings.add(
                spot,
                Code::UnknownModel,
                &format!("models[{item}]"),
                message,
            );
        }
    }
    for (item, service) in class.services.iter().enumerate() {
        if !index.services.contains_key(service.as_str()) {
            let message = format!(
                "service {service} does not exist; {}",
                declared(&index.services)
            );
            findings.add(
                spot,
                Code::UnknownService,
                &format!("services[{item}]"),
                message,
            );
        }
    }
}

fn default_class(spot: Spot<'_>, class: &str, index: &Index<'_>, findings: &mut Findings) {
    if !index.classes.contains_key(class) {
        let message = format!("class {class} does not exist; {}", declared(&index.classes));
        findings.add(spot, Code::UnknownClass, "default_class", message);
    }
}

fn engine(
    spot: Spot<'_>,
    model: &ModelName,
    version: &ModelVersion,
    adapters: &[AdapterName],
    index: &Index<'_>,
    findings: &mut Findings,
) {
    let Some(found) = index.models.get(model.as_str()) else {
        let message = format!("model {model} does not exist; {}", declared(&index.models));
        findings.add(spot, Code::UnknownModel, "serves.model.model", message);
        return;
    };
    if !found.versions.contains(version) {
        let message = format!(
            "model {model} has no version {version}; it has {}",
            list(&found.versions)
        );
        findings.add(spot, Code::UnknownVersion, "serves.model.version", message);
    }
    for (item, adapter) in adapters.iter().enumerate() {
        if !found.adapters.contains(adapter) {
            let message = format!(
                "model {model} has no adapter {adapter}; it has {}",
                list(&found.adapters)
            );
            let field = format!("serves.model.adapters[{item}]");
            findings.add(spot, Code::UnknownAdapter, &field, message);
        }
    }
}

fn list<T: core::fmt::Display>(items: &[T]) -> String {
    if items.is_empty() {
        return "none".to_owned();
    }
    let texts: Vec<String> = items.iter().take(8).map(ToString::to_string).collect();
    texts.join(", ")
}
