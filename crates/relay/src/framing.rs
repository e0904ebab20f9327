//! Framing of response bodies.

use core::fmt;
use http::{HeaderMap, header};
use hyper::body::{Body as _, Incoming};

/// How the end of a response's body is marked on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The head states the length.
    Length,
    /// The body is sent in chunks, the last of which is empty.
    Chunked,
    /// The end of the connection is the end of the body.
    Close,
}

impl Framing {
    /// Framing of a response that `hyper` has received.
    pub(crate) fn of(headers: &HeaderMap, body: &Incoming) -> Self {
        if body.size_hint().exact().is_some() {
            Self::Length
        } else if headers.contains_key(header::TRANSFER_ENCODING) {
            Self::Chunked
        } else {
            Self::Close
        }
    }

    /// Name in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
