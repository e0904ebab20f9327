//! The latest events of one process.

use crate::{Clock, Event, EventKind, Stamp};
use poplarswitch_entity::{CallId, Incarnation, VmName};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The events that one process handed out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recording {
    /// The VM.
    pub vm: VmName,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Events that were overwritten since the process started.
    pub lost: u64,
    /// Events in the order of their stamps.
    pub events: Vec<Event>,
}

/// Keeps the latest events and counts those that it had to drop.
#[derive(Clone, Debug)]
pub struct Ring {
    vm: VmName,
    incarnation: Incarnation,
    clock: Clock,
    capacity: usize,
    lost: u64,
    events: VecDeque<Event>,
}

impl Ring {
    /// Starts empty; keeps at least one event.
    pub fn new(vm: VmName, incarnation: Incarnation, capacity: usize) -> Self {
        Self {
            vm,
            incarnation,
            clock: Clock::new(),
            capacity: capacity.max(1),
            lost: 0,
            events: VecDeque::new(),
        }
    }

    /// Adds an event and returns its stamp.
    pub fn record(&mut self, wall_ms: u64, call: Option<CallId>, kind: EventKind) -> Stamp {
        let at = self.clock.tick(wall_ms);
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.lost += 1;
        }
        self.events.push_back(Event {
            at,
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            call,
            kind,
        });
        at
    }

    /// Moves the clock past a stamp that came with a message.
    pub fn observe(&mut self, wall_ms: u64, received: Stamp) {
        self.clock.observe(wall_ms, received);
    }

    /// The stamp to send with a message.
    pub const fn last(&self) -> Stamp {
        self.clock.last()
    }

    /// Events that were dropped.
    pub const fn lost(&self) -> u64 {
        self.lost
    }

    /// Events that are held.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Copies the events after a stamp, the oldest first, at most `limit` of them.
    pub fn after(&self, stamp: Stamp, limit: usize) -> Recording {
        let start = self.events.partition_point(|event| event.at <= stamp);
        Recording {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            lost: self.lost,
            events: self.events.range(start..).take(limit).cloned().collect(),
        }
    }

    /// Copies all events.
    pub fn recording(&self) -> Recording {
        self.after(Stamp::START, self.events.len())
    }
}
