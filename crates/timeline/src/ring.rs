//! Ring buffer of the latest events of a process.

use crate::{Clock, Event, EventKind, Stamp};
use poplarswitch_entity::{CallId, Incarnation, VmName};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Copy of events of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recording {
    /// VM of the process.
    pub vm: VmName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Number of events that the ring dropped since the process started.
    pub lost: u64,
    /// Events in the order of their stamps.
    pub events: Vec<Event>,
}

/// Ring buffer that keeps the latest events and counts the dropped ones.
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
    /// Creates an empty ring that keeps `capacity` events, but at least one.
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

    /// Adds an event and returns its stamp, given the wall clock in Unix milliseconds.
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

    /// Advances the clock to a stamp that was received with a message.
    pub fn observe(&mut self, wall_ms: u64, received: Stamp) {
        self.clock.observe(wall_ms, received);
    }

    /// The latest stamp, to be sent with messages.
    pub const fn last(&self) -> Stamp {
        self.clock.last()
    }

    /// Number of events that were dropped.
    pub const fn lost(&self) -> u64 {
        self.lost
    }

    /// Number of events in the ring.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Whether the ring has no events.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Copies at most `limit` events after a stamp, oldest first.
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
