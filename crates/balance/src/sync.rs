//! Updates the endpoints to those of a new set.
//!
//! An endpoint keeps its state while its name and route stay the same. One that is no longer in
//! the set keeps its calls until they end. One that has moved to another route gets new state
//! there, in which the slots of its old calls count as taken until these calls end.

use crate::endpoint::Endpoint;
use crate::load::Load;
use crate::pool::{CentreRange, Pool};
use crate::ring::Ring;
use crate::view::PoolPosition;
use crate::{Balancer, EndpointKey, Health, PoolKey};
use poplarswitch_catalog::{Catalog, EndpointEntry, Route};
use poplarswitch_entity::{AdapterName, DataCentre, EndpointName, Time};
use poplarswitch_estimate::Ewma;
use poplarswitch_objects::Serves;
use std::collections::{BTreeSet, HashSet};

impl Balancer {
    /// Replaces the endpoints by those of a new set.
    pub fn sync(&mut self, now: Time, catalog: &Catalog) {
        for route in catalog.routes.values() {
            self.add_pool(route);
        }
        let mut changed = BTreeSet::new();
        for entry in catalog.endpoints.values() {
            self.sync_endpoint(now, entry, &catalog.routes[entry.route], &mut changed);
        }
        let present: HashSet<&EndpointName> = catalog
            .endpoints
            .values()
            .map(|entry| &entry.endpoint.name)
            .collect();
        self.retire_missing(&present, &mut changed);
        self.rebuild_pools(&changed);
    }

    fn add_pool(&mut self, route: &Route) {
        if !self.routes.contains_key(route) {
            let key = self.pools.insert(Pool::default());
            self.routes.insert(route.clone(), key);
        }
    }

    fn sync_endpoint(
        &mut self,
        now: Time,
        entry: &EndpointEntry,
        route: &Route,
        changed: &mut BTreeSet<PoolKey>,
    ) {
        let pool = self.routes[route];
        match self.find(&entry.endpoint.name) {
            Some(key) if self.endpoints[key].pool == pool => {
                if self.update(key, entry) {
                    changed.insert(pool);
                }
            }
            Some(old) => {
                changed.extend([pool, self.endpoints[old].pool]);
                self.move_endpoint(now, old, entry, pool);
            }
            None => {
                changed.insert(pool);
                self.add(entry, pool);
            }
        }
    }

    /// Updates the declared properties of an endpoint; returns whether they changed.
    fn update(&mut self, key: EndpointKey, entry: &EndpointEntry) -> bool {
        let declared = &entry.endpoint;
        let adapters = adapters(entry);
        let endpoint = &mut self.endpoints[key];
        let same = endpoint.slots == declared.slots
            && endpoint.data_centre == declared.data_centre
            && endpoint.adapters == adapters;
        endpoint.slots = declared.slots;
        endpoint.data_centre = declared.data_centre.clone();
        endpoint.adapters = adapters;
        !same
    }

    fn add(&mut self, entry: &EndpointEntry, pool: PoolKey) -> EndpointKey {
        let endpoint = Endpoint {
            name: entry.endpoint.name.clone(),
            slots: entry.endpoint.slots,
            pool,
            position: PoolPosition::default(),
            data_centre: entry.endpoint.data_centre.clone(),
            adapters: adapters(entry),
            load: Load::default(),
            health: Health::default(),
            cap_calls: Vec::new(),
            slowness: Ewma::default(),
            retired: false,
            successor: None,
        };
        let key = self.endpoints.insert(endpoint);
        self.names.insert(entry.endpoint.name.clone(), key);
        key
    }

    fn move_endpoint(&mut self, now: Time, old: EndpointKey, entry: &EndpointEntry, pool: PoolKey) {
        let new = self.add(entry, pool);
        let outstanding = self.endpoints[old].outstanding();
        (0..outstanding).for_each(|_| self.endpoints[new].load.add(now));
        self.endpoints[old].successor = Some(new);
        self.retire(old);
    }

    fn retire_missing(
        &mut self,
        present: &HashSet<&EndpointName>,
        changed: &mut BTreeSet<PoolKey>,
    ) {
        let mut missing: Vec<EndpointKey> = Vec::new();
        for (key, endpoint) in &self.endpoints {
            if !endpoint.retired && !present.contains(&endpoint.name) {
                missing.push(key);
            }
        }
        for key in missing {
            let name = self.endpoints[key].name.clone();
            self.names.remove(&name);
            changed.insert(self.endpoints[key].pool);
            self.retire(key);
        }
    }

    fn retire(&mut self, key: EndpointKey) {
        let endpoint = &mut self.endpoints[key];
        endpoint.retired = true;
        if endpoint.outstanding() == 0 {
            self.endpoints.remove(key);
        }
    }

    fn rebuild_pools(&mut self, changed: &BTreeSet<PoolKey>) {
        for key in changed {
            self.pools[*key].endpoints.clear();
        }
        for (key, endpoint) in &self.endpoints {
            if !endpoint.retired && changed.contains(&endpoint.pool) {
                self.pools[endpoint.pool].endpoints.push(key);
            }
        }
        for key in changed {
            self.rebuild(*key);
        }
    }

    fn rebuild(&mut self, key: PoolKey) {
        let endpoints = &self.endpoints;
        let pool = &mut self.pools[key];
        pool.endpoints
            .sort_by(|a, b| sort_key(&endpoints[*a]).cmp(&sort_key(&endpoints[*b])));
        let named = pool
            .endpoints
            .iter()
            .map(|endpoint| (*endpoint, &endpoints[*endpoint].name));
        pool.ring = Ring::new(named);
        self.assign_positions(key);
        self.pools[key].clear_views();
        self.recount(key);
        self.reindex_all(key);
    }

    /// Numbers the endpoints of a pool, with consecutive indices within a data centre.
    fn assign_positions(&mut self, key: PoolKey) {
        let pool = &mut self.pools[key];
        pool.centres.clear();
        for (index, endpoint) in (0..).zip(&pool.endpoints) {
            let endpoint = &mut self.endpoints[*endpoint];
            let last_name = pool.centres.last().map(|centre| &centre.name);
            if last_name != Some(&endpoint.data_centre) {
                pool.centres.push(CentreRange {
                    name: endpoint.data_centre.clone(),
                    start: index,
                    count: 0,
                });
            }
            let centre = pool.centres.len() - 1;
            let last = &mut pool.centres[centre];
            endpoint.position = PoolPosition {
                index,
                centre: centre as u32,
                local: last.count,
            };
            last.count += 1;
        }
    }
}

fn sort_key(endpoint: &Endpoint) -> (&DataCentre, &EndpointName) {
    (&endpoint.data_centre, &endpoint.name)
}

fn adapters(entry: &EndpointEntry) -> Vec<AdapterName> {
    match &entry.endpoint.serves {
        Serves::Model { adapters, .. } => adapters.clone(),
        Serves::Service { .. } => Vec::new(),
    }
}
