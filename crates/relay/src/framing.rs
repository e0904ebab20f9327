//! Framing of response bodies.

use http::{HeaderMap, header};
use hyper::body::{Body as _, Incoming};
use poplarswitch_ingress::Framing;

/// Framing of a response that `hyper` has received.
pub(crate) fn framing_of(headers: &HeaderMap, body: &Incoming) -> Framing {
    if body.size_hint().exact().is_some() {
        Framing::Length
    } else if headers.contains_key(header::TRANSFER_ENCODING) {
        Framing::Chunked
    } else {
        Framing::Close
    }
}
