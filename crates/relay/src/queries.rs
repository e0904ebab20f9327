//! Responses to queries for this VM's readiness and for the addresses that callers should use.

use crate::{Query, clock, shared::Shared};
use bytes::Bytes;
use core::net::SocketAddr;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;

/// Answers a query.
pub(crate) fn answer<B>(shared: &Shared, request: &Request<B>) -> Response<Full<Bytes>> {
    let uri = request.uri();
    let now = clock::now();
    match shared
        .protocol
        .parse_query(request.method(), uri.path(), uri.query())
    {
        Some(Query::Ready) => empty(if shared.phase(now).accepts_calls() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }),
        Some(Query::Addresses { data_centre }) => {
            let phase = shared.phase(now);
            let dc_index = data_centre.and_then(|name| shared.settings.data_centre_index(&name));
            let addresses =
                shared
                    .core()
                    .membership
                    .caller_addresses(now, dc_index, phase, MAX_ADDRESSES);
            if addresses.is_empty() {
                return empty(StatusCode::SERVICE_UNAVAILABLE);
            }
            let port = shared.settings.listen.callers.port();
            let addresses: Vec<SocketAddr> = addresses
                .into_iter()
                .map(|ip| SocketAddr::new(ip.into(), port))
                .collect();
            json(
                shared
                    .protocol
                    .encode_addresses(&addresses, shared.address_ttl()),
            )
        }
        None => empty(StatusCode::NOT_FOUND),
    }
}

/// Response without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::default();
    *response.status_mut() = status;
    response
}

/// Response with a JSON document.
pub(crate) fn json(body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
