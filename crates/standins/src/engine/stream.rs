//! Generation of answers, and the streams that can be cancelled and resumed.

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

/// Number of streams that are kept for cancellation and resumption.
const MAX_STREAMS: usize = 4_096;
/// Time between two tokens of a stalled stream, unless the stream is cancelled.
const STALL_INTERVAL: Duration = Duration::from_hours(1);

/// State of a stream that is shared with the requests that cancel or resume it.
#[derive(Debug, Default)]
pub(super) struct StreamState {
    emitted: AtomicU32,
    cancelled: AtomicBool,
    wake: Notify,
}

impl StreamState {
    /// Number of tokens emitted so far.
    pub(super) fn emitted(&self) -> u32 {
        self.emitted.load(Ordering::Acquire)
    }

    /// Cancels the stream.
    pub(super) fn cancel(&self) {
        self.cancelled.store(true, Ordering::Release);
        self.wake.notify_one();
    }

    fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }
}

/// Streams by the identifier of their call; the oldest one is removed when the table is full.
#[derive(Debug, Default)]
pub(super) struct StreamTable {
    streams: HashMap<String, Arc<StreamState>>,
    insertion_order: VecDeque<String>,
}

impl StreamTable {
    /// Adds a stream, which replaces an earlier one of the same call.
    pub(super) fn open(&mut self, call: &str) -> Arc<StreamState> {
        let stream_state = Arc::new(StreamState::default());
        if self
            .streams
            .insert(call.to_owned(), Arc::clone(&stream_state))
            .is_none()
        {
            self.insertion_order.push_back(call.to_owned());
        }
        if self.insertion_order.len() > MAX_STREAMS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.streams.remove(&oldest);
        }
        stream_state
    }

    /// Finds the stream of a call.
    pub(super) fn find(&self, call: &str) -> Option<Arc<StreamState>> {
        self.streams.get(call).map(Arc::clone)
    }
}

/// A call in the batch, whose answer is generated token by token.
#[derive(Debug)]
pub(super) struct Generation {
    pub(super) state: Arc<State>,
    pub(super) stream_state: Arc<StreamState>,
    pub(super) prompt: String,
    /// Index of the next token.
    pub(super) index: u32,
    /// Length of the whole answer, in tokens.
    pub(super) total: u32,
    pub(super) finished: bool,
    pub(super) slot: Option<Slot>,
}

/// Result of a step of a generation.
#[derive(Debug)]
pub(super) enum Step {
    /// The next token was generated.
    Token(String),
    /// The answer is complete.
    Finished,
    /// The stream was cancelled.
    Stopped,
    /// An injected fault cuts the connection.
    Cut,
}

impl Generation {
    /// Generates the next token, if there is one, after the time that it takes.
    pub(super) async fn step(&mut self) -> Step {
        let faults = self.state.faults();
        if faults.cut_after.is_some_and(|limit| self.index >= limit) {
            return Step::Cut;
        }
        if self.index >= self.total {
            self.finish();
            return Step::Finished;
        }
        let interval = match faults.stall_after {
            Some(limit) if self.index >= limit => STALL_INTERVAL,
            _ => self.token_time(faults),
        };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = self.stream_state.wake.notified() => {}
        }
        if self.stream_state.is_cancelled() {
            return Step::Stopped;
        }
        let token = token_text(&self.prompt, self.index);
        self.index += 1;
        self.stream_state
            .emitted
            .store(self.index, Ordering::Release);
        self.state.update_stats(|stats| stats.tokens += 1);
        Step::Token(token)
    }

    fn finish(&mut self) {
        if !self.finished {
            self.finished = true;
            self.state.update_stats(|stats| stats.finished += 1);
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
            self.state.update_stats(|stats| stats.stopped += 1);
        }
    }
}

/// Error in a stream by which its connection is cut.
pub(super) fn connection_reset() -> io::Result<Bytes> {
    Err(io::Error::from(io::ErrorKind::ConnectionReset))
}
