//! The platform's object API over HTTP, with rate limits, outages and lost answers.

use crate::{
    ServerError,
    body::{Body, full, json, plain},
    server::{Answer, Cut, Handler, Server},
    service::lock,
};
use core::{net::SocketAddr, time::Duration};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use poplarswitch_entity::Time;
use poplarswitch_platform::{
    Budget, Rates, Spend,
    protocol::{self, LIST, OBJECTS, RETRY_AFTER_MS, VMS, WATCH},
};
use poplarswitch_store::{
    Key, MAX_VALUE_BYTES, MemoryStore, Reply, Request as StoreRequest, Version, Versioned, VmRecord,
};
use std::{
    sync::{Arc, Mutex},
    time::Instant,
};
use tokio::sync::watch;

/// Retry time told during an outage.
const OUTAGE_RETRY: Duration = Duration::from_millis(500);

/// Limits of the platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformSpec {
    /// Calls a second over all clients.
    pub rates: Rates,
}

impl Default for PlatformSpec {
    fn default() -> Self {
        Self {
            rates: Rates {
                writes: 400,
                reads: 2_000,
            },
        }
    }
}

/// Faults of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformFaults {
    /// Refuses every call.
    pub outage: bool,
    /// Added to every call.
    pub delay: Duration,
    /// Carries out writes, then cuts the connection.
    pub lose_answers: bool,
}

/// What the platform has been asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformStats {
    /// Writes and deletes carried out.
    pub writes: u64,
    /// Reads, listings and watches carried out.
    pub reads: u64,
    /// Calls over the rate.
    pub limited: u64,
}

#[derive(Debug)]
struct State {
    store: Mutex<MemoryStore>,
    budget: Mutex<Budget>,
    faults: Mutex<PlatformFaults>,
    stats: Mutex<PlatformStats>,
    changed: watch::Sender<u64>,
    started: Instant,
}

/// A running platform.
#[derive(Debug)]
pub struct Platform {
    server: Server,
    state: Arc<State>,
}

impl Platform {
    /// Starts empty at an address.
    pub fn start(address: SocketAddr, spec: PlatformSpec) -> Result<Self, ServerError> {
        let state = Arc::new(State {
            store: Mutex::new(MemoryStore::new()),
            budget: Mutex::new(Budget::new(spec.rates)),
            faults: Mutex::default(),
            stats: Mutex::default(),
            changed: watch::Sender::new(0),
            started: Instant::now(),
        });
        let server = Server::start(address, Arc::clone(&state))?;
        Ok(Self { server, state })
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The base address for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Changes its faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        lock(&self.state.store).set_vms(vms);
    }

    /// What it has been asked so far.
    pub fn stats(&self) -> PlatformStats {
        *lock(&self.state.stats)
    }

    /// Carries out a request without HTTP, limits or faults.
    pub fn apply(&self, request: &StoreRequest) -> Reply {
        let reply = lock(&self.state.store).apply(request);
        self.state.changed.send_modify(|count| *count += 1);
        reply
    }
}

impl Handler for State {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let faults = *lock(&self.faults);
        if faults.outage {
            return Ok(unavailable(OUTAGE_RETRY));
        }
        tokio::time::sleep(faults.delay).await;
        let request = match parse(request).await {
            Ok(request) => request,
            Err(response) => return Ok(response),
        };
        if let Err(wait) = self.admit(&request) {
            return Ok(unavailable(wait));
        }
        let reply = self.carry_out(&request).await;
        match request {
            StoreRequest::Put { .. } | StoreRequest::Delete { .. } if faults.lose_answers => {
                Err(Cut)
            }
            _ => Ok(respond(reply)),
        }
    }
}

impl State {
    fn admit(&self, request: &StoreRequest) -> Result<(), Duration> {
        let now = Time(self.started.elapsed().as_micros() as u64);
        let spend = match request {
            StoreRequest::Put { .. } | StoreRequest::Delete { .. } => Spend::Write,
            _ => Spend::Read,
        };
        let admitted = lock(&self.budget).take(now, spend);
        let mut stats = lock(&self.stats);
        match (&admitted, spend) {
            (Err(_), _) => stats.limited += 1,
            (Ok(()), Spend::Write) => stats.writes += 1,
            (Ok(()), Spend::Read) => stats.reads += 1,
        }
        admitted
    }

