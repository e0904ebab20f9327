//! Takes over the endpoints of a new set.
//!
//! An endpoint keeps its state as long as its name and route stay. One that is gone keeps
//! its calls until they end; one that moved to another route starts anew there, but the
//! slots that its old calls hold stay taken.

use crate::load::Load;
use crate::pool::{Centre, Pool};
use crate::ring::Ring;
use crate::site::Site;
use crate::view::Seat;
use crate::{Balancer, Health, PoolKey, SiteKey};
use poplarswitch_catalog::{Catalog, EndpointEntry, Route};
use poplarswitch_entity::{AdapterName, DataCentre, EndpointName, Time};
use poplarswitch_estimate::Ewma;
use poplarswitch_objects::Serves;
use std::collections::{BTreeSet, HashSet};

impl Balancer {
    /// Puts a set into force.
    pub fn sync(&mut self, now: Time, catalog: &Catalog) {
        for route in catalog.routes.values() {
            self.open_pool(route);
        }
        let mut changed = BTreeSet::new();
        for entry in catalog.endpoints.values() {
            self.take_over(now, entry, &catalog.routes[entry.route], &mut changed);
        }
        let present: HashSet<&EndpointName> = catalog
            .endpoints
            .values()
            .map(|entry| &entry.endpoint.name)
            .collect();
        self.retire_missing(&present, &mut changed);
        self.rebuild_pools(&changed);
    }

    fn open_pool(&mut self, route: &Route) {
        if !self.routes.contains_key(route) {
            let key = self.pools.insert(Pool::default());
            self.routes.insert(route.clone(), key);
        }
    }

    fn take_over(
        &mut self,
        now: Time,
        entry: &EndpointEntry,
        route: &Route,
        changed: &mut BTreeSet<PoolKey>,
    ) {
        let pool = self.routes[route];
        match self.find(&entry.endpoint.name) {
            Some(key) if self.sites[key].pool == pool => {
                if self.update(key, entry) {
                    changed.insert(pool);
                }
            }
            Some(old) => {
                changed.extend([pool, self.sites[old].pool]);
                self.move_site(now, old, entry, pool);
            }
            None => {
                changed.insert(pool);
                self.add(entry, pool);
            }
        }
    }

    /// Takes over an endpoint's settings; tells whether they changed.
    fn update(&mut self, key: SiteKey, entry: &EndpointEntry) -> bool {
        let endpoint = &entry.endpoint;
        let adapters = adapters(entry);
        let site = &mut self.sites[key];
        let same = site.slots == endpoint.slots
            && site.data_centre == endpoint.data_centre
            && site.adapters == adapters;
        site.slots = endpoint.slots;
        site.data_centre = endpoint.data_centre.clone();
        site.adapters = adapters;
        !same
    }

    fn add(&mut self, entry: &EndpointEntry, pool: PoolKey) -> SiteKey {
        let site = Site {
            name: entry.endpoint.name.clone(),
            slots: entry.endpoint.slots,
            pool,
            seat: Seat::default(),
            data_centre: entry.endpoint.data_centre.clone(),
            adapters: adapters(entry),
            load: Load::default(),
            health: Health::default(),
            held: Vec::new(),
            pace: Ewma::default(),
            retired: false,
            successor: None,
        };
        let key = self.sites.insert(site);
        self.names.insert(entry.endpoint.name.clone(), key);
        key
    }

    fn move_site(&mut self, now: Time, old: SiteKey, entry: &EndpointEntry, pool: PoolKey) {
        let new = self.add(entry, pool);
        let taken = self.sites[old].outstanding();
        (0..taken).for_each(|_| self.sites[new].load.add(now));
        self.sites[old].successor = Some(new);
        self.retire(old);
    }

    fn retire_missing(
        &mut self,
        present: &HashSet<&EndpointName>,
        changed: &mut BTreeSet<PoolKey>,
    ) {
        let mut gone: Vec<SiteKey> = Vec::new();
        for (key, site) in &self.sites {
            if !site.retired && !present.contains(&site.name) {
                gone.push(key);
            }
        }
        for key in gone {
            let name = self.sites[key].name.clone();
            self.names.remove(&name);
            changed.insert(self.sites[key].pool);
            self.retire(key);
        }
    }

    fn retire(&mut self, key: SiteKey) {
        let site = &mut self.sites[key];
        site.retired = true;
        if site.outstanding() == 0 {
            self.sites.remove(key);
        }
    }

    fn rebuild_pools(&mut self, changed: &BTreeSet<PoolKey>) {
        for key in changed {
            self.pools[*key].sites.clear();
        }
        for (key, site) in &self.sites {
            if !site.retired && changed.contains(&site.pool) {
                self.pools[site.pool].sites.push(key);
            }
        }
        for key in changed {
            self.rebuild(*key);
        }
    }

    fn rebuild(&mut self, key: PoolKey) {
        let sites = &self.sites;
        let pool = &mut self.pools[key];
        pool.sites
            .sort_by(|a, b| place(&sites[*a]).cmp(&place(&sites[*b])));
        let named = pool.sites.iter().map(|site| (*site, &sites[*site].name));
        pool.ring = Ring::new(named);
        self.seat_sites(key);
        self.pools[key].clear_views();
        self.recount(key);
        self.relist_all(key);
    }

    /// Numbers the sites of a pool; those of a data centre follow each other.
    fn seat_sites(&mut self, key: PoolKey) {
        let pool = &mut self.pools[key];
        pool.centres.clear();
        for (index, site) in (0..).zip(&pool.sites) {
            let site = &mut self.sites[*site];
            let known = pool.centres.last().map(|centre| &centre.name);
            if known != Some(&site.data_centre) {
                pool.centres.push(Centre {
                    name: site.data_centre.clone(),
                    start: index,
                    count: 0,
                });
            }
            let centre = pool.centres.len() - 1;
            let last = &mut pool.centres[centre];
            site.seat = Seat {
                index,
                centre: centre as u32,
                local: last.count,
            };
            last.count += 1;
        }
    }
}

fn place(site: &Site) -> (&DataCentre, &EndpointName) {
    (&site.data_centre, &site.name)
}

fn adapters(entry: &EndpointEntry) -> Vec<AdapterName> {
    match &entry.endpoint.serves {
        Serves::Model { adapters, .. } => adapters.clone(),
        Serves::Service { .. } => Vec::new(),
    }
}
