//! The endpoints of one route, and the views of them.

use crate::ring::Ring;
use crate::site::Site;
use crate::view::{View, ViewKey};
use crate::{Balancer, SiteKey};
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

/// The sites of a pool in one data centre; their numbers follow each other.
#[derive(Clone, Debug)]
pub(crate) struct Centre {
    pub name: DataCentre,
    pub start: u32,
    pub count: u32,
}

#[derive(Debug)]
pub(crate) struct Pool {
    /// By data centre, then by name.
    pub sites: Vec<SiteKey>,
    pub centres: Vec<Centre>,
    pub views: Vec<View>,
    pub ring: Ring,
    /// Sites that may take one call to prove themselves, and whether careful ones too.
    pub probes: BTreeMap<SiteKey, bool>,
    pub caps: Vec<Cap>,
    /// Slots of the sites that are up or merely rest.
    pub slots: u32,
    /// Slots of all sites, up or not.
    pub declared: u32,
    /// Sites that are out because they are slow.
    pub ejected: usize,
    /// Next site in turn.
    pub turn: usize,
    /// Mean of others' calls per site, for sites without a recent report.
    pub foreign: f64,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            sites: Vec::new(),
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

    /// Calls of a cap that a site may hold; at least one, so that its calls progress.
    fn cap_of(&self, cap: CapKey, site: &Site) -> u32 {
        let most = match self.caps[cap.0] {
            Cap::Percent(percent) => site.slots * percent / 100,
            Cap::AllBut(spare) => {
                let count = self.sites.len().max(1) as u32;
                let extra = u32::from(site.seat.index < spare % count);
                site.slots.saturating_sub(spare / count + extra)
            }
        };
        most.max(1)
    }

    /// Whether a view may list a site that is up and has a slot.
    pub(crate) fn fits(&self, view: &View, site: &Site) -> bool {
        let has_adapter = view
            .adapter
            .as_ref()
            .is_none_or(|adapter| site.adapters.contains(adapter));
        let mut caps = view.caps.iter();
        has_adapter && caps.all(|cap| site.held(*cap) < self.cap_of(*cap, site))
    }

    /// Lists a site anew in all views.
    pub(crate) fn relist(&mut self, site: &Site, level: u32) {
        let usable = site.health.is_up() && site.has_slot();
        for index in 0..self.views.len() {
            let listed = usable && self.fits(&self.views[index], site);
            self.views[index].set(site.seat, listed.then_some(level));
        }
    }

    /// Empties all views for sites with new numbers.
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

    pub(crate) fn count_slots(&mut self, sites: &SlotMap<SiteKey, Site>) {
        let all = self.sites.iter().map(|key| &sites[*key]);
        self.declared = all.clone().map(|site| site.slots).sum();
        self.slots = all
            .filter(|site| site.health.is_up() || site.health.is_resting())
            .map(|site| site.slots)
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

    /// Whether a call with a view can be placed now; a cautious one keeps away from probes.
    pub fn has_room(&self, pool: PoolKey, view: ViewKey, cautious: bool) -> bool {
        let pool = &self.pools[pool];
        !pool.views[view.0].is_empty() || self.probe_for(pool, view, None, cautious).is_some()
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
        let mut sites = self.pools[pool].sites.iter().map(|key| &self.sites[*key]);
        sites.any(|site| adapter.is_none_or(|adapter| site.adapters.contains(adapter)))
    }

    pub(crate) fn relist_all(&mut self, pool: PoolKey) {
        let sites = self.pools[pool].sites.clone();
        for site in sites {
            self.relist(site);
        }
    }
}
