//! Whether the body of an endpoint's response is complete when it ends.
//!
//! A response is forwarded by several hops, and none of them may make an uncertain end look certain.
//! The end of a body with neither a length nor chunks is the end of its connection, which may also
//! have failed. A stream that ends inside an event is incomplete, however its end is framed.

/// Marking of the end of a response's body on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The head states the length.
    Length,
    /// The body is sent in chunks, the last of which is empty.
    Chunked,
    /// The end of the connection is the end of the body.
    Close,
}

impl Framing {
    /// Name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}

/// A body that has ended by its framing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedBody {
    /// Marking of its end.
    pub framing: Framing,
    /// Bytes that were received.
    pub received: usize,
    /// Bytes after the last complete event; none if the body has no events.
    pub partial: Option<usize>,
}

impl EndedBody {
    /// Why the body must not be forwarded as complete to a receiver for which its end is marked by
    /// `forwarded`; none if it may.
    pub const fn problem(&self, forwarded: Framing) -> Option<&'static str> {
        if matches!(self.partial, Some(1..)) {
            return Some("the stream ended inside an event");
        }
        match (self.framing, forwarded) {
            (Framing::Close, _) if self.received == 0 => {
                Some("the connection ended after the head")
            }
            (Framing::Close, Framing::Length | Framing::Chunked) => {
                Some("the end of a response with neither a length nor chunks is not certain")
            }
            _ => None,
        }
    }
}

/// Finds the ends of events in a stream's body.
#[derive(Clone, Debug)]
pub struct EventScanner {
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
    pub fn push(&mut self, bytes: &[u8]) -> Option<usize> {
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
    pub const fn partial_len(&self) -> usize {
        self.partial
    }
}
