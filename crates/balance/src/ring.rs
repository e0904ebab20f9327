//! Consistent hashing of prompt prefixes over the endpoints of a pool.
//!
//! Each endpoint stands at several points of the ring, drawn from its name, so an endpoint that
//! comes or goes moves only the prefixes next to its points. A prefix has a short list of
//! endpoints in a fixed order; the first of them that is not loaded beyond the bound is taken.

use crate::EndpointKey;
use poplarswitch_entity::{EndpointName, PrefixHash};
use xxhash_rust::xxh3::xxh3_64;

/// Points of each endpoint.
const POINTS: u64 = 24;
/// Sites on the list of a prefix.
const CHOICES: usize = 3;
/// Points walked at most to find them.
const MAX_STEPS: usize = 12;

/// The points of a pool's endpoints, in order.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    points: Vec<(u64, EndpointKey)>,
}

impl Ring {
    pub(crate) fn new<'a>(
        endpoints: impl Iterator<Item = (EndpointKey, &'a EndpointName)>,
    ) -> Self {
        let mut points = Vec::new();
        for (endpoint, name) in endpoints {
            let base = xxh3_64(name.as_str().as_bytes());
            points.extend((0..POINTS).map(|index| (spot(base, index), endpoint)));
        }
        points.sort_unstable();
        Self { points }
    }

    /// The endpoints for a prefix, the best first.
    pub(crate) fn choices(&self, prefix: PrefixHash) -> impl Iterator<Item = EndpointKey> + '_ {
        let spot = spot(prefix.0, POINTS);
        let start = self.points.partition_point(|(point, _)| *point < spot);
        let steps = MAX_STEPS.min(self.points.len());
        let walk = self.points.iter().cycle().skip(start).take(steps);
        let mut seen: Vec<EndpointKey> = Vec::with_capacity(CHOICES);
        walk.filter_map(move |(_, endpoint)| {
            let is_new = !seen.contains(endpoint);
            seen.push(*endpoint);
            is_new.then_some(*endpoint)
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
