//! Recognition of the events in a stream's body.
//!
//! A stream whose body ends inside an event is incomplete, however its end is framed. Of a stream
//! that may continue on another endpoint, only complete events are forwarded: an endpoint may fail in
//! the middle of an event, and the next endpoint sends that event again.

use bytes::{Bytes, BytesMut};
use poplarswitch_ingress::EventScanner;

/// Content of a response's body.
#[derive(Debug)]
pub(crate) enum BodyContent {
    /// Any bytes.
    Opaque,
    /// Events that can't be resumed; bytes are forwarded as they arrive.
    Events(EventScanner),
    /// Events that another endpoint may resume; only complete ones are forwarded.
    Resumable(EventBuffer),
}

impl BodyContent {
    /// Takes the next bytes from an endpoint; returns those that can be forwarded now.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        match self {
            Self::Opaque => Some(bytes),
            Self::Events(scanner) => {
                scanner.push(&bytes);
                Some(bytes)
            }
            Self::Resumable(buffer) => buffer.push(&bytes),
        }
    }

    /// Number of bytes after the last complete event; none if the body has no events.
    pub(crate) const fn partial_len(&self) -> Option<usize> {
        match self {
            Self::Opaque => None,
            Self::Events(scanner) => Some(scanner.partial_len()),
            Self::Resumable(buffer) => Some(buffer.scanner.partial_len()),
        }
    }
}

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    scanner: EventScanner,
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventBuffer {
    /// Appends bytes; returns all events that are complete now.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let start = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let end = start + self.scanner.push(bytes)?;
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// Discards the incomplete event.
    pub(crate) fn discard_partial(&mut self) {
        self.partial.clear();
        self.scanner = EventScanner::default();
    }

    /// Identifier of the last complete event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| matches!(byte, b'\n' | b'\r')).rev();
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = core::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}
