//! The endpoints of a pool that one kind of call may use, by load.

use crate::CapKey;
use crate::buckets::Buckets;
use poplarswitch_entity::AdapterName;

/// Refers to a view of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ViewKey(pub(crate) usize);

impl ViewKey {
    /// All endpoints with a free slot.
    pub const ALL: Self = Self(0);
}

/// An endpoint's number in its pool, and in the part of the pool in its data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Seat {
    pub index: u32,
    pub centre: u32,
    pub local: u32,
}

#[derive(Debug)]
pub(crate) struct View {
    pub caps: Vec<CapKey>,
    pub adapter: Option<AdapterName>,
    all: Buckets,
    near: Vec<Buckets>,
}

impl View {
    /// Starts empty, for data centres with so many endpoints each.
    pub(crate) fn new(caps: &[CapKey], adapter: Option<AdapterName>, centres: &[usize]) -> Self {
        Self {
            caps: caps.to_vec(),
            adapter,
            all: Buckets::new(centres.iter().sum()),
            near: centres.iter().copied().map(Buckets::new).collect(),
        }
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The level at which an endpoint is listed, if it is.
    pub(crate) fn level(&self, seat: Seat) -> Option<u32> {
        self.all.level(seat.index)
    }

    /// Lists an endpoint at a level, or takes it out.
    pub(crate) fn set(&mut self, seat: Seat, level: Option<u32>) {
        self.all.set(seat.index, level);
        self.near[seat.centre as usize].set(seat.local, level);
    }

    /// The number of the least loaded endpoint but one that is to be avoided.
    pub(crate) fn least(&self, draw: u32, avoid: Option<Seat>) -> Option<u32> {
        self.all.least(draw, avoid.map(|seat| seat.index))
    }

    /// The number within a data centre of its least loaded endpoint but one to be avoided.
    pub(crate) fn least_near(&self, centre: u32, draw: u32, avoid: Option<Seat>) -> Option<u32> {
        let avoid = avoid.filter(|seat| seat.centre == centre);
        let near = self.near.get(centre as usize)?;
        near.least(draw, avoid.map(|seat| seat.local))
    }
}
