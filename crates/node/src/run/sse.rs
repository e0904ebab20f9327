//! Splits a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};
use poplarswitch_wire::headers;
use serde::Deserialize;

/// Maximum size of an event.
pub(crate) const MAX_EVENT_BYTES: usize = 1 << 20;

/// Kind of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Output of the engine.
    Chunk {
        /// Tokens in the chunk: 1 if it has content, otherwise 0.
        tokens: u32,
    },
    /// End of a complete response.
    Done,
    /// Error reported by the engine.
    Error,
    /// A comment, or an event without data or with invalid UTF-8.
    Other,
}

/// One event with its unchanged bytes, including the terminating empty line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SseEvent {
    pub(crate) kind: Kind,
    pub(crate) bytes: Bytes,
}

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Appends bytes to the buffer.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether the incomplete event in the buffer exceeds [`MAX_EVENT_BYTES`].
    pub(crate) fn exceeds_limit(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Next complete event.
    pub(crate) fn next_event(&mut self) -> Option<SseEvent> {
        let end = event_end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let kind = classify(&bytes);
        Some(SseEvent { kind, bytes })
    }
}

fn event_end(buffer: &[u8]) -> Option<usize> {
    let lf = find(buffer, b"\n\n").map(|at| at + 2);
    let crlf = find(buffer, b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn find(buffer: &[u8], separator: &[u8]) -> Option<usize> {
    buffer
        .windows(separator.len())
        .position(|window| window == separator)
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    error: Option<serde_json::Value>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Option<Delta>,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

fn classify(bytes: &[u8]) -> Kind {
    let Ok(text) = core::str::from_utf8(bytes) else {
        return Kind::Other;
    };
    let field = |name: &str| {
        text.lines()
            .find_map(|line| line.strip_prefix(name))
            .map(str::trim)
    };
    if field("event:") == Some("error") {
        return Kind::Error;
    }
    match field("data:") {
        None => Kind::Other,
        Some(headers::DONE) => Kind::Done,
        Some(data) => classify_data(data),
    }
}

fn classify_data(data: &str) -> Kind {
    let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
        return Kind::Chunk { tokens: 0 };
    };
    if chunk.error.is_some() {
        return Kind::Error;
    }
    let has_content = |choice: &Choice| {
        choice
            .delta
            .as_ref()
            .and_then(|delta| delta.content.as_ref())
            .is_some_and(|content| !content.is_empty())
    };
    Kind::Chunk {
        tokens: u32::from(chunk.choices.iter().any(has_content)),
    }
}
