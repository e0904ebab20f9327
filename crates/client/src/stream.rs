//! Server-sent events of a streamed answer.

use poplarswitch_wire::{ErrorBody, ErrorInfo, headers::DONE};
use serde_json::Value;

/// One event of a streamed answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// A piece of the answer.
    Text(String),
    /// A piece without text.
    Empty,
    /// The end of the whole answer.
    Done,
    /// The answer ends here with an error.
    Error(ErrorInfo),
}

/// Reads one line; lines that are no data give nothing.
pub(crate) fn read_line(line: &str) -> Option<Event> {
    let data = line.strip_prefix("data:")?.trim();
    if data == DONE {
        return Some(Event::Done);
    }
    if let Ok(body) = serde_json::from_str::<ErrorBody>(data) {
        return Some(Event::Error(body.error));
    }
    let text = serde_json::from_str::<Value>(data)
        .ok()
        .and_then(|chunk| Some(chunk["choices"][0]["delta"]["content"].as_str()?.to_owned()));
    Some(text.map_or(Event::Empty, Event::Text))
}
