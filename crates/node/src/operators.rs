//! Requests of operators: status, timeline, settings and drain.

use crate::{
    callers::bearer,
    event::Event,
    ports::{Request, Response, plain, with_type},
    shared::Shared,
};
use core::time::Duration;
use crossbeam::channel::bounded;
use http::{HeaderMap, Method};
use serde::Serialize;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Maximum time to wait for the event loop's reply.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// Authenticates and answers one request.
pub(crate) fn answer(shared: &Shared, request: &Request) -> Response {
    if !is_operator(shared, request.headers()) {
        return plain(401, "the operators' secret is not valid");
    }
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/status") => status(shared),
        (&Method::GET, "/timeline") => timeline(shared),
        (&Method::GET, "/settings") => json(&shared.settings),
        (&Method::POST, "/drain") => {
            shared.send_event(Event::StartDrain);
            plain(202, "draining")
        }
        _ => plain(404, "no such path"),
    }
}

fn is_operator(shared: &Shared, headers: &HeaderMap) -> bool {
    let given = Sha256::digest(bearer(headers).unwrap_or_default());
    let expected = Sha256::digest(shared.secrets.operators.reveal());
    given.as_slice().ct_eq(expected.as_slice()).into()
}

fn status(shared: &Shared) -> Response {
    let (reply, replies) = bounded(1);
    shared.send_event(Event::Status(reply));
    match replies.recv_timeout(STATUS_TIMEOUT) {
        Ok(status) => json(&status),
        Err(_) => plain(503, "the process is busy"),
    }
}

fn timeline(shared: &Shared) -> Response {
    let timeline = shared.timeline();
    let recording = timeline.recording();
    drop(timeline);
    json(&recording)
}

fn json(value: &impl Serialize) -> Response {
    match serde_json::to_string(value) {
        Ok(text) => with_type(200, "application/json", text),
        Err(_) => plain(500, "the answer can't be written"),
    }
}
