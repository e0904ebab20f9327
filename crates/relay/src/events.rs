//! Cuts the body of a stream into whole events.
//!
//! Where a stream may go on at another endpoint, only whole events are passed on: an endpoint
//! that fails may stop in the middle of one, and the next endpoint sends that event again.

use bytes::{Bytes, BytesMut};

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub(crate) struct Events {
    rest: BytesMut,
    last: Option<String>,
}

impl Events {
    /// Takes bytes; returns the whole events that they complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // The end of an event may lie across the old and the new bytes.
        let start = self.rest.len().saturating_sub(3);
        self.rest.extend_from_slice(bytes);
        let end = start + last_end(&self.rest[start..])?;
        let whole = self.rest.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        Some(whole)
    }

    /// Forgets the event that was broken off.
    pub(crate) fn restart(&mut self) {
        self.rest.clear();
    }

    /// The bytes after the last whole event.
    pub(crate) fn finish(&mut self) -> Option<Bytes> {
        let rest = self.rest.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// The id of the last whole event.
    pub(crate) fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }
}

/// The place after the last blank line.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes
        .windows(2)
        .rposition(|w| w == b"\n\n")
        .map(|at| at + 2);
    let carriage = bytes
        .windows(4)
        .rposition(|w| w == b"\r\n\r\n")
        .map(|at| at + 4);
    plain.max(carriage)
}

fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = core::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}
