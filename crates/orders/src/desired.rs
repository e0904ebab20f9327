//! What the set wants of the engines of one group.

use crate::ModelLoad;
use core::time::Duration;
use poplarswitch_entity::{DataCentre, EndpointName, ModelName};
use poplarswitch_objects::{ObjectSet, Serves};
use std::collections::BTreeMap;

/// What one engine should serve.
#[derive(Clone, Debug)]
pub(crate) struct Desired {
    pub(crate) load: ModelLoad,
    pub(crate) fenced: bool,
    pub(crate) weight_mb: u32,
}

/// The engines of a group and the replicas that have to stay.
#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    pub(crate) engines: BTreeMap<EndpointName, Desired>,
    pub(crate) min_ready: BTreeMap<ModelName, u32>,
}

impl Group {
    /// Reads a set; services take no orders.
    pub(crate) fn from_set(set: &ObjectSet, data_centre: Option<&DataCentre>) -> Self {
        let mut group = Self::default();
        for endpoint in &set.endpoints {
            let Serves::Model {
                model,
                version,
                adapters,
            } = &endpoint.serves
            else {
                continue;
            };
            if data_centre.is_some_and(|wanted| *wanted != endpoint.data_centre) {
                continue;
            }
            let mut adapters = adapters.clone();
            adapters.sort();
            let declared = set.models.iter().find(|other| other.name == *model);
            let desired = Desired {
                load: ModelLoad {
                    model: model.clone(),
                    version: version.clone(),
                    adapters,
                },
                fenced: endpoint.fenced,
                weight_mb: declared.map_or(0, |model| model.weight_mb),
            };
            group.engines.insert(endpoint.name.clone(), desired);
        }
        for model in &set.models {
            let share = share(set, &model.name, model.min_ready, data_centre);
            group.min_ready.insert(model.name.clone(), share);
        }
        group
    }

    /// Time that the weight store needs for one load.
    pub(crate) fn load_time(&self, endpoint: &EndpointName, store_mb: u64) -> Duration {
        let weight = self
            .engines
            .get(endpoint)
            .map_or(0, |desired| desired.weight_mb);
        let micros = u64::from(weight) * 1_000_000 / store_mb.max(1);
        Duration::from_micros(micros)
    }
}

/// The group's part of the replicas that have to stay ready.
///
/// Data centres take a replica each in turn, in the order of their names, so that the parts
/// of all groups add up to the whole without any group asking another.
fn share(set: &ObjectSet, model: &ModelName, min_ready: u32, local: Option<&DataCentre>) -> u32 {
    let Some(local) = local else {
        return min_ready;
    };
    let mut counts: BTreeMap<&DataCentre, u32> = BTreeMap::new();
    for endpoint in &set.endpoints {
        if matches!(&endpoint.serves, Serves::Model { model: other, .. } if other == model) {
            *counts.entry(&endpoint.data_centre).or_default() += 1;
        }
    }
    let mut remaining = min_ready;
    let mut share = 0;
    while remaining > 0 && counts.values().any(|count| *count > 0) {
        for (data_centre, count) in &mut counts {
            if *count > 0 && remaining > 0 {
                *count -= 1;
                remaining -= 1;
                share += u32::from(*data_centre == local);
            }
        }
    }
    share
}
