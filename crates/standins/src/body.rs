//! Bodies of responses.

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http::{Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;
use std::io;

/// A whole or streamed body.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A body that is known at once.
pub(crate) fn full(data: impl Into<Bytes>) -> Body {
    Full::new(data.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body that comes piece by piece; an error cuts the connection.
pub fn stream_body(pieces: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> Body {
    StreamBody::new(pieces.map(|piece| piece.map(Frame::data))).boxed_unsync()
}

/// A response with a status and a text.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
}

/// A response with a JSON value.
pub fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = text_response(status, text);
    let kind = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
