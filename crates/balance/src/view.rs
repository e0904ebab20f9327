//! The sites of a pool that one kind of call may use, ordered by load.

use crate::{CapKey, SiteKey};
use poplarswitch_entity::{AdapterName, DataCentre};
use std::collections::{BTreeMap, BTreeSet};

/// Refers to a view of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ViewKey(pub(crate) usize);

impl ViewKey {
    /// All sites with a free slot.
    pub const ALL: Self = Self(0);
}

/// A site's place in the order of load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub level: u32,
    /// Drawn anew at each change, so that equals are taken in random order.
    pub tie: u32,
    pub site: SiteKey,
}

#[derive(Debug, Default)]
pub(crate) struct View {
    pub caps: Vec<CapKey>,
    pub adapter: Option<AdapterName>,
    all: BTreeSet<Rank>,
    near: BTreeMap<DataCentre, BTreeSet<Rank>>,
}

impl View {
    pub(crate) fn new(caps: &[CapKey], adapter: Option<AdapterName>) -> Self {
        Self {
            caps: caps.to_vec(),
            adapter,
            ..Self::default()
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    pub(crate) fn insert(&mut self, rank: Rank, data_centre: &DataCentre) {
        self.all.insert(rank);
        match self.near.get_mut(data_centre) {
            Some(ranks) => ranks.insert(rank),
            None => self
                .near
                .entry(data_centre.clone())
                .or_default()
                .insert(rank),
        };
    }

    pub(crate) fn remove(&mut self, rank: &Rank, data_centre: &DataCentre) {
        self.all.remove(rank);
        if let Some(ranks) = self.near.get_mut(data_centre) {
            ranks.remove(rank);
        }
    }

    /// The least loaded site but one that is to be avoided.
    pub(crate) fn least(&self, avoid: Option<SiteKey>) -> Option<Rank> {
        first(&self.all, avoid)
    }

    /// The least loaded site of a data centre but one that is to be avoided.
    pub(crate) fn least_near(
        &self,
        data_centre: &DataCentre,
        avoid: Option<SiteKey>,
    ) -> Option<Rank> {
        first(self.near.get(data_centre)?, avoid)
    }
}

fn first(ranks: &BTreeSet<Rank>, avoid: Option<SiteKey>) -> Option<Rank> {
    let mut ranks = ranks.iter();
    ranks.find(|rank| Some(rank.site) != avoid).copied()
}
