//! Responses to callers.

use super::receiver::ResponseReceiver;
use crate::{counters::CodeLabel, shared::Shared};
use bytes::Bytes;
use core::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};
use http::{
    HeaderValue, Response, StatusCode,
    header::{CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER},
};
use http_body::{Frame, SizeHint};
use http_body_util::Full;
use poplarswitch_wire::{ErrorBody, ErrorInfo};
use serde::Serialize;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const TEXT: HeaderValue = HeaderValue::from_static("text/plain");

/// Body of a response.
#[derive(Debug)]
pub(crate) enum Body {
    /// Complete body.
    Whole(Full<Bytes>),
    /// Streamed body.
    Stream(Box<ResponseReceiver>),
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(cx),
            Self::Stream(receiver) => receiver
                .poll_next(cx)
                .map(|bytes| bytes.map(|bytes| Ok(Frame::data(bytes)))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(receiver) => receiver.is_finished(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// A response that is not streamed.
pub(super) fn whole(
    status: u16,
    content_type: HeaderValue,
    body: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(Body::Whole(Full::new(body.into())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// A streamed response.
pub(super) fn stream(
    status: u16,
    content_type: HeaderValue,
    receiver: ResponseReceiver,
) -> Response<Body> {
    let mut response = whole(status, content_type, Bytes::new());
    *response.body_mut() = Body::Stream(Box::new(receiver));
    response
        .headers_mut()
        .insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

/// A plain text response.
pub(super) fn text(status: u16, text: &'static str) -> Response<Body> {
    whole(status, TEXT, text)
}

/// A JSON response.
pub(super) fn json(status: u16, value: &impl Serialize) -> Response<Body> {
    whole(status, JSON, serde_json::to_vec(value).unwrap_or_default())
}

/// An error response, counted by its code.
pub(super) fn error(shared: &Shared, error: ErrorInfo) -> Response<Body> {
    count_error(shared, &error);
    let status = error.code.status();
    let retry_after_ms = error.retry_after_ms;
    let mut response = whole(status, JSON, ErrorBody { error }.to_json());
    if let Some(millis) = retry_after_ms {
        let seconds = HeaderValue::from(millis.div_ceil(1_000));
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// Counts an error by its code.
pub(super) fn count_error(shared: &Shared, error: &ErrorInfo) {
    let label = CodeLabel {
        code: error.code.as_str().to_owned(),
    };
    shared.counters.errors.get_or_create(&label).inc();
}
