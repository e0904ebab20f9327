//! Streams of tokens, their cancellation and resumption.

use super::{EngineFaults, State, batch::Slot};
use crate::{answer::token_text, service::lock};
use bytes::Bytes;
use core::time::Duration;
use std::{
    collections::{HashMap, VecDeque},
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
};
use tokio::sync::Notify;

/// Streams remembered for resumption.
const KEPT_STREAMS: usize = 4_096;
/// Sleep of a stalled stream between looks at its cancellation.
const STALL: Duration = Duration::from_hours(1);

/// A stream as other requests see it.
#[derive(Debug, Default)]
pub(super) struct Shared {
    emitted: AtomicU32,
    cancelled: AtomicBool,
    wake: Notify,
}

impl Shared {
    /// Tokens emitted so far.
    pub(super) fn emitted(&self) -> u32 {
        self.emitted.load(Ordering::Acquire)
    }

    /// Ends the stream early.
    pub(super) fn cancel(&self) {
        self.cancelled.store(true, Ordering::Release);
        self.wake.notify_one();
    }

    fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }
}

/// Streams by the identifier of their call.
#[derive(Debug, Default)]
pub(super) struct Streams {
    known: HashMap<String, Arc<Shared>>,
    order: VecDeque<String>,
}

impl Streams {
    /// Opens a stream, in place of an earlier one of the same call.
    pub(super) fn open(&mut self, call: &str) -> Arc<Shared> {
        let shared = Arc::new(Shared::default());
        if self
            .known
            .insert(call.to_owned(), Arc::clone(&shared))
            .is_none()
        {
            self.order.push_back(call.to_owned());
        }
        if self.order.len() > KEPT_STREAMS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        shared
    }

    /// Finds a stream.
    pub(super) fn find(&self, call: &str) -> Option<Arc<Shared>> {
        self.known.get(call).map(Arc::clone)
    }
}

/// A call in the batch.
#[derive(Debug)]
pub(super) struct Generation {
    pub(super) state: Arc<State>,
    pub(super) shared: Arc<Shared>,
    pub(super) prompt: String,
    pub(super) index: u32,
    pub(super) total: u32,
    pub(super) finished: bool,
    pub(super) slot: Option<Slot>,
}

/// What a generation gives next.
#[derive(Debug)]
pub(super) enum Step {
    /// One more token.
    Token(String),
    /// The whole answer was given.
    Finished,
    /// It ended early.
    Stopped,
    /// The connection breaks.
    Cut,
}

impl Generation {
    /// Generates one token.
    pub(super) async fn step(&mut self) -> Step {
        let faults = self.state.faults();
        if faults.cut_after.is_some_and(|limit| self.index >= limit) {
            return Step::Cut;
        }
        if self.index >= self.total {
            self.finish();
            return Step::Finished;
        }
        let pause = match faults.stall_after {
            Some(limit) if self.index >= limit => STALL,
            _ => self.token_time(faults),
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = self.shared.wake.notified() => {}
        }
        if self.shared.is_cancelled() {
            return Step::Stopped;
        }
        let token = token_text(&self.prompt, self.index);
        self.index += 1;
        self.shared.emitted.store(self.index, Ordering::Release);
        self.state.count(|stats| stats.tokens += 1);
        Step::Token(token)
    }

    fn finish(&mut self) {
        if !self.finished {
            self.finished = true;
            self.state.count(|stats| stats.finished += 1);
        }
        self.slot = None;
    }

    fn token_time(&self, faults: EngineFaults) -> Duration {
        let spec = &self.state.spec;
        let others = lock(&self.state.batch).running().saturating_sub(1);
        let time = spec.token_time + spec.batch_cost * others;
        time + time * faults.slow_percent / 100
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        if !self.finished {
            self.state.count(|stats| stats.stopped += 1);
        }
    }
}

/// The connection breaks off.
pub(super) fn broken() -> io::Result<Bytes> {
    Err(io::Error::from(io::ErrorKind::ConnectionReset))
}
