//! Answers to callers.

use crate::{clock, shared::InFlight, watched::Serving};
use bytes::Bytes;
use core::{
    fmt,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};
use http::{HeaderValue, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use poplarswitch_wire::{ErrorBody, ErrorCode, ErrorInfo, Ran};
use tokio::sync::mpsc;

/// An answer that ended before it was whole; the connection is closed so that it doesn't look
/// complete.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrokenOff;

impl fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer ended before it was whole")
    }
}

impl core::error::Error for BrokenOff {}

/// Pieces of an answer that is still being made.
pub(crate) type Pieces = mpsc::Receiver<Result<Bytes, BrokenOff>>;

#[derive(Debug)]
enum Source {
    Whole(Option<Bytes>),
    Pieces(Pieces),
}

/// What holds for as long as an answer is on its way.
#[derive(Debug)]
pub(crate) struct Guards {
    pub(crate) _serving: Serving,
    pub(crate) _in_flight: InFlight,
}

/// The body of an answer.
#[derive(Debug)]
pub(crate) struct ReplyBody {
    source: Source,
    length: Option<u64>,
    _guards: Guards,
}

impl ReplyBody {
    pub(crate) const fn whole(bytes: Bytes, guards: Guards) -> Self {
        let length = Some(bytes.len() as u64);
        Self {
            source: Source::Whole(Some(bytes)),
            length,
            _guards: guards,
        }
    }

    pub(crate) const fn pieces(pieces: Pieces, length: Option<u64>, guards: Guards) -> Self {
        Self {
            source: Source::Pieces(pieces),
            length,
            _guards: guards,
        }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut self.source {
            Source::Whole(bytes) => Poll::Ready(bytes.take().map(Frame::data).map(Ok)),
            Source::Pieces(pieces) => {
                let piece = ready!(pieces.poll_recv(cx));
                Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Source::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}

/// Why a call has no answer of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    pub(crate) code: ErrorCode,
    /// Where it arose.
    pub(crate) peer: String,
    /// When the caller should come back.
    pub(crate) after: Option<Duration>,
    /// Whether the endpoint may have run the call, though its code says that it did.
    doubt: bool,
}

impl Failure {
    pub(crate) fn new(code: ErrorCode, peer: impl Into<String>) -> Self {
        Self {
            code,
            peer: peer.into(),
            after: None,
            doubt: false,
        }
    }

    pub(crate) const fn retry(mut self, after: Duration) -> Self {
        self.after = Some(after);
        self
    }

    /// The call may have run.
    pub(crate) const fn in_doubt(mut self) -> Self {
        self.doubt = true;
        self
    }

    pub(crate) fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// The answer to the caller.
    pub(crate) fn response(&self, guards: Guards) -> Response<ReplyBody> {
        let mut info = ErrorInfo::new(self.code, self.peer.as_str());
        if self.doubt {
            info.ran = Ran::InDoubt;
        }
        info.retry_after_ms = self.after.map(|after| after.as_millis() as u64);
        let body = ErrorBody { error: info }.to_json();
        let mut response = Response::new(ReplyBody::whole(body.into(), guards));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Some(after) = self.after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(seconds) = seconds.parse() {
                headers.insert(header::RETRY_AFTER, seconds);
            }
        }
        response
    }
}

/// Milliseconds since a moment.
pub(crate) fn millis_since(start: poplarswitch_entity::Time) -> u64 {
    clock::now().since(start).as_millis() as u64
}
