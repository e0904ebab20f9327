//! Parsing of the server-sent events of a streamed answer.

use poplarswitch_wire::{ErrorBody, ErrorInfo, headers::DONE};
use serde_json::Value;

/// An event of a streamed answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum StreamEvent {
    /// Text of the answer.
    Text(String),
    /// An event without text.
    Empty,
    /// The answer is complete.
    Done,
    /// The answer ends with an error.
    Error(ErrorInfo),
}

/// Parses a line of the stream; returns `None` for a line without data.
pub(crate) fn parse_line(line: &str) -> Option<StreamEvent> {
    let data = line.strip_prefix("data:")?.trim();
    if data == DONE {
        return Some(StreamEvent::Done);
    }
    if let Ok(body) = serde_json::from_str::<ErrorBody>(data) {
        return Some(StreamEvent::Error(body.error));
    }
    let text = serde_json::from_str::<Value>(data)
        .ok()
        .and_then(|chunk| Some(chunk["choices"][0]["delta"]["content"].as_str()?.to_owned()));
    Some(text.map_or(StreamEvent::Empty, StreamEvent::Text))
}