    async fn carry_out(&self, request: &StoreRequest) -> Reply {
        match request {
            StoreRequest::Watch { wait, .. } => self.watch(request, *wait).await,
            StoreRequest::Put { .. } | StoreRequest::Delete { .. } => {
                let reply = lock(&self.store).apply(request);
                self.changed.send_modify(|count| *count += 1);
                reply
            }
            _ => lock(&self.store).apply(request),
        }
    }

    async fn watch(&self, request: &StoreRequest, wait: Duration) -> Reply {
        let mut changes = self.changed.subscribe();
        let found = async {
            loop {
                let reply = lock(&self.store).apply(request);
                if reply != Reply::Unchanged || changes.changed().await.is_err() {
                    return reply;
                }
            }
        };
        let limit = tokio::time::timeout(wait, found);
        limit.await.unwrap_or(Reply::Unchanged)
    }
}

async fn parse(request: Request<Incoming>) -> Result<StoreRequest, Response<Body>> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    let query = parts.uri.query().unwrap_or_default();
    if path == VMS {
        return Ok(StoreRequest::Vms);
    }
    if path == LIST {
        return Ok(StoreRequest::List {
            prefix: protocol::list_query(query),
        });
    }
    if let Some(key) = path.strip_prefix(WATCH) {
        let (after, wait) = protocol::watch_query(query);
        return Ok(StoreRequest::Watch {
            key: Key::from(key),
            after,
            wait,
        });
    }
    let Some(key) = path.strip_prefix(OBJECTS).map(Key::from) else {
        return Err(plain(StatusCode::NOT_FOUND, "no such path"));
    };
    let guard = guard(&parts.headers);
    match parts.method {
        Method::GET => Ok(StoreRequest::Get { key }),
        Method::DELETE => Ok(StoreRequest::Delete { key, guard }),
        Method::PUT => {
            let limited = Limited::new(body, MAX_VALUE_BYTES).collect().await;
            let value = limited
                .map_err(|_too_large| plain(StatusCode::PAYLOAD_TOO_LARGE, "value too large"))?;
            let value = value.to_bytes().as_ref().into();
            Ok(StoreRequest::Put { key, value, guard })
        }
        _ => Err(plain(StatusCode::METHOD_NOT_ALLOWED, "no such method")),
    }
}

fn guard(headers: &HeaderMap) -> poplarswitch_store::Guard {
    let text = |name| {
        headers
            .get(name)
            .and_then(|value: &HeaderValue| value.to_str().ok())
    };
    protocol::guard(text(header::IF_MATCH), text(header::IF_NONE_MATCH))
}

fn respond(reply: Reply) -> Response<Body> {
    match reply {
        Reply::Object(Some(object)) => tagged(StatusCode::OK, &object),
        Reply::Object(None) => plain(StatusCode::NOT_FOUND, ""),
        Reply::Done { version } => with_tag(plain(StatusCode::OK, ""), version),
        Reply::Conflict {
            current: Some(current),
        } => tagged(StatusCode::PRECONDITION_FAILED, &current),
        Reply::Conflict { current: None } => plain(StatusCode::PRECONDITION_FAILED, ""),
        Reply::Listing(listing) => json(StatusCode::OK, &listing),
        Reply::Vms(vms) => json(StatusCode::OK, &vms),
        Reply::Unchanged => plain(StatusCode::NOT_MODIFIED, ""),
        Reply::Unavailable { retry_after } => unavailable(retry_after),
        Reply::Unknown => plain(StatusCode::INTERNAL_SERVER_ERROR, ""),
    }
}

fn tagged(status: StatusCode, object: &Versioned) -> Response<Body> {
    let mut response = Response::new(full(object.value.to_vec()));
    *response.status_mut() = status;
    with_tag(response, object.version)
}

fn with_tag(mut response: Response<Body>, version: Version) -> Response<Body> {
    if let Ok(tag) = HeaderValue::from_str(&protocol::tag(version)) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}

fn unavailable(wait: Duration) -> Response<Body> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "");
    let wait = HeaderValue::from(wait.as_millis() as u64);
    response.headers_mut().insert(RETRY_AFTER_MS, wait);
    response
}
