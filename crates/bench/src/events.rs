//! The event queue of a run.

use poplarswitch_entity::{Attempt, Incarnation, Time};
use poplarswitch_pool::PoolMessage;
use poplarswitch_scheduler::{Input, Mode};
use std::collections::BTreeMap;

/// A simulated event.
#[derive(Debug)]
pub enum Event {
    /// A call, given by its index, arrives at its VM.
    CallArrival(usize),
    /// The timer of a VM, given by its index, expires.
    VmWake(usize),
    /// A VM, given by its index, receives an input of its scheduler.
    SchedulerInput(usize, Input),
    /// A VM, given by its index, receives a message from another VM.
    PeerMessage(usize, Incarnation, PoolMessage),
    /// An endpoint receives a call.
    Dispatch {
        /// Index of the endpoint.
        endpoint: usize,
        /// Index of the call.
        call: usize,
        /// Number of the dispatch.
        attempt: Attempt,
        /// Position in the answer at which the dispatch starts.
        mode: Mode,
    },
    /// An endpoint receives the instruction to stop a dispatch.
    Stop {
        /// Index of the endpoint.
        endpoint: usize,
        /// Index of the call.
        call: usize,
        /// Number of the dispatch.
        attempt: Attempt,
    },
    /// An endpoint, given by its index, is due for an update. Ignored if the endpoint's change
    /// count differs from the given one.
    EndpointUpdate(usize, u64),
    /// All endpoints report their load.
    LoadReports,
    /// The fault of the scenario starts.
    FaultStart,
    /// The fault of the scenario ends.
    FaultEnd,
}

/// Pending events, ordered by their time and then by the order in which they were added.
#[derive(Debug, Default)]
pub struct EventQueue {
    events: BTreeMap<(Time, u64), Event>,
    added: u64,
}

impl EventQueue {
    /// Adds an event.
    pub fn push(&mut self, at: Time, event: Event) {
        self.added += 1;
        self.events.insert((at, self.added), event);
    }

    /// Removes and returns the next event with its time.
    pub fn pop(&mut self) -> Option<(Time, Event)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
