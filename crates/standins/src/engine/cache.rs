//! The prefix cache and its events.

use serde::Serialize;
use std::collections::VecDeque;

/// Events kept for readers.
const KEPT_EVENTS: usize = 1_024;

/// A change of the cache.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct CacheEvent {
    /// Counts the changes; gaps are lost events.
    pub(super) seq: u64,
    /// The prefix.
    pub(super) prefix: u64,
    /// Whether it is now held.
    pub(super) held: bool,
}

/// Prefixes by last use.
#[derive(Debug)]
pub(super) struct PrefixCache {
    entries: usize,
    held: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    seq: u64,
}

impl PrefixCache {
    /// Starts empty.
    pub(super) const fn new(entries: usize) -> Self {
        Self {
            entries,
            held: VecDeque::new(),
            events: VecDeque::new(),
            seq: 0,
        }
    }

    /// Uses a prefix; says whether it was held.
    pub(super) fn touch(&mut self, prefix: u64) -> bool {
        let found = self.held.iter().position(|held| *held == prefix);
        if let Some(index) = found {
            self.held.remove(index);
        }
        self.held.push_back(prefix);
        if found.is_none() {
            self.note(prefix, true);
        }
        if self.held.len() > self.entries
            && let Some(evicted) = self.held.pop_front()
        {
            self.note(evicted, false);
        }
        found.is_some()
    }

    /// The events after a number.
    pub(super) fn events_after(&self, seq: u64) -> Vec<CacheEvent> {
        let newer = self.events.iter().filter(|event| event.seq > seq);
        newer.copied().collect()
    }

    fn note(&mut self, prefix: u64, held: bool) {
        self.seq += 1;
        let event = CacheEvent {
            seq: self.seq,
            prefix,
            held,
        };
        self.events.push_back(event);
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
