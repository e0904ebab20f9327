//! The desired state of the engines of one group, as the set declares it.

use crate::ModelLoad;
use core::time::Duration;
use poplarswitch_entity::{DataCentre, EndpointName, ModelName};
use poplarswitch_objects::{ObjectSet, Serves};
use std::collections::BTreeMap;

/// The desired state of one engine.
#[derive(Clone, Debug)]
pub(crate) struct Desired {
    pub(crate) load: ModelLoad,
    /// Whether the engine checks fencing numbers.
    pub(crate) fenced: bool,
    /// Size of the model's weights in megabytes.
    pub(crate) weight_mb: u32,
}

/// The engines of a group, and the number of replicas of each model that have to stay ready in it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    pub(crate) engines: BTreeMap<EndpointName, Desired>,
    pub(crate) min_ready: BTreeMap<ModelName, u32>,
}

impl Group {
    /// Derives the group from a set; endpoints of services are left out, as they take no orders.
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

    /// Time that one load takes at a bandwidth of `store_mb_s` megabytes per second.
    pub(crate) fn load_time(&self, endpoint: &EndpointName, store_mb_s: u64) -> Duration {
        let weight = self
            .engines
            .get(endpoint)
            .map_or(0, |desired| desired.weight_mb);
        let micros = u64::from(weight) * 1_000_000 / store_mb_s.max(1);
        Duration::from_micros(micros)
    }
}

/// The group's share of the replicas of a model that have to stay ready.
///
/// Replicas are assigned to the data centres in turn, in the order of their names and up to the
/// number of endpoints in each, so that the shares of all groups add up to `min_ready` without
/// communication between the groups.
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
