//! The endpoints of one route and the views of them.

use crate::endpoint::Endpoint;
use crate::ring::Ring;
use crate::view::{View, ViewKey};
use crate::{Balancer, EndpointKey};
use poplarswitch_entity::{AdapterName, DataCentre};
use slotmap::{SlotMap, new_key_type};
use std::collections::BTreeMap;

new_key_type! {
    /// Identifies the pool of a route.
    pub struct PoolKey;
}

/// Identifies a cap of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CapKey(pub(crate) usize);

/// Limit on the slots of each endpoint that a group of calls may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cap {
    /// A share of the endpoint's slots, in percent.
    Percent(u32),
    /// All slots except this number over the whole pool, spread evenly over the endpoints.
    AllBut(u32),
}

/// Weight of a new report in the mean number of others' calls.
const EXTERNAL_WEIGHT: f64 = 0.1;

/// The endpoints of a pool in one data centre; their indices are consecutive.
#[derive(Clone, Debug)]
pub(crate) struct CentreRange {
    pub name: DataCentre,
    pub start: u32,
    pub count: u32,
}

#[derive(Debug)]
pub(crate) struct Pool {
    /// Ordered by data centre, then by name.
    pub endpoints: Vec<EndpointKey>,
    pub centres: Vec<CentreRange>,
    pub views: Vec<View>,
    pub ring: Ring,
    /// Endpoints on probation that may take a call now, each with whether its grace period is over.
    pub probes: BTreeMap<EndpointKey, bool>,
    pub caps: Vec<Cap>,
    /// Slots of the endpoints that are up or only suspended after a declined call.
    pub slots: u32,
    /// Slots of all endpoints, whether up or not.
    pub declared_slots: u32,
    /// Number of endpoints that are not up because they were slow.
    pub ejected: usize,
    /// Index of the endpoint that round robin tries next.
    pub next_index: usize,
    /// Mean number of others' calls per endpoint, assumed for endpoints without a recent report.
    pub external: f64,
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
            declared_slots: 0,
            ejected: 0,
            next_index: 0,
            external: 0.0,
        }
    }
}

impl Pool {
    pub(crate) fn record_external(&mut self, calls: f64) {
        self.external += (calls - self.external) * EXTERNAL_WEIGHT;
    }

    /// Slots of an endpoint that calls under a cap may hold; at least one, so that none starve.
    fn cap_slots(&self, cap: CapKey, endpoint: &Endpoint) -> u32 {
        let max_slots = match self.caps[cap.0] {
            Cap::Percent(percent) => endpoint.slots * percent / 100,
            Cap::AllBut(spare) => {
                let count = self.endpoints.len().max(1) as u32;
                let extra = u32::from(endpoint.position.index < spare % count);
                endpoint.slots.saturating_sub(spare / count + extra)
            }
        };
        max_slots.max(1)
    }

    /// Whether a view admits an endpoint, apart from its health and free slots.
    pub(crate) fn fits(&self, view: &View, endpoint: &Endpoint) -> bool {
        let has_adapter = view
            .adapter
            .as_ref()
            .is_none_or(|adapter| endpoint.adapters.contains(adapter));
        let mut caps = view.caps.iter();
        has_adapter && caps.all(|cap| endpoint.cap_calls(*cap) < self.cap_slots(*cap, endpoint))
    }

    /// Updates the entries of an endpoint in all views.
    pub(crate) fn reindex(&mut self, endpoint: &Endpoint, level: u32) {
        let usable = endpoint.health.is_up() && endpoint.has_slot();
        for index in 0..self.views.len() {
            let listed = usable && self.fits(&self.views[index], endpoint);
            self.views[index].set(endpoint.position, listed.then_some(level));
        }
    }

    /// Empties all views after the positions of the endpoints have changed.
    pub(crate) fn clear_views(&mut self) {
        let counts = self.centre_counts();
        for view in &mut self.views {
            *view = View::new(&view.caps, view.adapter.clone(), &counts);
        }
        self.probes.clear();
    }

    /// Number of endpoints in each data centre.
    fn centre_counts(&self) -> Vec<usize> {
        let centres = self.centres.iter();
        centres.map(|centre| centre.count as usize).collect()
    }

    /// The index of a data centre.
    pub(crate) fn centre_index(&self, name: &DataCentre) -> Option<u32> {
        let found = self
            .centres
            .binary_search_by(|centre| centre.name.cmp(name));
        found.ok().map(|index| index as u32)
    }

    pub(crate) fn count_slots(&mut self, endpoints: &SlotMap<EndpointKey, Endpoint>) {
        let all = self.endpoints.iter().map(|key| &endpoints[*key]);
        self.declared_slots = all.clone().map(|endpoint| endpoint.slots).sum();
        self.slots = all
            .filter(|endpoint| endpoint.health.is_up() || endpoint.health.is_busy())
            .map(|endpoint| endpoint.slots)
            .sum();
    }
}

impl Balancer {
    /// Adds a cap to a pool.
    pub fn add_cap(&mut self, pool: PoolKey, cap: Cap) -> CapKey {
        let caps = &mut self.pools[pool].caps;
        caps.push(cap);
        CapKey(caps.len() - 1)
    }

    /// Changes a cap.
    pub fn set_cap(&mut self, pool: PoolKey, key: CapKey, cap: Cap) {
        if self.pools[pool].caps[key.0] == cap {
            return;
        }
        self.pools[pool].caps[key.0] = cap;
        self.reindex_all(pool);
    }

    /// The view for calls under the given caps and with the given adapter; created if missing.
    pub fn view(
        &mut self,
        pool: PoolKey,
        caps: &[CapKey],
        adapter: Option<&AdapterName>,
    ) -> ViewKey {
        let counts = self.pools[pool].centre_counts();
        let views = &mut self.pools[pool].views;
        let same = |view: &View| view.caps == caps && view.adapter.as_ref() == adapter;
        if let Some(index) = views.iter().position(same) {
            return ViewKey(index);
        }
        views.push(View::new(caps, adapter.cloned(), &counts));
        let view = ViewKey(views.len() - 1);
        self.reindex_all(pool);
        view
    }

    /// Whether an endpoint can take a call of a view now.
    ///
    /// `avoid_probation` says whether the call avoids endpoints on probation.
    pub fn has_room(&self, pool: PoolKey, view: ViewKey, avoid_probation: bool) -> bool {
        let pool = &self.pools[pool];
        !pool.views[view.0].is_empty()
            || self.probe_for(pool, view, None, avoid_probation).is_some()
    }

    /// Slots of the endpoints of a pool that are up or only suspended after a declined call.
    pub fn slots(&self, pool: PoolKey) -> u32 {
        self.pools[pool].slots
    }

    /// Slots of all endpoints of a pool, whether up or not.
    pub fn declared_slots(&self, pool: PoolKey) -> u32 {
        self.pools[pool].declared_slots
    }

    /// Whether an endpoint of a pool holds an adapter, whether up or not.
    pub fn serves(&self, pool: PoolKey, adapter: Option<&AdapterName>) -> bool {
        let mut endpoints = self.pools[pool]
            .endpoints
            .iter()
            .map(|key| &self.endpoints[*key]);
        endpoints.any(|endpoint| adapter.is_none_or(|adapter| endpoint.adapters.contains(adapter)))
    }

    pub(crate) fn reindex_all(&mut self, pool: PoolKey) {
        let endpoints = self.pools[pool].endpoints.clone();
        for endpoint in endpoints {
            self.reindex(endpoint);
        }
    }
}
