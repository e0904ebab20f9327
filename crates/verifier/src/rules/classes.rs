//! Checks classes and default classes.
//!
//! The models and services of a class need endpoints, and its latency target has to be plausible.
//! A class that is not repeatable may use services only, and its tier must not be preemptible. The
//! default class of a model or service has to list it.

use crate::{Code, Findings, finding::Subject, index::Index};
use poplarswitch_objects::{Class, Kind, ObjectSet, Target};

pub(crate) fn check(set: &ObjectSet, index: &Index<'_>, findings: &mut Findings) {
    for (position, class) in set.classes.iter().enumerate() {
        let subject = Subject {
            kind: Kind::Class,
            index: position,
            name: class.name.as_str(),
        };
        check_endpoints(subject, class, index, findings);
        check_repeatable(subject, class, index, findings);
        check_target(subject, class, findings);
    }
    for (position, model) in set.models.iter().enumerate() {
        let Some(class) = index.classes.get(model.default_class.as_str()) else {
            continue;
        };
        if !class.models.contains(&model.name) {
            let subject = Subject {
                kind: Kind::Model,
                index: position,
                name: model.name.as_str(),
            };
            add_not_allowed(subject, class, "models", findings);
        }
    }
    for (position, service) in set.services.iter().enumerate() {
        let Some(class) = index.classes.get(service.default_class.as_str()) else {
            continue;
        };
        if !class.services.contains(&service.name) {
            let subject = Subject {
                kind: Kind::Service,
                index: position,
                name: service.name.as_str(),
            };
            add_not_allowed(subject, class, "services", findings);
        }
    }
}

fn add_not_allowed(subject: Subject<'_>, class: &Class, field: &str, findings: &mut Findings) {
    let message = format!(
        "the default class {} does not allow it, expected {} in that class's `{field}`",
        class.name, subject.name
    );
    findings.add(subject, Code::ClassNotAllowed, "default_class", message);
}

fn check_endpoints(
    subject: Subject<'_>,
    class: &Class,
    index: &Index<'_>,
    findings: &mut Findings,
) {
    for (item, model) in class.models.iter().enumerate() {
        let is_declared = index.models.contains_key(model.as_str());
        if is_declared && !index.model_endpoints.contains_key(model.as_str()) {
            let message = format!("model {model} has no endpoints, expected at least one");
            findings.add(
                subject,
                Code::NoEndpoint,
                &format!("models[{item}]"),
                message,
            );
        }
    }
    for (item, service) in class.services.iter().enumerate() {
        let is_declared = index.services.contains_key(service.as_str());
        if is_declared && !index.service_endpoints.contains_key(service.as_str()) {
            let message = format!("service {service} has no endpoints, expected at least one");
            findings.add(
                subject,
                Code::NoEndpoint,
                &format!("services[{item}]"),
                message,
            );
        }
    }
    if class.models.is_empty() && class.services.is_empty() {
        let message = "lists no models and no services, so no call can use the class";
        findings.add(subject, Code::Unused, "models", message.to_owned());
    }
}

fn check_repeatable(
    subject: Subject<'_>,
    class: &Class,
    index: &Index<'_>,
    findings: &mut Findings,
) {
    if class.repeatable {
        return;
    }
    if !class.models.is_empty() {
        let message = "a class that is not repeatable may use services only, because calls to \
            models are resumed and retried";
        findings.add(
            subject,
            Code::NonRepeatableModel,
            "models",
            message.to_owned(),
        );
    }
    let tier = index.tiers.get(class.tier.as_str());
    if tier.is_some_and(|tier| tier.preemptible) {
        let message = format!(
            "calls that are not repeatable cannot be preempted, expected a tier other than {} or \
            `preemptible` false in that tier",
            class.tier
        );
        findings.add(subject, Code::NonRepeatablePreemptible, "tier", message);
    }
}

fn check_target(subject: Subject<'_>, class: &Class, findings: &mut Findings) {
    let is_stream = matches!(class.target, Target::Stream { .. });
    if is_stream && class.models.is_empty() && !class.services.is_empty() {
        let message = "services return no tokens, expected an `answer` target";
        findings.add(
            subject,
            Code::TargetWithoutStream,
            "target",
            message.to_owned(),
        );
    }
    if let Target::Stream {
        first_token_ms,
        inter_token_ms,
    } = class.target
        && inter_token_ms > first_token_ms
    {
        let message = format!(
            "{inter_token_ms} ms between tokens is more than the {first_token_ms} ms to the first \
             token"
        );
        let field = "target.stream.inter_token_ms";
        findings.add(subject, Code::ImplausibleTarget, field, message);
    }
    let first_output = class.target.first_output().as_millis();
    if u128::from(class.max_wait_ms) < first_output / 2 {
        let message = format!(
            "calls are refused after waiting {} ms, less than half of the target of \
             {first_output} ms",
            class.max_wait_ms
        );
        findings.add(subject, Code::ImplausibleTarget, "max_wait_ms", message);
    }
}
