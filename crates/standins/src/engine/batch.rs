//! The slots of the batch and the queue before them.

use crate::service::lock;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};
use tokio::sync::oneshot;

/// The place of a waiting call: priority, then arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    priority: u8,
    seq: u64,
}

/// Running and waiting calls.
#[derive(Debug)]
pub(super) struct Batch {
    slots: u32,
    running: u32,
    next: u64,
    waiting: BTreeMap<Place, oneshot::Sender<Slot>>,
}

/// A taken slot; dropping it serves the next waiting call.
#[derive(Debug)]
pub(super) struct Slot {
    batch: Option<Arc<Mutex<Batch>>>,
}

impl Slot {
    fn taken(batch: &Arc<Mutex<Batch>>) -> Self {
        Self {
            batch: Some(Arc::clone(batch)),
        }
    }
}

impl Batch {
    /// Starts empty.
    pub(super) const fn new(slots: u32) -> Self {
        Self {
            slots,
            running: 0,
            next: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Calls in the batch.
    pub(super) const fn running(&self) -> u32 {
        self.running
    }

    /// Calls before the batch.
    pub(super) fn queued(&self) -> u32 {
        self.waiting.len() as u32
    }
}

/// Waits for a slot.
pub(super) async fn enter(batch: &Arc<Mutex<Batch>>, priority: u8) -> Option<Slot> {
    let receiver = {
        let mut state = lock(batch);
        if state.running < state.slots {
            state.running += 1;
            return Some(Slot::taken(batch));
        }
        let (sender, receiver) = oneshot::channel();
        let place = Place {
            priority,
            seq: state.next,
        };
        state.next += 1;
        state.waiting.insert(place, sender);
        receiver
    };
    receiver.await.ok()
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(batch) = self.batch.take() else {
            return;
        };
        let mut state = lock(&batch);
        while let Some((_, sender)) = state.waiting.pop_first() {
            match sender.send(Self::taken(&batch)) {
                Ok(()) => return,
                Err(mut returned) => returned.batch = None,
            }
        }
        state.running -= 1;
    }
}
