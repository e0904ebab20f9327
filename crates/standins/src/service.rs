//! A plain service that counts the runs of each idempotency key.
//!
//! The service does not deduplicate calls: it runs and counts each call that it receives, so that
//! a test sees every run that VMs caused.

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

/// Header that carries the idempotency key of an operation.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header of a response which states that the call was not run.
const NOT_RUN: &str = "x-not-run";
/// Largest accepted body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Faults that are injected into a plain service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceFaults {
    /// Time that each run takes.
    pub delay: Duration,
    /// Declines each call without running it, and says so in the response.
    pub decline: bool,
    /// Runs each call, then cuts the connection without a response.
    pub lose_answers: bool,
}

/// Counts of the runs at a plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceStats {
    /// Number of runs of each idempotency key.
    pub runs: BTreeMap<String, u32>,
    /// Number of runs without a key.
    pub unkeyed: u32,
}

impl ServiceStats {
    /// Number of keys that ran more than once.
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
    /// Starts a service that listens on an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if the service can't listen on the address.
    pub fn start(address: SocketAddr) -> Result<Self, ServerError> {
        let state = Arc::new(State::default());
        let server = Server::start(address, Arc::clone(&state))?;
        Ok(Self { server, state })
    }

    /// Address on which the service listens.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the injected faults for calls that arrive afterwards.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// Counts of the runs so far.
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
            return Ok(declined_response());
        }
        self.count_run(key.as_deref());
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
    fn count_run(&self, key: Option<&str>) {
        let mut stats = lock(&self.stats);
        match key {
            Some(key) => *stats.runs.entry(key.to_owned()).or_default() += 1,
            None => stats.unkeyed += 1,
        }
    }
}

fn declined_response() -> Response<Body> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "not run");
    let value = http::HeaderValue::from_static("true");
    response.headers_mut().insert(NOT_RUN, value);
    response
}

fn header(request: &Request<Incoming>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

/// Locks a mutex, even if a thread panicked while holding the lock. The data must be valid after
/// such a panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
