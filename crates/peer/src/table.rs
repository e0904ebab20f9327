//! The open links, by peer.

use poplarswitch_entity::Incarnation;
use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};
use tokio::sync::mpsc::Sender;

/// A link's end of its queue.
#[derive(Debug)]
struct Slot {
    number: u64,
    queue: Sender<Vec<u8>>,
}

#[derive(Debug, Default)]
struct Slots {
    by_peer: HashMap<Incarnation, Vec<Slot>>,
    last: u64,
}

/// The open links; two VMs that dial each other at once have two.
#[derive(Debug, Default)]
pub(crate) struct Table {
    slots: Mutex<Slots>,
}

impl Table {
    fn lock(&self) -> MutexGuard<'_, Slots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a link; returns its number and whether it is the first to its peer.
    pub(crate) fn open(&self, peer: Incarnation, queue: Sender<Vec<u8>>) -> (u64, bool) {
        let mut slots = self.lock();
        slots.last += 1;
        let number = slots.last;
        let links = slots.by_peer.entry(peer).or_default();
        links.push(Slot { number, queue });
        (number, links.len() == 1)
    }

    /// Takes a link away; whether it was the last to its peer.
    pub(crate) fn closed(&self, peer: Incarnation, number: u64) -> bool {
        let mut slots = self.lock();
        let Some(links) = slots.by_peer.get_mut(&peer) else {
            return false;
        };
        links.retain(|slot| slot.number != number);
        let last = links.is_empty();
        if last {
            slots.by_peer.remove(&peer);
        }
        last
    }

    /// Takes all links to a peer away, which ends them; whether there was one.
    pub(crate) fn close(&self, peer: Incarnation) -> bool {
        self.lock().by_peer.remove(&peer).is_some()
    }

    /// Queues a frame on the oldest link; false if there is none or it is full.
    pub(crate) fn send(&self, peer: Incarnation, bytes: Vec<u8>) -> bool {
        let slots = self.lock();
        let oldest = slots.by_peer.get(&peer).and_then(|links| links.first());
        oldest.is_some_and(|slot| slot.queue.try_send(bytes).is_ok())
    }
}
