//! What all threads of one process share.

use crate::{Setup, counters::Counters, event::Event};
use arc_swap::{ArcSwap, ArcSwapOption};
use core::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use crossbeam::channel::Sender;
use poplarswitch_catalog::Catalog;
use poplarswitch_entity::{CallId, Incarnation, Time};
use poplarswitch_members::Member;
use poplarswitch_objects::Endpoint;
use poplarswitch_settings::{Secrets, Settings};
use poplarswitch_timeline::{EventKind, Ring};
use poplarswitch_wire::{ErrorCode, ErrorInfo, Phase};
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Instant, SystemTime, UNIX_EPOCH},
};
use tokio::runtime::Handle;

/// Shared state: read by requests, written by the decision thread.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) secrets: Secrets,
    pub(crate) incarnation: Incarnation,
    pub(crate) catalog: ArcSwapOption<Catalog>,
    pub(crate) members: ArcSwap<Vec<Member>>,
    pub(crate) polled: ArcSwap<Vec<Endpoint>>,
    pub(crate) counters: Counters,
    pub(crate) runtime: Handle,
    ring: Mutex<Ring>,
    events: Sender<Event>,
    started: Instant,
    calls: AtomicU64,
    phase: AtomicU8,
}

impl Shared {
    /// Starts without a catalog.
    pub(crate) fn new(
        setup: Setup,
        incarnation: Incarnation,
        runtime: Handle,
        events: Sender<Event>,
    ) -> Self {
        let Setup {
            settings, secrets, ..
        } = setup;
        let ring = Ring::new(
            settings.vm.clone(),
            incarnation,
            settings.timeline_events as usize,
        );
        Self {
            settings,
            secrets,
            incarnation,
            catalog: ArcSwapOption::empty(),
            members: ArcSwap::default(),
            polled: ArcSwap::default(),
            counters: Counters::default(),
            runtime,
            ring: Mutex::new(ring),
            events,
            started: Instant::now(),
            calls: AtomicU64::new(0),
            phase: AtomicU8::new(Phase::Starting as u8),
        }
    }

    /// The time on the clock of the process.
    pub(crate) fn now(&self) -> Time {
        Time(self.started.elapsed().as_micros() as u64)
    }

    /// Tells the decision thread; after its end nobody listens.
    pub(crate) fn tell(&self, event: Event) {
        drop(self.events.send(event));
    }

    /// A new identifier.
    pub(crate) fn next_call(&self) -> CallId {
        CallId {
            origin: self.incarnation,
            seq: self.calls.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Where the process is in its life.
    pub(crate) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            0 => Phase::Starting,
            1 => Phase::Serving,
            2 => Phase::Draining,
            _ => Phase::Drained,
        }
    }

    /// Moves on in the life of the process.
    pub(crate) fn set_phase(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Records an event of the time line.
    pub(crate) fn record(&self, call: Option<CallId>, kind: EventKind) {
        self.ring().record(wall_ms(), call, kind);
    }

    /// The time line; a thread that panicked while it held the lock leaves it usable.
    pub(crate) fn ring(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An error that arose in this process.
    pub(crate) fn error(&self, code: ErrorCode) -> ErrorInfo {
        ErrorInfo::new(code, self.settings.vm.as_str())
    }
}

/// Milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
