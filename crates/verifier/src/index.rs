//! Look-ups that several rules share.

use poplarswitch_objects::{Class, Model, ObjectSet, Serves, Service, Tier};
use std::collections::BTreeMap;

/// Most names that a message lists.
const SHOWN: usize = 8;

/// Objects by name and endpoints by what they serve.
pub(crate) struct Index<'a> {
    pub(crate) classes: BTreeMap<&'a str, &'a Class>,
    pub(crate) tiers: BTreeMap<&'a str, &'a Tier>,
    pub(crate) models: BTreeMap<&'a str, &'a Model>,
    pub(crate) services: BTreeMap<&'a str, &'a Service>,
    pub(crate) model_endpoints: BTreeMap<&'a str, usize>,
    pub(crate) service_endpoints: BTreeMap<&'a str, usize>,
}

impl<'a> Index<'a> {
    pub(crate) fn new(set: &'a ObjectSet) -> Self {
        let mut index = Self {
            classes: set.classes.iter().map(|o| (o.name.as_str(), o)).collect(),
            tiers: set.tiers.iter().map(|o| (o.name.as_str(), o)).collect(),
            models: set.models.iter().map(|o| (o.name.as_str(), o)).collect(),
            services: set.services.iter().map(|o| (o.name.as_str(), o)).collect(),
            model_endpoints: BTreeMap::new(),
            service_endpoints: BTreeMap::new(),
        };
        for endpoint in &set.endpoints {
            let (counts, name) = match &endpoint.serves {
                Serves::Model { model, .. } => (&mut index.model_endpoints, model.as_str()),
                Serves::Service { service } => (&mut index.service_endpoints, service.as_str()),
            };
            *counts.entry(name).or_default() += 1;
        }
        index
    }
}

/// Says what may stand in place of an unknown name.
pub(crate) fn declared<T>(names: &BTreeMap<&str, T>) -> String {
    let shown: Vec<&str> = names.keys().take(SHOWN).copied().collect();
    match names.len() {
        0 => "none is declared".to_owned(),
        count if count > SHOWN => {
            format!(
                "declared are {} and {} more",
                shown.join(", "),
                count - SHOWN
            )
        }
        _ => format!("declared are {}", shown.join(", ")),
    }
}
