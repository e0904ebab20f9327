//! Recognition of the events in a stream's body.
//!
//! A stream whose body ends inside an event is incomplete, however its end is framed. Of a stream
//! that may continue on another endpoint, only complete events are forwarded: an endpoint may fail in
//! the middle of an event, and the next endpoint sends that event again.

use bytes::{Bytes, BytesMut};
use core::fmt;
use poplarswitch_ingress::EventScanner;

/// Maximum size of an event that is buffered until it is complete.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Error of an event that exceeds [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLarge;

impl fmt::Display for EventTooLarge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an event is larger than {MAX_EVENT_BYTES} bytes")
    }
}

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
    pub(crate) fn push(&mut self, bytes: Bytes) -> Result<Option<Bytes>, EventTooLarge> {
        match self {
            Self::Opaque => Ok(Some(bytes)),
            Self::Events(scanner) => {
                scanner.push(&bytes);
                Ok(Some(bytes))
            }
            Self::Resumable(buffer) => buffer.push(&bytes),
        }
    }

    /// Position at which another endpoint may continue; none if it can't.
    pub(crate) fn resume_point(&self) -> Option<ResumePoint> {
        match self {
            Self::Opaque | Self::Events(_) => None,
            Self::Resumable(buffer) => match &buffer.last {
                LastEvent::None => Some(ResumePoint::Start),
                LastEvent::Numbered(id) => Some(ResumePoint::After(id.clone())),
                LastEvent::Unnumbered => None,
            },
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

/// Event after which another endpoint continues a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ResumePoint {
    /// No event has been forwarded.
    Start,
    /// After the event with this identifier.
    After(String),
}

impl ResumePoint {
    /// Identifier of the last event that was forwarded.
    pub(crate) fn last_id(&self) -> Option<&str> {
        match self {
            Self::Start => None,
            Self::After(id) => Some(id),
        }
    }
}

/// The last complete event of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum LastEvent {
    #[default]
    None,
    Numbered(String),
    /// Without an identifier, so that no endpoint can tell what follows it.
    Unnumbered,
}

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    scanner: EventScanner,
    partial: BytesMut,
    last: LastEvent,
}

impl EventBuffer {
    /// Appends bytes; returns all events that are complete now.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLarge> {
        let start = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let end = self.scanner.push(bytes);
        if self.scanner.partial_len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        let Some(end) = end.map(|end| start + end) else {
            return Ok(None);
        };
        let complete = self.partial.split_to(end).freeze();
        if let Some(last) = last_event(&complete) {
            self.last = last;
        }
        Ok(Some(complete))
    }

    /// Discards the incomplete event.
    pub(crate) fn discard_partial(&mut self) {
        self.partial.clear();
        self.scanner = EventScanner::default();
    }
}

/// The last of some complete events; none if there are only comments.
fn last_event(events: &[u8]) -> Option<LastEvent> {
    let mut id = None;
    let mut has_fields = false;
    let lines = events.rsplit(|byte| *byte == b'\n').flat_map(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        line.rsplit(|byte| *byte == b'\r')
    });
    for line in lines {
        match line {
            [] if has_fields => break,
            [] | [b':', ..] => {}
            [b'i', b'd', b':', value @ ..] => {
                has_fields = true;
                id = id.or(core::str::from_utf8(value).ok());
            }
            _ => has_fields = true,
        }
    }
    has_fields.then(|| match id.map(str::trim) {
        None | Some("") => LastEvent::Unnumbered,
        Some(id) => LastEvent::Numbered(id.to_owned()),
    })
}
