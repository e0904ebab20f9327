//! The open links, by peer.

use poplarswitch_entity::Incarnation;
use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};
use tokio::sync::mpsc::Sender;

/// An open link and the sender of its queue.
#[derive(Debug)]
struct LinkEntry {
    id: u64,
    queue: Sender<Vec<u8>>,
}

#[derive(Debug, Default)]
struct Links {
    /// The links to each peer, the oldest first.
    by_peer: HashMap<Incarnation, Vec<LinkEntry>>,
    last_id: u64,
}

/// The open links of this VM; two VMs that dial each other at the same time have two links.
#[derive(Debug, Default)]
pub(crate) struct LinkTable {
    links: Mutex<Links>,
}

impl LinkTable {
    fn lock(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a link; returns its ID and whether it is the only one to its peer.
    pub(crate) fn add(&self, peer: Incarnation, queue: Sender<Vec<u8>>) -> (u64, bool) {
        let mut table = self.lock();
        table.last_id += 1;
        let id = table.last_id;
        let links = table.by_peer.entry(peer).or_default();
        links.push(LinkEntry { id, queue });
        (id, links.len() == 1)
    }

    /// Removes a link; returns whether it was the last one to its peer.
    pub(crate) fn remove(&self, peer: Incarnation, id: u64) -> bool {
        let mut table = self.lock();
        let Some(links) = table.by_peer.get_mut(&peer) else {
            return false;
        };
        links.retain(|link| link.id != id);
        let last = links.is_empty();
        if last {
            table.by_peer.remove(&peer);
        }
        last
    }

    /// Removes all links to a peer, which closes them; returns whether there was any.
    pub(crate) fn remove_peer(&self, peer: Incarnation) -> bool {
        self.lock().by_peer.remove(&peer).is_some()
    }

    /// Queues a frame on the oldest link to a peer; returns false if there is no link or its queue
    /// is full.
    pub(crate) fn send(&self, peer: Incarnation, bytes: Vec<u8>) -> bool {
        let table = self.lock();
        let oldest = table.by_peer.get(&peer).and_then(|links| links.first());
        oldest.is_some_and(|link| link.queue.try_send(bytes).is_ok())
    }
}
