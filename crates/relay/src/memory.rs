//! Memory of calls, counted until its bytes are freed; see [`MemoryAccount`].

use bytes::Bytes;
use core::time::Duration;
use poplarswitch_ingress::{MemoryAccount, MemoryDecision, MemoryTicket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::{sync::Notify, time::timeout};

/// The account of this VM, and the calls that wait for room.
#[derive(Debug)]
pub(crate) struct CallMemory {
    account: Mutex<MemoryAccount>,
    freed: Notify,
}

impl CallMemory {
    pub(crate) fn new(memory_bytes: u64) -> Arc<Self> {
        Arc::new(Self {
            account: Mutex::new(MemoryAccount::new(memory_bytes)),
            freed: Notify::new(),
        })
    }

    /// Whether there is room for another call beside those in flight.
    pub(crate) fn has_room(&self, in_flight: usize) -> bool {
        self.lock().has_room(in_flight)
    }

    /// Reserves memory, and waits until there is room, at most for `time_limit`.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        bytes: u64,
        in_flight: impl Fn() -> usize,
        time_limit: Duration,
    ) -> Option<HeldMemory> {
        let ticket = self.lock().join(bytes);
        // A call that is cancelled leaves the line.
        let place = Place {
            memory: self,
            ticket,
        };
        let reserved = async {
            loop {
                let freed = self.freed.notified();
                let decision = self.lock().take(ticket, in_flight());
                match decision {
                    MemoryDecision::Reserved => return true,
                    MemoryDecision::Impossible => return false,
                    MemoryDecision::Wait => freed.await,
                }
            }
        };
        let reserved = timeout(time_limit, reserved).await.unwrap_or(false);
        drop(place);
        reserved.then(|| HeldMemory {
            memory: Arc::clone(self),
            bytes,
        })
    }

    /// Counts an answer that waits for its caller, until it is freed.
    pub(crate) fn count(self: &Arc<Self>, bytes: Bytes) -> Bytes {
        let held = bytes.len() as u64;
        self.lock().count(held);
        HeldMemory {
            memory: Arc::clone(self),
            bytes: held,
        }
        .attach(bytes)
    }

    /// Lets calls in line try again.
    pub(crate) fn wake(&self) {
        if self.lock().has_line() {
            self.freed.notify_waiters();
        }
    }

    fn lock(&self) -> MutexGuard<'_, MemoryAccount> {
        self.account.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Place of a call in the line.
#[derive(Debug)]
struct Place<'a> {
    memory: &'a CallMemory,
    ticket: MemoryTicket,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        // The next one in line may be let in now, also after a call that has been.
        self.memory.lock().leave(self.ticket);
        self.memory.wake();
    }
}

/// Memory that is counted until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldMemory {
    memory: Arc<CallMemory>,
    bytes: u64,
}

impl HeldMemory {
    /// Nothing yet.
    pub(crate) fn empty(memory: &Arc<CallMemory>) -> Self {
        Self {
            memory: Arc::clone(memory),
            bytes: 0,
        }
    }

    /// Reserves more for a body that is being read, without a wait; returns whether there is room.
    pub(crate) fn grow(&mut self, bytes: u64, in_flight: usize) -> bool {
        let has_room = self.memory.lock().extend(bytes, in_flight);
        if has_room {
            self.bytes += bytes;
        }
        has_room
    }

    /// Bytes that are counted until their last copy is freed.
    pub(crate) fn attach(self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(CountedBytes { bytes, _held: self })
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.memory.lock().release(self.bytes);
        self.memory.wake();
    }
}

#[derive(Debug)]
struct CountedBytes<T> {
    bytes: T,
    _held: HeldMemory,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for CountedBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}
