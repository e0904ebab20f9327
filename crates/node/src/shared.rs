//! State that all threads of a node share.

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

/// State shared by all threads of a node; the event loop publishes the set and the members.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) secrets: Secrets,
    pub(crate) incarnation: Incarnation,
    pub(crate) catalog: ArcSwapOption<Catalog>,
    pub(crate) members: ArcSwap<Vec<Member>>,
    pub(crate) polled_endpoints: ArcSwap<Vec<Endpoint>>,
    pub(crate) counters: Counters,
    pub(crate) runtime: Handle,
    timeline: Mutex<Ring>,
    events: Sender<Event>,
    start: Instant,
    next_seq: AtomicU64,
    phase: AtomicU8,
}

impl Shared {
    /// State of a node that has no set yet.
    pub(crate) fn new(
        setup: Setup,
        incarnation: Incarnation,
        runtime: Handle,
        events: Sender<Event>,
    ) -> Self {
        let Setup {
            settings, secrets, ..
        } = setup;
        let timeline = Ring::new(
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
            polled_endpoints: ArcSwap::default(),
            counters: Counters::default(),
            runtime,
            timeline: Mutex::new(timeline),
            events,
            start: Instant::now(),
            next_seq: AtomicU64::new(0),
            phase: AtomicU8::new(Phase::Starting as u8),
        }
    }

    /// Time since the start of the node, by a monotonic clock.
    pub(crate) fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as u64)
    }

    /// Sends an event to the event loop; the event is dropped if the event loop has ended.
    pub(crate) fn send_event(&self, event: Event) {
        drop(self.events.send(event));
    }

    /// A new call identifier, unique across processes.
    pub(crate) fn next_call_id(&self) -> CallId {
        CallId {
            origin: self.incarnation,
            seq: self.next_seq.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Current phase of the process.
    pub(crate) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            0 => Phase::Starting,
            1 => Phase::Serving,
            2 => Phase::Draining,
            _ => Phase::Drained,
        }
    }

    /// Enters a phase; the process never returns to an earlier one.
    pub(crate) fn set_phase(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Records an event in the timeline.
    pub(crate) fn record(&self, call: Option<CallId>, kind: EventKind) {
        self.timeline().record(wall_ms(), call, kind);
    }

    /// The timeline; a poisoned lock is ignored, since the timeline remains usable after a panic.
    pub(crate) fn timeline(&self) -> MutexGuard<'_, Ring> {
        self.timeline.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An error that names this VM as its source.
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
