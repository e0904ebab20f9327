//! Responses and their bodies.

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http::{Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;
use std::io;

/// Body of a response, sent as a whole or as a stream.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Body that is sent as a whole.
pub(crate) fn full_body(data: impl Into<Bytes>) -> Body {
    Full::new(data.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Body that is sent chunk by chunk; an error in the stream cuts the connection.
pub fn stream_body(chunks: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> Body {
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

/// Response with a status and a text.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}

/// Response with a status and a JSON value; the body is empty if the value can't be serialised.
pub fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = text_response(status, text);
    let content_type = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
