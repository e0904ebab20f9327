//! The endpoints of one route, and the views of them.

use crate::endpoint::Endpoint;
use crate::ring::Ring;
use crate::view::{View, ViewKey};
use crate::{Balancer, EndpointKey};
use poplarswitch_entity::{AdapterName, DataCentre};
use slotmap::{SlotMap, new_key_type};
use std::collections::BTreeMap;

new_key_type! {
    /// Refers to the endpoints of a route.
    pub struct PoolKey;
}

/// Refers to a bound on how many slots of each endpoint a group of calls may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CapKey(pub(crate) usize);

/// How many slots of each endpoint a group of calls may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cap {
    /// A share of the endpoint's slots, in percent.
    Percent(u32),
    /// All slots but so many over the whole pool, spread evenly over the endpoints.
    AllBut(u32),
}

/// Weight of a new report in the mean of others' load.
const FOREIGN_WEIGHT: f64 = 0.1;

/// The endpoints of a pool in one data centre; their numbers follow each other.
#[derive(Clone, Debug)]
pub(crate) struct Centre {
    pub name: DataCentre,
    pub start: u32,
    pub count: u32,
}

#[derive(Debug)]
pub(crate) struct Pool {
    /// By data centre, then by name.
    pub endpoints: Vec<EndpointKey>,
    pub centres: Vec<Centre>,
    pub views: Vec<View>,
    pub ring: Ring,
    /// Sites that may take one call to prove themselves, and whether careful ones too.
    pub probes: BTreeMap<EndpointKey, bool>,
    pub caps: Vec<Cap>,
    /// Slots of the endpoints that are up or merely rest.
    pub slots: u32,
    /// Slots of all endpoints, up or not.
    pub declared: u32,
    /// Sites that are out because they are slow.
    pub ejected: usize,
    /// Next endpoint in turn.
    pub turn: usize,
    /// Mean of others' calls per endpoint, for endpoints without a recent report.
    pub foreign: f64,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            endpoints: Vec::new(),
            centres: Vec::new(),
            views: vec![View::new(&[], None, &[])],
            ring: Ring::default(),
            probes: BTreeMap::new(),
            caps: Vec::new(),
            slots: 0,
            declared: 0,
            ejected: 0,
            turn: 0,
            foreign: 0.0,
        }
    }
}

impl Pool {
    pub(crate) fn note_foreign(&mut self, calls: f64) {
        self.foreign += (calls - self.foreign) * FOREIGN_WEIGHT;
    }

    /// Calls of a cap that an endpoint may hold; at least one, so that its calls progress.
    fn cap_of(&self, cap: CapKey, endpoint: &Endpoint) -> u32 {
        let most = match self.caps[cap.0] {
            Cap::Percent(percent) => endpoint.slots * percent / 100,
            Cap::AllBut(spare) => {
                let count = self.endpoints.len().max(1) as u32;
                let extra = u32::from(endpoint.seat.index < spare % count);
                endpoint.slots.saturating_sub(spare / count + extra)
            }
        };
        most.max(1)
    }

    /// Whether a view may list an endpoint that is up and has a slot.
    pub(crate) fn fits(&self, view: &View, endpoint: &Endpoint) -> bool {
        let has_adapter = view
            .adapter
            .as_ref()
            .is_none_or(|adapter| endpoint.adapters.contains(adapter));
        let mut caps = view.caps.iter();
        has_adapter && caps.all(|cap| endpoint.held(*cap) < self.cap_of(*cap, endpoint))
    }

    /// Lists an endpoint anew in all views.
    pub(crate) fn relist(&mut self, endpoint: &Endpoint, level: u32) {
        let usable = endpoint.health.is_up() && endpoint.has_slot();
        for index in 0..self.views.len() {
            let listed = usable && self.fits(&self.views[index], endpoint);
            self.views[index].set(endpoint.seat, listed.then_some(level));
        }
    }

    /// Empties all views for endpoints with new numbers.
    pub(crate) fn clear_views(&mut self) {
        let counts = self.counts();
        for view in &mut self.views {
            *view = View::new(&view.caps, view.adapter.clone(), &counts);
        }
        self.probes.clear();
    }

    /// Sites in each data centre.
    fn counts(&self) -> Vec<usize> {
        let centres = self.centres.iter();
        centres.map(|centre| centre.count as usize).collect()
    }

    /// The number of a data centre.
    pub(crate) fn centre(&self, name: &DataCentre) -> Option<u32> {
        let found = self
            .centres
            .binary_search_by(|centre| centre.name.cmp(name));
        found.ok().map(|index| index as u32)
    }

    pub(crate) fn count_slots(&mut self, endpoints: &SlotMap<EndpointKey, Endpoint>) {
        let all = self.endpoints.iter().map(|key| &endpoints[*key]);
        self.declared = all.clone().map(|endpoint| endpoint.slots).sum();
        self.slots = all
            .filter(|endpoint| endpoint.health.is_up() || endpoint.health.is_resting())
            .map(|endpoint| endpoint.slots)
            .sum();
    }
}

impl Balancer {
    /// Adds a bound on the slots of each endpoint that a group of calls may hold.
    pub fn add_cap(&mut self, pool: PoolKey, cap: Cap) -> CapKey {
        let caps = &mut self.pools[pool].caps;
        caps.push(cap);
        CapKey(caps.len() - 1)
    }

    /// Changes a bound.
    pub fn set_cap(&mut self, pool: PoolKey, key: CapKey, cap: Cap) {
        if self.pools[pool].caps[key.0] == cap {
            return;
        }
        self.pools[pool].caps[key.0] = cap;
        self.relist_all(pool);
    }

    /// The view of calls with bounds and an adapter; made if it is new.
    pub fn view(
        &mut self,
        pool: PoolKey,
        caps: &[CapKey],
        adapter: Option<&AdapterName>,
    ) -> ViewKey {
        let counts = self.pools[pool].counts();
        let views = &mut self.pools[pool].views;
        let same = |view: &View| view.caps == caps && view.adapter.as_ref() == adapter;
        if let Some(index) = views.iter().position(same) {
            return ViewKey(index);
        }
        views.push(View::new(caps, adapter.cloned(), &counts));
        let view = ViewKey(views.len() - 1);
        self.relist_all(pool);
        view
    }

    /// Whether a call with a view can be placed now; a avoid_probation one keeps away from probes.
    pub fn has_room(&self, pool: PoolKey, view: ViewKey, avoid_probation: bool) -> bool {
        let pool = &self.pools[pool];
        !pool.views[view.0].is_empty()
            || self.probe_for(pool, view, None, avoid_probation).is_some()
    }

    /// Slots of a pool's endpoints that are up or rest after a declined call.
    pub fn slots(&self, pool: PoolKey) -> u32 {
        self.pools[pool].slots
    }

    /// Slots of all of a pool's endpoints, up or not.
    pub fn declared_slots(&self, pool: PoolKey) -> u32 {
        self.pools[pool].declared
    }

    /// Whether a pool has an endpoint that holds an adapter, up or not.
    pub fn serves(&self, pool: PoolKey, adapter: Option<&AdapterName>) -> bool {
        let mut endpoints = self.pools[pool]
            .endpoints
            .iter()
            .map(|key| &self.endpoints[*key]);
        endpoints.any(|endpoint| adapter.is_none_or(|adapter| endpoint.adapters.contains(adapter)))
    }

    pub(crate) fn relist_all(&mut self, pool: PoolKey) {
        let endpoints = self.pools[pool].endpoints.clone();
        for endpoint in endpoints {
            self.relist(endpoint);
        }
    }
}
