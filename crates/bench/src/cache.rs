//! A simulated prefix cache with eviction of the least recently used prefix.

use poplarswitch_entity::PrefixHash;
use std::collections::VecDeque;

/// Number of prefixes that the cache of an engine holds.
const CAPACITY: usize = 24;

/// Cached prefixes in the order of their last use, the most recent at the back.
#[derive(Debug, Default)]
pub struct PrefixCache {
    prefixes: VecDeque<PrefixHash>,
}

/// Result of an access to the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheAccess {
    /// Whether the prefix was cached before the access.
    pub hit: bool,
    /// The prefix that was evicted.
    pub evicted: Option<PrefixHash>,
}

impl PrefixCache {
    /// Looks a prefix up, and adds it on a miss.
    pub fn access(&mut self, prefix: PrefixHash) -> CacheAccess {
        let index = self.prefixes.iter().position(|cached| *cached == prefix);
        if let Some(index) = index {
            self.prefixes.remove(index);
        }
        self.prefixes.push_back(prefix);
        let full = self.prefixes.len() > CAPACITY;
        CacheAccess {
            hit: index.is_some(),
            evicted: if full {
                self.prefixes.pop_front()
            } else {
                None
            },
        }
    }

    /// Removes all prefixes.
    pub fn clear(&mut self) {
        self.prefixes.clear();
    }
}
