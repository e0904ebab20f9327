//! The endpoint to which a prompt prefix was last sent, or which reported it as cached.
//!
//! Cache events arrive late and with gaps, so they only correct the choice of the hash ring.
//! The table is bounded: the entry that was added first is evicted first.

use crate::EndpointKey;
use poplarswitch_entity::PrefixHash;
use std::collections::{HashMap, VecDeque};

/// Largest number of prefixes in the table.
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

    /// Clears the hint of a prefix if it names the endpoint; its entry stays until it is evicted.
    pub(crate) fn forget(&mut self, prefix: PrefixHash, endpoint: EndpointKey) {
        if self.endpoints.get(&prefix) == Some(&endpoint) {
            self.endpoints.insert(prefix, EndpointKey::default());
        }
    }
}
