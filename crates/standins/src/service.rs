//! A plain service that counts each run by its idempotency key.
//!
//! It does not deduplicate: a key that runs twice is counted twice, so that a test sees every
//! run that the router caused.

use crate::{
    ServerError,
    body::{Body, json_response, text_response},
    server::{ConnectionCut, Handler, HandlerResult, Server},
};
use core::{net::SocketAddr, time::Duration};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

/// Header that names an operation.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header that proves that a call was not run.
const NOT_RUN: &str = "x-not-run";
/// Largest body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Faults of a plain service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceFaults {
    /// Time that each run takes.
    pub delay: Duration,
    /// Says that it did not run the call.
    pub decline: bool,
    /// Runs the call, then cuts the connection.
    pub lose_answers: bool,
}

/// What a plain service has done.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceStats {
    /// Runs by idempotency key.
    pub runs: BTreeMap<String, u32>,
    /// Runs without a key.
    pub unkeyed: u32,
}

impl ServiceStats {
    /// Keys that ran more than once.
    pub fn repeated_keys(&self) -> usize {
        self.runs.values().filter(|runs| **runs > 1).count()
    }
}

#[derive(Debug, Default)]
struct State {
    faults: Mutex<ServiceFaults>,
    stats: Mutex<ServiceStats>,
}

/// A running plain service.
#[derive(Debug)]
pub struct Service {
    server: Server,
    state: Arc<State>,
}

impl Service {
    /// Starts at an address.
    pub fn start(address: SocketAddr) -> Result<Self, ServerError> {
        let state = Arc::new(State::default());
        let server = Server::start(address, Arc::clone(&state))?;
        Ok(Self { server, state })
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes its faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// What it has done so far.
    pub fn stats(&self) -> ServiceStats {
        lock(&self.state.stats).clone()
    }
}

impl Handler for State {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let faults = *lock(&self.faults);
        let key = header(&request, IDEMPOTENCY_KEY);
        let path = request.uri().path().to_owned();
        let method = request.method().to_string();
        let Ok(body) = Limited::new(request.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
        else {
            return Ok(text_response(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body too large",
            ));
        };
        if faults.decline {
            return Ok(declined());
        }
        self.count(key.as_deref());
        tokio::time::sleep(faults.delay).await;
        if faults.lose_answers {
            return Err(ConnectionCut);
        }
        let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        let answer = serde_json::json!({
            "method": method, "path": path, "key": key, "body": body,
        });
        Ok(json_response(StatusCode::OK, &answer))
    }
}

impl State {
    fn count(&self, key: Option<&str>) {
        let mut stats = lock(&self.stats);
        match key {
            Some(key) => *stats.runs.entry(key.to_owned()).or_default() += 1,
            None => stats.unkeyed += 1,
        }
    }
}

fn declined() -> Response<Body> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "not run");
    let yes = http::HeaderValue::from_static("true");
    response.headers_mut().insert(NOT_RUN, yes);
    response
}

fn header(request: &Request<Incoming>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

/// Locks a mutex whose data stays valid when a holder panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
