//! Splits a stream of server-sent events.

use bytes::{Bytes, BytesMut};
use poplarswitch_wire::headers;
use serde::Deserialize;

/// Largest event that is passed on, in bytes.
pub(crate) const MAX_EVENT_BYTES: usize = 1 << 20;

/// What an event means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Output, with or without a token.
    Chunk {
        /// Tokens in it.
        tokens: u32,
    },
    /// The whole answer was given.
    Done,
    /// The engine says that it failed.
    Error,
    /// A comment or an event without data.
    Other,
}

/// One event, as it came, with its closing empty line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SseEvent {
    pub(crate) kind: Kind,
    pub(crate) bytes: Bytes,
}

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Takes bytes in.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether an event is larger than is passed on.
    pub(crate) fn exceeds_limit(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// The next whole event.
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
