//! Consistent hashing of prompt prefixes over the sites of a pool.
//!
//! Each site stands at several points of the ring, drawn from its name, so a site that
//! comes or goes moves only the prefixes next to its points. A prefix has a short list of
//! sites in a fixed order; the first of them that is not loaded beyond the bound is taken.

use crate::SiteKey;
use poplarswitch_entity::{EndpointName, PrefixHash};
use xxhash_rust::xxh3::xxh3_64;

/// Points of each site.
const POINTS: u64 = 24;
/// Sites on the list of a prefix.
const CHOICES: usize = 3;
/// Points walked at most to find them.
const MAX_STEPS: usize = 12;

/// The points of a pool's sites, in order.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    points: Vec<(u64, SiteKey)>,
}

impl Ring {
    pub(crate) fn new<'a>(sites: impl Iterator<Item = (SiteKey, &'a EndpointName)>) -> Self {
        let mut points = Vec::new();
        for (site, name) in sites {
            let base = xxh3_64(name.as_str().as_bytes());
            points.extend((0..POINTS).map(|index| (spot(base, index), site)));
        }
        points.sort_unstable();
        Self { points }
    }

    /// The sites for a prefix, the best first.
    pub(crate) fn choices(&self, prefix: PrefixHash) -> impl Iterator<Item = SiteKey> + '_ {
        let spot = spot(prefix.0, POINTS);
        let start = self.points.partition_point(|(point, _)| *point < spot);
        let steps = MAX_STEPS.min(self.points.len());
        let walk = self.points.iter().cycle().skip(start).take(steps);
        let mut seen: Vec<SiteKey> = Vec::with_capacity(CHOICES);
        walk.filter_map(move |(_, site)| {
            let is_new = !seen.contains(site);
            seen.push(*site);
            is_new.then_some(*site)
        })
        .take(CHOICES)
    }
}

/// A place on the ring.
///
/// Hashes sixteen bytes, because points of short names that differ in the seed only are
/// not spread evenly.
fn spot(base: u64, index: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&base.to_le_bytes());
    bytes[8..].copy_from_slice(&index.to_le_bytes());
    xxh3_64(&bytes)
}
