//! Answers to questions about this VM and the addresses to use.

use crate::{Query, clock, shared::Shared};
use bytes::Bytes;
use core::net::SocketAddr;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use poplarswitch_ingress::Phase;

/// Addresses in one answer.
const ADDRESSES_MOST: usize = 64;

/// Answers a question.
pub(crate) fn answer<B>(shared: &Shared, request: &Request<B>) -> Response<Full<Bytes>> {
    let uri = request.uri();
    let now = clock::now();
    match shared
        .protocol
        .parse_query(request.method(), uri.path(), uri.query())
    {
        Some(Query::Ready) => empty(if shared.phase(now) == Phase::Ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }),
        Some(Query::Addresses { data_centre }) => {
            let ready = shared.phase(now) == Phase::Ready;
            let place = data_centre.and_then(|name| shared.settings.data_centre_index(&name));
            let found = shared
                .core()
                .roster
                .caller_addresses(now, place, ready, ADDRESSES_MOST);
            if found.is_empty() {
                return empty(StatusCode::SERVICE_UNAVAILABLE);
            }
            let port = shared.settings.listen.callers.port();
            let found: Vec<SocketAddr> = found
                .into_iter()
                .map(|ip| SocketAddr::new(ip.into(), port))
                .collect();
            json(
                shared
                    .protocol
                    .encode_addresses(&found, shared.address_ttl()),
            )
        }
        None => empty(StatusCode::NOT_FOUND),
    }
}

/// An answer without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::default();
    *response.status_mut() = status;
    response
}

fn json(body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
