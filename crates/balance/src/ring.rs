//! Consistent hashing of prompt prefixes over the endpoints of a pool.
//!
//! Each endpoint has several points on the ring, hashed from its name, so adding or removing an
//! endpoint moves only the prefixes next to its points. A prefix has a short list of endpoints
//! in a fixed order; the first one whose load is within the affinity allowance is chosen.

use crate::EndpointKey;
use poplarswitch_entity::{EndpointName, PrefixHash};
use xxhash_rust::xxh3::xxh3_64;

/// Points on the ring per endpoint.
const POINTS_PER_ENDPOINT: u64 = 24;
/// Largest number of endpoints in the list of a prefix.
const MAX_CHOICES: usize = 3;
/// Largest number of points visited to find the endpoints of a prefix.
const MAX_STEPS: usize = 12;

/// The points of a pool's endpoints, in ring order.
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
            points.extend((0..POINTS_PER_ENDPOINT).map(|index| (point(base, index), endpoint)));
        }
        points.sort_unstable();
        Self { points }
    }

    /// The endpoints for a prefix, in order of preference.
    pub(crate) fn choices(&self, prefix: PrefixHash) -> impl Iterator<Item = EndpointKey> + '_ {
        let target = point(prefix.0, POINTS_PER_ENDPOINT);
        let start = self.points.partition_point(|(point, _)| *point < target);
        let steps = MAX_STEPS.min(self.points.len());
        let points = self.points.iter().cycle().skip(start).take(steps);
        let mut seen: Vec<EndpointKey> = Vec::with_capacity(MAX_CHOICES);
        points
            .filter_map(move |(_, endpoint)| {
                let is_new = !seen.contains(endpoint);
                seen.push(*endpoint);
                is_new.then_some(*endpoint)
            })
            .take(MAX_CHOICES)
    }
}

/// A point on the ring.
///
/// Base and index are hashed together as sixteen bytes, because points of short names that
/// differ only in the seed of the hash are not spread evenly.
fn point(base: u64, index: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&base.to_le_bytes());
    bytes[8..].copy_from_slice(&index.to_le_bytes());
    xxh3_64(&bytes)
}
