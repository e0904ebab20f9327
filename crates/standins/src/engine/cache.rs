//! The prefix cache, with eviction of the least recently used prefix, and its events.

use serde::Serialize;
use std::collections::VecDeque;

/// Number of events that are kept for readers.
const MAX_EVENTS: usize = 1_024;

/// An addition to the cache or an eviction.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct CacheEvent {
    /// Sequence number of the event, from 1; a gap in the numbers means that events were lost.
    pub(super) seq: u64,
    /// Hash of the prefix.
    pub(super) prefix: u64,
    /// Whether the cache now holds the prefix.
    pub(super) held: bool,
}

/// Cached prefixes in the order of their last use, the most recent at the back.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    prefixes: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    seq: u64,
}

impl PrefixCache {
    /// Creates an empty cache for a number of prefixes.
    pub(super) const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            prefixes: VecDeque::new(),
            events: VecDeque::new(),
            seq: 0,
        }
    }

    /// Looks a prefix up, and adds it on a miss; returns whether it was a hit.
    pub(super) fn access(&mut self, prefix: u64) -> bool {
        let found = self.prefixes.iter().position(|cached| *cached == prefix);
        if let Some(index) = found {
            self.prefixes.remove(index);
        }
        self.prefixes.push_back(prefix);
        if found.is_none() {
            self.record_event(prefix, true);
        }
        if self.prefixes.len() > self.capacity
            && let Some(evicted) = self.prefixes.pop_front()
        {
            self.record_event(evicted, false);
        }
        found.is_some()
    }

    /// The kept events after a sequence number.
    pub(super) fn events_after(&self, seq: u64) -> Vec<CacheEvent> {
        let newer = self.events.iter().filter(|event| event.seq > seq);
        newer.copied().collect()
    }

    fn record_event(&mut self, prefix: u64, held: bool) {
        self.seq += 1;
        let event = CacheEvent {
            seq: self.seq,
            prefix,
            held,
        };
        self.events.push_back(event);
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
