//! Checks that everything an object refers to is declared.

use crate::{
    Code, Findings,
    finding::Subject,
    index::{Index, declared_names},
};
use poplarswitch_entity::{AdapterName, ModelName, ModelVersion};
use poplarswitch_objects::{Class, Kind, ObjectSet, Serves};

pub(crate) fn check(set: &ObjectSet, index: &Index<'_>, findings: &mut Findings) {
    for (position, class) in set.classes.iter().enumerate() {
        check_class(position, class, index, findings);
    }
    for (position, model) in set.models.iter().enumerate() {
        let subject = subject(Kind::Model, position, model.name.as_str());
        check_default_class(subject, model.default_class.as_str(), index, findings);
    }
    for (position, service) in set.services.iter().enumerate() {
        let subject = subject(Kind::Service, position, service.name.as_str());
        check_default_class(subject, service.default_class.as_str(), index, findings);
    }
    for (position, endpoint) in set.endpoints.iter().enumerate() {
        let subject = subject(Kind::Endpoint, position, endpoint.name.as_str());
        match &endpoint.serves {
            Serves::Model {
                model,
                version,
                adapters,
            } => check_engine(subject, model, version, adapters, index, findings),
            Serves::Service { service } => {
                if !index.services.contains_key(service.as_str()) {
                    let message = format!(
                        "service {service} does not exist; {}",
                        declared_names(&index.services)
                    );
                    findings.add(
                        subject,
                        Code::UnknownService,
                        "serves.service.service",
                        message,
                    );
                }
            }
        }
    }
}

const fn subject(kind: Kind, index: usize, name: &str) -> Subject<'_> {
    Subject { kind, index, name }
}

fn check_class(position: usize, class: &Class, index: &Index<'_>, findings: &mut Findings) {
    let subject = subject(Kind::Class, position, class.name.as_str());
    let tier = &class.tier;
    if !index.tiers.contains_key(tier.as_str()) {
        let message = format!(
            "tier {tier} does not exist; {}",
            declared_names(&index.tiers)
        );
        findings.add(subject, Code::UnknownTier, "tier", message);
    }
    for (item, model) in class.models.iter().enumerate() {
        if !index.models.contains_key(model.as_str()) {
            let message = format!(
                "model {model} does not exist; {}",
                declared_names(&index.models)
            );
            findings.add(
                subject,
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
                declared_names(&index.services)
            );
            findings.add(
                subject,
                Code::UnknownService,
                &format!("services[{item}]"),
                message,
            );
        }
    }
}

fn check_default_class(
    subject: Subject<'_>,
    class: &str,
    index: &Index<'_>,
    findings: &mut Findings,
) {
    if !index.classes.contains_key(class) {
        let message = format!(
            "class {class} does not exist; {}",
            declared_names(&index.classes)
        );
        findings.add(subject, Code::UnknownClass, "default_class", message);
    }
}

fn check_engine(
    subject: Subject<'_>,
    model: &ModelName,
    version: &ModelVersion,
    adapters: &[AdapterName],
    index: &Index<'_>,
    findings: &mut Findings,
) {
    let Some(declared) = index.models.get(model.as_str()) else {
        let message = format!(
            "model {model} does not exist; {}",
            declared_names(&index.models)
        );
        findings.add(subject, Code::UnknownModel, "serves.model.model", message);
        return;
    };
    if !declared.versions.contains(version) {
        let message = format!(
            "model {model} has no version {version}; it has {}",
            list_names(&declared.versions)
        );
        findings.add(
            subject,
            Code::UnknownVersion,
            "serves.model.version",
            message,
        );
    }
    for (item, adapter) in adapters.iter().enumerate() {
        if !declared.adapters.contains(adapter) {
            let message = format!(
                "model {model} has no adapter {adapter}; it has {}",
                list_names(&declared.adapters)
            );
            let field = format!("serves.model.adapters[{item}]");
            findings.add(subject, Code::UnknownAdapter, &field, message);
        }
    }
}

fn list_names<T: core::fmt::Display>(items: &[T]) -> String {
    if items.is_empty() {
        return "none".to_owned();
    }
    let texts: Vec<String> = items.iter().take(8).map(ToString::to_string).collect();
    texts.join(", ")
}
