//! Where a prompt prefix was lately sent or reported to be cached.
//!
//! Cache events are late and have gaps, so they only correct the guess of the ring. The
//! table is bounded: the oldest entry goes first.

use crate::EndpointKey;
use poplarswitch_entity::PrefixHash;
use std::collections::{HashMap, VecDeque};

/// Prefixes remembered at most.
const MAX_HINTS: usize = 32_768;

#[derive(Debug, Default)]
pub(crate) struct Hints {
    endpoints: HashMap<PrefixHash, EndpointKey>,
    order: VecDeque<PrefixHash>,
}

impl Hints {
    pub(crate) fn get(&self, prefix: PrefixHash) -> Option<EndpointKey> {
        self.endpoints.get(&prefix).copied()
    }

    pub(crate) fn insert(&mut self, prefix: PrefixHash, endpoint: EndpointKey) {
        if self.endpoints.insert(prefix, endpoint).is_some() {
            return;
        }
        self.order.push_back(prefix);
        if self.order.len() > MAX_HINTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.endpoints.remove(&oldest);
        }
    }

    /// Marks a prefix as gone from an endpoint; its place in the order stays until it is oldest.
    pub(crate) fn forget(&mut self, prefix: PrefixHash, endpoint: EndpointKey) {
        if self.endpoints.get(&prefix) == Some(&endpoint) {
            self.endpoints.insert(prefix, EndpointKey::default());
        }
    }
}
