//! Classes can be served, their targets can be met, and their calls are safe to place.

use crate::{Code, Findings, finding::Spot, index::Index};
use poplarswitch_objects::{Class, Kind, ObjectSet, Target};

pub(crate) fn check(set: &ObjectSet, index: &Index<'_>, findings: &mut Findings) {
    for (at, class) in set.classes.iter().enumerate() {
        let spot = Spot {
            kind: Kind::Class,
            index: at,
            name: class.name.as_str(),
        };
        capacity(spot, class, index, findings);
        repeats(spot, class, index, findings);
        target(spot, class, findings);
    }
    for (at, model) in set.models.iter().enumerate() {
        let Some(class) = index.classes.get(model.default_class.as_str()) else {
            continue;
        };
        if !class.models.contains(&model.name) {
            let spot = Spot {
                kind: Kind::Model,
                index: at,
                name: model.name.as_str(),
            };
            not_allowed(spot, class, "models", findings);
        }
    }
    for (at, service) in set.services.iter().enumerate() {
        let Some(class) = index.classes.get(service.default_class.as_str()) else {
            continue;
        };
        if !class.services.contains(&service.name) {
            let spot = Spot {
                kind: Kind::Service,
                index: at,
                name: service.name.as_str(),
            };
            not_allowed(spot, class, "services", findings);
        }
    }
}

fn not_allowed(spot: Spot<'_>, class: &Class, list: &str, findings: &mut Findings) {
    let message = format!(
        "class {} may not use it, expected {} in that class's `{list}`",
        class.name, spot.name
    );
    findings.add(spot, Code::ClassNotAllowed, "default_class", message);
}

fn capacity(spot: Spot<'_>, class: &Class, index: &Index<'_>, findings: &mut Findings) {
    for (item, model) in class.models.iter().enumerate() {
        let known = index.models.contains_key(model.as_str());
        if known && !index.model_endpoints.contains_key(model.as_str()) {
            let message = format!("model {model} has no endpoint, expected at least one");
            findings.add(spot, Code::NoEndpoint, &format!("models[{item}]"), message);
        }
    }
    for (item, service) in class.services.iter().enumerate() {
        let known = index.services.contains_key(service.as_str());
        if known && !index.service_endpoints.contains_key(service.as_str()) {
            let message = format!("service {service} has no endpoint, expected at least one");
            findings.add(
                spot,
                Code::NoEndpoint,
                &format!("services[{item}]"),
                message,
            );
        }
    }
    if class.models.is_empty() && class.services.is_empty() {
        let message = "the class may use no model and no service, so no call can give it";
        findings.add(spot, Code::Unused, "models", message.to_owned());
    }
}

fn repeats(spot: Spot<'_>, class: &Class, index: &Index<'_>, findings: &mut Findings) {
    if class.repeatable {
        return;
    }
    if !class.models.is_empty() {
        let message = "a class whose calls may not be repeated may use services only; a model's \
            answer is resumed and retried";
        findings.add(spot, Code::NonRepeatableModel, "models", message.to_owned());
    }
    let tier = index.tiers.get(class.tier.as_str());
    if tier.is_some_and(|tier| tier.preemptible) {
        let message = format!(
            "calls that may not be repeated can't be paused, expected a tier other than {} or its \
            `preemptible` false",
            class.tier
        );
        findings.add(spot, Code::NonRepeatablePreemptible, "tier", message);
    }
}

fn target(spot: Spot<'_>, class: &Class, findings: &mut Findings) {
    let streams = matches!(class.target, Target::Stream { .. });
    if streams && class.models.is_empty() && !class.services.is_empty() {
        let message = "plain services have no tokens, expected an `answer` target";
        findings.add(
            spot,
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
            "{inter_token_ms} ms between tokens is more than the {first_token_ms} ms to the first"
        );
        let field = "target.stream.inter_token_ms";
        findings.add(spot, Code::ImplausibleTarget, field, message);
    }
    let output = class.target.first_output().as_millis();
    if u128::from(class.max_wait_ms) < output / 2 {
        let message = format!(
            "calls are refused after {} ms, less than half of the target of {output} ms",
            class.max_wait_ms
        );
        findings.add(spot, Code::ImplausibleTarget, "max_wait_ms", message);
    }
}
