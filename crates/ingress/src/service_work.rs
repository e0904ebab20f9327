//! Work of calls by service.
//!
//! With several services of engines, the sums that all VMs know tell only the work of all of them
//! together. Each VM therefore adds its own work by service to its heartbeats, and the part of a
//! service in the sums is taken from the VMs that were heard directly, which are a sample in a large
//! fleet. With one service nothing is told.

use crate::{
    groups::{Demand, EndpointGroup},
    hash::{hash_text, short_hash},
};
use poplarswitch_entity::{ServiceName, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Recent work of a VM's calls to a service, in milliseconds of engine time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWork(
    /// Short hash of the service's name.
    pub u32,
    /// Work of the relaxed group.
    pub u32,
    /// Work of the strict group.
    pub u32,
);

fn hash_of(service: &ServiceName) -> u32 {
    short_hash(hash_text(service.as_str()))
}

/// Recent work of this VM's calls by service.
#[derive(Clone, Debug, Default)]
pub struct ServiceDemand(BTreeMap<ServiceName, Demand>);

impl ServiceDemand {
    /// Adds the engine time of a call in milliseconds.
    pub fn record(&mut self, now: Time, service: &ServiceName, group: EndpointGroup, work_ms: f64) {
        if !self.0.contains_key(service) {
            self.0.insert(service.clone(), Demand::default());
        }
        if let Some(demand) = self.0.get_mut(service) {
            demand.record(now, group, work_ms);
        }
    }

    /// Work of the services that have any.
    pub fn works(&mut self, now: Time) -> Vec<ServiceWork> {
        self.0.retain(|_, demand| {
            *demand = demand.decayed_to(now);
            demand.relaxed >= 1.0 || demand.strict >= 1.0
        });
        let services = self.0.iter();
        let work = |(service, demand): (&ServiceName, &Demand)| {
            ServiceWork(
                hash_of(service),
                demand.relaxed as u32,
                demand.strict as u32,
            )
        };
        services.map(work).collect()
    }
}

/// The part of a service in the demand of all VMs, from the work that this VM and others have told by
/// service; all of it if none has been told.
pub fn service_part<'a>(
    total: Demand,
    told: impl IntoIterator<Item = &'a ServiceWork>,
    service: &ServiceName,
) -> Demand {
    let hash = hash_of(service);
    let (mut all, mut own) = ((0.0, 0.0), (0.0, 0.0));
    for ServiceWork(told_hash, relaxed, strict) in told {
        let (relaxed, strict) = (f64::from(*relaxed), f64::from(*strict));
        all = (all.0 + relaxed, all.1 + strict);
        if *told_hash == hash {
            own = (own.0 + relaxed, own.1 + strict);
        }
    }
    let part = |own: f64, all: f64| if all > 0.0 { own / all } else { 1.0 };
    let mut demand = total;
    demand.relaxed *= part(own.0, all.0);
    demand.strict *= part(own.1, all.1);
    demand
}
