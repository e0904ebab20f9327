//! The agenda of a run: what happens next, in the order of time and then of entry.

use poplarswitch_entity::{Attempt, Incarnation, Time};
use poplarswitch_pool::PoolMessage;
use poplarswitch_scheduler::{Input, Mode};
use std::collections::BTreeMap;

/// Something that will happen.
#[derive(Debug)]
pub enum Event {
    /// A call arrives.
    Arrive(usize),
    /// A VM should look at the clock.
    Wake(usize),
    /// A VM hears of a call or an endpoint.
    Hear(usize, Input),
    /// A VM receives a message from another.
    Receive(usize, Incarnation, PoolMessage),
    /// An endpoint receives a call.
    Start {
        /// Its index.
        endpoint: usize,
        /// Index of the call.
        call: usize,
        /// The dispatch.
        attempt: Attempt,
        /// How it starts.
        mode: Mode,
    },
    /// An endpoint is told to stop a call.
    Halt {
        /// Its index.
        endpoint: usize,
        /// Index of the call.
        call: usize,
        /// The dispatch.
        attempt: Attempt,
    },
    /// An endpoint has something to show, unless it changed since.
    Look(usize, u64),
    /// All endpoints publish their load.
    Publish,
    /// The trouble of the scenario begins.
    Break,
    /// The trouble of the scenario ends.
    Mend,
}

/// The events to come.
#[derive(Debug, Default)]
pub struct Agenda {
    events: BTreeMap<(Time, u64), Event>,
    entered: u64,
}

impl Agenda {
    /// Enters an event.
    pub fn add(&mut self, at: Time, event: Event) {
        self.entered += 1;
        self.events.insert((at, self.entered), event);
    }

    /// Takes the next event.
    pub fn next(&mut self) -> Option<(Time, Event)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
