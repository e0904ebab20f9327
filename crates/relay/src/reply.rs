//! Responses to callers.

use crate::{activity::ActivityGuard, clock, forwarding::ForwardResult, shared::InFlight};
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

/// Error of a response body that is incomplete; the connection is closed, so that the response
/// doesn't look complete.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IncompleteBody;

impl fmt::Display for IncompleteBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response body is incomplete")
    }
}

impl core::error::Error for IncompleteBody {}

/// Part of a response body that is still being received.
#[derive(Debug)]
pub(crate) enum BodyPart {
    /// The next bytes.
    Data(Bytes),
    /// The body is complete. It is incomplete if the sender is dropped before.
    End,
}

/// Parts of a response body that is still being received.
pub(crate) type BodyParts = mpsc::Receiver<BodyPart>;

#[derive(Debug)]
enum BodySource {
    Buffered(Option<Bytes>),
    Parts(BodyParts),
}

/// Guards that are held until the response has been handed to `hyper`; its call is in flight until the
/// response has also been written.
#[derive(Debug)]
pub(crate) struct Guards {
    activity: ActivityGuard,
    in_flight: Option<InFlight>,
}

impl Guards {
    pub(crate) const fn new(activity: ActivityGuard, in_flight: InFlight) -> Self {
        Self {
            activity,
            in_flight: Some(in_flight),
        }
    }

    /// Records that the request may not have been read to its end.
    pub(crate) fn mark_unread(&self) {
        self.activity.mark_unread();
    }
}

impl Drop for Guards {
    fn drop(&mut self) {
        if let Some(in_flight) = self.in_flight.take() {
            self.activity.hold_until_written(in_flight);
        }
    }
}

/// Body of a response.
#[derive(Debug)]
pub(crate) struct ReplyBody {
    source: BodySource,
    length: Option<u64>,
    /// Whether the end of the connection ends the body, so that only a reset shows that the body is
    /// incomplete.
    close_framed: bool,
    guards: Guards,
}

impl ReplyBody {
    pub(crate) const fn buffered(bytes: Bytes, guards: Guards) -> Self {
        let length = Some(bytes.len() as u64);
        Self {
            source: BodySource::Buffered(Some(bytes)),
            length,
            close_framed: false,
            guards,
        }
    }

    pub(crate) fn parts(
        parts: BodyParts,
        length: Option<u64>,
        close_framed: bool,
        guards: Guards,
    ) -> Self {
        if close_framed {
            guards.activity.begin_close_framed();
        }
        Self {
            source: BodySource::Parts(parts),
            length,
            close_framed,
            guards,
        }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        match &mut self.source {
            BodySource::Buffered(bytes) => Poll::Ready(bytes.take().map(Frame::data).map(Ok)),
            BodySource::Parts(parts) => match ready!(parts.poll_recv(cx)) {
                Some(BodyPart::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Some(BodyPart::End) => {
                    self.source = BodySource::Buffered(None);
                    if self.close_framed {
                        self.guards.activity.end_close_framed();
                    }
                    Poll::Ready(None)
                }
                None => Poll::Ready(Some(Err(IncompleteBody))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            BodySource::Buffered(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            BodySource::Parts(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}

/// Why a call has no response from an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    pub(crate) code: ErrorCode,
    /// Name of the VM, service or endpoint that is reported as the source.
    pub(crate) peer: String,
    /// Time after which the caller should retry.
    pub(crate) retry_after: Option<Duration>,
    /// Whether the call is reported as in doubt, although the code alone means that it has run.
    may_have_run: bool,
}

impl Failure {
    pub(crate) fn new(code: ErrorCode, peer: impl Into<String>) -> Self {
        Self {
            code,
            peer: peer.into(),
            retry_after: None,
            may_have_run: false,
        }
    }

    pub(crate) const fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Marks the call as in doubt: an endpoint may have run it.
    pub(crate) const fn in_doubt(mut self) -> Self {
        self.may_have_run = true;
        self
    }

    /// Kind of the failure for the VM that has forwarded the call.
    pub(crate) fn forward_result(&self) -> ForwardResult {
        if self.may_have_run || self.code.ran() != Ran::NotRun {
            ForwardResult::Failed
        } else {
            ForwardResult::NotRun
        }
    }

    pub(crate) fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// Response to the caller.
    pub(crate) fn response(&self, guards: Guards) -> Response<ReplyBody> {
        let mut info = ErrorInfo::new(self.code, self.peer.as_str());
        if self.may_have_run {
            info.ran = Ran::InDoubt;
        }
        info.retry_after_ms = self
            .retry_after
            .map(|retry_after| retry_after.as_millis() as u64);
        let body = ErrorBody { error: info }.to_json();
        let mut response = Response::new(ReplyBody::buffered(body.into(), guards));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(seconds) = seconds.parse() {
                headers.insert(header::RETRY_AFTER, seconds);
            }
        }
        response
    }
}

/// Milliseconds that have passed since `start`.
pub(crate) fn millis_since(start: poplarswitch_entity::Time) -> u64 {
    clock::now().since(start).as_millis() as u64
}
