//! The endpoints of a pool that one kind of call may use, by load level.

use crate::CapKey;
use crate::buckets::Buckets;
use poplarswitch_entity::AdapterName;

/// Identifies a view of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ViewKey(pub(crate) usize);

impl ViewKey {
    /// All endpoints that are up and have a free slot.
    pub const ALL: Self = Self(0);
}

/// The indices of an endpoint: in its pool, of its data centre, and within its data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PoolPosition {
    pub index: u32,
    pub centre: u32,
    pub local: u32,
}

#[derive(Debug)]
pub(crate) struct View {
    pub caps: Vec<CapKey>,
    pub adapter: Option<AdapterName>,
    all: Buckets,
    by_centre: Vec<Buckets>,
}

impl View {
    /// Creates an empty view; `centres` are the numbers of endpoints in each data centre.
    pub(crate) fn new(caps: &[CapKey], adapter: Option<AdapterName>, centres: &[usize]) -> Self {
        Self {
            caps: caps.to_vec(),
            adapter,
            all: Buckets::new(centres.iter().sum()),
            by_centre: centres.iter().copied().map(Buckets::new).collect(),
        }
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The level at which an endpoint is listed, if it is listed.
    pub(crate) fn level(&self, position: PoolPosition) -> Option<u32> {
        self.all.level(position.index)
    }

    /// Lists an endpoint at a level, or removes it.
    pub(crate) fn set(&mut self, position: PoolPosition, level: Option<u32>) {
        self.all.set(position.index, level);
        self.by_centre[position.centre as usize].set(position.local, level);
    }

    /// The pool index of the least loaded endpoint other than `avoid`; `draw` selects among equal
    /// endpoints.
    pub(crate) fn least(&self, draw: u32, avoid: Option<PoolPosition>) -> Option<u32> {
        self.all.least(draw, avoid.map(|position| position.index))
    }

    /// The index within a data centre of its least loaded endpoint other than `avoid`; `draw`
    /// selects among equal endpoints.
    pub(crate) fn least_in_centre(
        &self,
        centre: u32,
        draw: u32,
        avoid: Option<PoolPosition>,
    ) -> Option<u32> {
        let avoid = avoid.filter(|position| position.centre == centre);
        let centre = self.by_centre.get(centre as usize)?;
        centre.least(draw, avoid.map(|position| position.local))
    }
}
