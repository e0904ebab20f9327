//! An engine's prefix cache: the prefixes used last, up to a number.

use poplarswitch_entity::PrefixHash;
use std::collections::VecDeque;

/// Prefixes that an engine's memory holds.
const CAPACITY: usize = 24;

/// The prefixes, the one used last at the back.
#[derive(Debug, Default)]
pub struct Cache {
    held: VecDeque<PrefixHash>,
}

/// What a use of the cache did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Use {
    /// Whether the prefix was held.
    pub hit: bool,
    /// The prefix that had to go.
    pub evicted: Option<PrefixHash>,
}

impl Cache {
    /// Uses a prefix, which is held from now on.
    pub fn touch(&mut self, prefix: PrefixHash) -> Use {
        let place = self.held.iter().position(|held| *held == prefix);
        if let Some(place) = place {
            self.held.remove(place);
        }
        self.held.push_back(prefix);
        let full = self.held.len() > CAPACITY;
        Use {
            hit: place.is_some(),
            evicted: if full { self.held.pop_front() } else { None },
        }
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.held.clear();
    }
}
