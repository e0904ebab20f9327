//! The slots of the batch, and the queue of calls that wait for a slot.

use crate::service::lock;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};
use tokio::sync::oneshot;

/// Position of a call in the queue: by priority, lowest value first, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    priority: u8,
    seq: u64,
}

/// The number of running calls, and the queue.
#[derive(Debug)]
pub(super) struct Batch {
    slots: u32,
    running: u32,
    next_seq: u64,
    queue: BTreeMap<QueuePosition, oneshot::Sender<Slot>>,
}

/// An occupied slot; dropping it passes the slot to the first call in the queue.
#[derive(Debug)]
pub(super) struct Slot {
    batch: Option<Arc<Mutex<Batch>>>,
}

impl Slot {
    fn occupied(batch: &Arc<Mutex<Batch>>) -> Self {
        Self {
            batch: Some(Arc::clone(batch)),
        }
    }
}

impl Batch {
    /// Creates an empty batch with an empty queue.
    pub(super) const fn new(slots: u32) -> Self {
        Self {
            slots,
            running: 0,
            next_seq: 0,
            queue: BTreeMap::new(),
        }
    }

    /// Number of calls in the batch.
    pub(super) const fn running(&self) -> u32 {
        self.running
    }

    /// Number of calls in the queue.
    pub(super) fn queued(&self) -> u32 {
        self.queue.len() as u32
    }
}

/// Waits for a slot; priority 0 is served first.
pub(super) async fn acquire_slot(batch: &Arc<Mutex<Batch>>, priority: u8) -> Option<Slot> {
    let receiver = {
        let mut state = lock(batch);
        if state.running < state.slots {
            state.running += 1;
            return Some(Slot::occupied(batch));
        }
        let (sender, receiver) = oneshot::channel();
        let position = QueuePosition {
            priority,
            seq: state.next_seq,
        };
        state.next_seq += 1;
        state.queue.insert(position, sender);
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
        while let Some((_, sender)) = state.queue.pop_first() {
            match sender.send(Self::occupied(&batch)) {
                Ok(()) => return,
                // The waiting call was dropped. Without a batch, the drop of the returned slot
                // does not lock the batch, which is locked already.
                Err(mut returned) => returned.batch = None,
            }
        }
        state.running -= 1;
    }
}
