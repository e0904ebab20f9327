//! Look-up tables that several rules share.

use poplarswitch_objects::{Class, Model, ObjectSet, Serves, Service, Tier};
use std::collections::BTreeMap;

/// Largest number of names that a message lists.
const MAX_LISTED_NAMES: usize = 8;

/// Objects by name, and the number of endpoints of each model and service.
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

/// Lists the declared names, for messages about an unknown name.
pub(crate) fn declared_names<T>(names: &BTreeMap<&str, T>) -> String {
    let listed: Vec<&str> = names.keys().take(MAX_LISTED_NAMES).copied().collect();
    match names.len() {
        0 => "none are declared".to_owned(),
        count if count > MAX_LISTED_NAMES => {
            format!(
                "declared names: {} and {} more",
                listed.join(", "),
                count - MAX_LISTED_NAMES
            )
        }
        _ => format!("declared names: {}", listed.join(", ")),
    }
}
