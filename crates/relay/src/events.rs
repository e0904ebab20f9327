//! Splitting of a stream's body into complete events.
//!
//! Of a stream that may continue on another endpoint, only complete events are forwarded: an
//! endpoint may fail in the middle of an event, and the next endpoint sends that event again.

use bytes::{Bytes, BytesMut};

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventBuffer {
    /// Appends bytes; returns all events that are complete now.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // The separator after an event may be split between the buffered and the new bytes.
        let start = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let end = start + complete_len(&self.partial[start..])?;
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// Discards the incomplete event.
    pub(crate) fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Takes the bytes after the last complete event.
    pub(crate) fn take_partial(&mut self) -> Option<Bytes> {
        let partial = self.partial.split().freeze();
        (!partial.is_empty()).then_some(partial)
    }

    /// Identifier of the last complete event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Length of the bytes up to and including the last blank line.
fn complete_len(bytes: &[u8]) -> Option<usize> {
    let lf = bytes
        .windows(2)
        .rposition(|w| w == b"\n\n")
        .map(|at| at + 2);
    let crlf = bytes
        .windows(4)
        .rposition(|w| w == b"\r\n\r\n")
        .map(|at| at + 4);
    lf.max(crlf)
}

fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = core::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}

/// Finds the ends of events in a stream's body.
#[derive(Debug)]
pub(crate) struct EventScanner {
    line_is_empty: bool,
    after_cr: bool,
    partial: usize,
}

impl Default for EventScanner {
    fn default() -> Self {
        Self {
            line_is_empty: true,
            after_cr: false,
            partial: 0,
        }
    }
}

impl EventScanner {
    /// Scans the next bytes; returns the index after the last event that ends in them.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (index, byte) in bytes.iter().enumerate() {
            let completes_crlf = self.after_cr && *byte == b'\n';
            self.after_cr = *byte == b'\r';
            let is_line_end = matches!(byte, b'\r' | b'\n');
            let ends_event = if completes_crlf {
                self.partial == 0
            } else {
                is_line_end && self.line_is_empty
            };
            self.line_is_empty = is_line_end;
            if ends_event {
                self.partial = 0;
                end = Some(index + 1);
            } else {
                self.partial += 1;
            }
        }
        end
    }

    /// Number of bytes after the last event that ended.
    pub(crate) const fn partial_len(&self) -> usize {
        self.partial
    }
}
