//! A single attempt to run a call on an endpoint, and the classification of its result.

use crate::{
    ForwardMetadata, ResponseInfo, ResponseKind, call_forwarder::CallForwarder, clock,
    framing::framing_of, open_call::OpenCall, placement::reason_name, pool::Connection,
    reply::millis_since, tcp::Sender,
};
use bytes::Bytes;
use core::{
    net::SocketAddr,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};
use http::{Request, Response, response};
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body as _, Incoming};
use poplarswitch_entity::{EndpointName, Time};
use poplarswitch_ingress::{EndpointKey, Framing, Health, Outcome, Placement, SoftwareVersion};
use std::sync::Arc;
use tokio::{sync::Notify, time::timeout};

/// Multiple of the latency objective after which an idempotent call is retried on another endpoint.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 2;
/// Multiple of the latency objective after which a stream is retried on another endpoint; larger
/// than for other calls, because the endpoint may only be busy with other calls.
const STREAM_TIMEOUT_FACTOR: u32 = 5;
/// Maximum size of a response that is buffered before it is forwarded, so that the call can be
/// retried if the response is incomplete.
const MAX_BUFFERED_BYTES: u64 = 128 << 10;

/// Maximum number of interim responses (status 1xx) to a request.
const MAX_INTERIM: u32 = 16;

/// A response whose body has not been read yet.
#[derive(Debug)]
pub(crate) struct UnreadResponse {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) open_call: OpenCall,
    pub(crate) sender: Sender,
    pub(crate) idle_timeout: Option<Duration>,
    pub(crate) framing: Framing,
    /// When the head arrived.
    pub(crate) began: Time,
}

/// Response of an endpoint.
#[derive(Debug)]
pub(crate) enum EndpointResponse {
    /// The body has been read completely.
    Buffered(response::Parts, Bytes),
    /// The body is forwarded as it arrives.
    Streaming(Box<UnreadResponse>),
}

/// Result of an attempt without a usable response.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    pub(crate) outcome: Outcome,
    /// The endpoint's response, if the endpoint ran the call and reported a failure.
    pub(crate) response: Option<Box<EndpointResponse>>,
    pub(crate) cause: String,
}

impl FailedAttempt {
    fn new(outcome: Outcome, cause: impl Into<String>) -> Self {
        Self {
            outcome,
            response: None,
            cause: cause.into(),
        }
    }
}

/// Counts the interim responses to a request; the second value is notified if there are too many.
fn limit_interim(mut request: Request<Full<Bytes>>) -> (Request<Full<Bytes>>, Arc<Notify>) {
    let too_many = Arc::new(Notify::new());
    let notify = Arc::clone(&too_many);
    let count = AtomicU32::new(0);
    hyper::ext::on_informational(&mut request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM {
            notify.notify_one();
        }
    });
    (request, too_many)
}

impl CallForwarder {
    /// Time to wait for a response before another endpoint is tried.
    fn attempt_timeout(&self, time_left: Duration) -> Duration {
        let kind = self.request.route.kind;
        let can_retry = self.attempts.maybe_run + 1 < self.request.route.max_attempts;
        let factor = if kind.is_stream() {
            STREAM_TIMEOUT_FACTOR
        } else {
            ATTEMPT_TIMEOUT_FACTOR
        };
        match self.request.route.objective {
            Some(objective) if kind.is_idempotent() && can_retry => {
                time_left.min(objective * factor)
            }
            _ => time_left,
        }
    }

    /// Attempts the call on the endpoint of a placement. With `last_event_id`, the response
    /// continues after that event; with `new_connection`, no idle connection is used.
    pub(crate) async fn attempt(
        &mut self,
        placement: Placement,
        last_event_id: Option<&str>,
        new_connection: bool,
    ) -> Result<EndpointResponse, FailedAttempt> {
        let key = placement.endpoint;
        let Some((name, address)) = self.endpoint_address(key) else {
            return Err(FailedAttempt::new(
                Outcome::NotSent,
                "the endpoint was removed or is draining",
            ));
        };
        self.record.endpoint = name.as_str().into();
        self.record.software = self.software_of(key);
        self.record.reason = reason_name(placement.reason);
        self.record.expected = placement.expected;
        self.record.attempts += 1;
        let open_call = OpenCall::start(&self.shared, key, self.call_load(placement));
        let new_connection = new_connection
            || !self.request.route.kind.is_idempotent() && !self.request.route.kind.is_stream();
        let connection = self.shared.acquire(key, address, new_connection).await;
        let connection = connection.map_err(|error| {
            self.record_health(key, Health::record_unreachable);
            self.shared.mark_in_doubt(key);
            FailedAttempt::new(Outcome::NotSent, error.to_string())
        })?;
        let connection = if self.request.pin.is_begun() {
            let checked = self.check_incarnation(key, address, connection).await;
            checked.map_err(|cause| FailedAttempt::new(Outcome::NotSent, cause))?
        } else {
            connection
        };
        let started = clock::now();
        // The process may have been suspended while the connection was opened.
        if self.check_allowed(started).is_err() || self.endpoint_address(key).is_none() {
            return Err(FailedAttempt::new(
                Outcome::NotSent,
                "the configuration or the endpoint changed before the call was sent",
            ));
        }
        let time_left = self.request.deadline.since(started);
        let cache_source = placement
            .cache_source
            .and_then(|key| self.endpoint_address(key));
        let cache_source = cache_source.map(|(_, address)| address);
        let request = self.build_request(&name, time_left, cache_source, last_event_id);
        let (response, sender) = self.exchange(key, connection, request, time_left).await?;
        let (head, body) = response.into_parts();
        let info = self.shared.protocol.classify_response(
            head.status,
            &head.headers,
            &self.request.call.id,
        );
        self.observe_limit(key, started, &info);
        if let Err(failed) = self.check_head(key, &head, &info) {
            if failed.outcome == Outcome::Refused {
                open_call.record_refusal();
            }
            return Err(failed);
        }
        self.record_begin(key);
        let framing = framing_of(&head.headers, &body);
        self.record.framing = Some(framing);
        let unread = UnreadResponse {
            head,
            body,
            open_call,
            sender,
            idle_timeout: info.idle_timeout,
            framing,
            began: clock::now(),
        };
        let server_error = unread.head.status.is_server_error();
        let response = self.read_response(unread, started).await?;
        if !server_error {
            self.record_health(key, |health, _| health.record_success());
            return Ok(response);
        }
        self.record_failure(key);
        Err(FailedAttempt {
            outcome: Outcome::Failed,
            response: Some(Box::new(response)),
            cause: "the endpoint reported a failure".to_owned(),
        })
    }

    /// Software version of an endpoint, if it is known.
    fn software_of(&self, key: EndpointKey) -> Option<SoftwareVersion> {
        let core = self.shared.core();
        core.endpoints.get(key)?.entry.software.clone()
    }

    /// Name and address of an endpoint, if it accepts calls.
    pub(crate) fn endpoint_address(&self, key: EndpointKey) -> Option<(EndpointName, SocketAddr)> {
        let core = self.shared.core();
        let endpoint = core.endpoints.get(key)?;
        let ready = endpoint.entry.state == poplarswitch_ingress::EndpointState::Ready;
        ready.then(|| (endpoint.entry.name.clone(), endpoint.entry.address))
    }

    fn build_request(
        &self,
        name: &EndpointName,
        time_left: Duration,
        cache_source: Option<SocketAddr>,
        last_event_id: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.request.headers);
        let metadata = ForwardMetadata {
            endpoint: name,
            workspace: self.request.workspace.as_deref(),
            priority: self
                .request
                .call
                .prompt
                .as_ref()
                .map(|_| self.request.priority),
            time_left,
            cache_source,
            last_event_id,
        };
        self.shared.protocol.add_metadata(headers, &metadata);
        request
    }

    async fn exchange(
        &self,
        key: EndpointKey,
        connection: Connection,
        request: Request<Full<Bytes>>,
        time_left: Duration,
    ) -> Result<(Response<Incoming>, Sender), FailedAttempt> {
        let Connection { mut sender, reused } = connection;
        let attempt_timeout = self.attempt_timeout(time_left);
        let sent = clock::now();
        let (request, too_many) = limit_interim(request);
        let response = async {
            tokio::select! {
                biased;
                () = too_many.notified() => None,
                response = sender.try_send_request(request) => Some(response),
            }
        };
        match timeout(attempt_timeout, response).await {
            Ok(None) => {
                self.record_failure(key);
                let cause = format!("more than {MAX_INTERIM} interim responses");
                Err(FailedAttempt::new(Outcome::Doubtful, cause))
            }
            Ok(Some(Ok(response))) => Ok((response, sender)),
            Ok(Some(Err(mut error))) => {
                let unsent = error.take_message().is_some();
                let cause = format!("after {} ms: {}", millis_since(sent), error.into_error());
                if unsent && reused {
                    self.shared.mark_in_doubt(key);
                    return Err(FailedAttempt::new(Outcome::NotSent, cause));
                }
                self.record_failure(key);
                let outcome = if unsent {
                    Outcome::NotSent
                } else {
                    self.record_cut(key, None);
                    Outcome::Doubtful
                };
                Err(FailedAttempt::new(outcome, cause))
            }
            Err(_elapsed) => {
                self.record_failure(key);
                let cause = format!("no answer within {} ms", attempt_timeout.as_millis());
                Err(FailedAttempt::new(Outcome::Doubtful, cause))
            }
        }
    }

    /// Checks whether a response may be forwarded to the caller.
    fn check_head(
        &self,
        key: EndpointKey,
        head: &response::Parts,
        info: &ResponseInfo,
    ) -> Result<(), FailedAttempt> {
        let status = head.status;
        match info.kind {
            ResponseKind::Answer => {}
            ResponseKind::OtherCall => {
                return Err(FailedAttempt::new(
                    Outcome::Doubtful,
                    "the response has the identifier of another call",
                ));
            }
            ResponseKind::Displaced => {
                self.record_health(key, Health::record_unreachable);
                return Err(FailedAttempt::new(
                    Outcome::Displaced,
                    format!("status {status}"),
                ));
            }
            ResponseKind::NotRun => {
                self.record_health(key, Health::record_full);
                return Err(FailedAttempt::new(
                    Outcome::Refused,
                    format!("status {status}"),
                ));
            }
        }
        if !info.signed {
            self.record_failure(key);
            let cause = format!("status {status} without the endpoint's signature");
            return Err(FailedAttempt::new(Outcome::Doubtful, cause));
        }
        let says_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        if says_not_run {
            // To the caller, these status codes mean that the call has not run.
            let cause = format!("status {status} from an endpoint that may have run the call");
            return Err(FailedAttempt::new(Outcome::Doubtful, cause));
        }
        Ok(())
    }

    /// Reads a short response completely; streams and long responses are left to be forwarded.
    async fn read_response(
        &mut self,
        unread: UnreadResponse,
        started: Time,
    ) -> Result<EndpointResponse, FailedAttempt> {
        let length = unread.body.size_hint().exact();
        let is_streaming = self.request.route.kind.is_stream() && unread.head.status.is_success();
        if is_streaming || length.is_none_or(|bytes| bytes > MAX_BUFFERED_BYTES) {
            return Ok(EndpointResponse::Streaming(Box::new(unread)));
        }
        let UnreadResponse {
            head,
            body,
            open_call,
            sender,
            idle_timeout,
            began,
            ..
        } = unread;
        let attempt_timeout = self.attempt_timeout(self.request.deadline.since(started));
        let time_left = attempt_timeout.saturating_sub(clock::now().since(started));
        let key = open_call.key();
        match timeout(time_left, body.collect()).await {
            Ok(Ok(body)) => {
                self.shared.return_connection(key, sender, idle_timeout);
                let bytes = body.to_bytes();
                self.record.received = bytes.len() as u64;
                if head.status.is_success() {
                    self.record_answer(began);
                }
                Ok(EndpointResponse::Buffered(head, bytes))
            }
            Ok(Err(error)) => {
                self.record_failure(key);
                self.record_cut(key, Some(began));
                Err(FailedAttempt::new(
                    Outcome::Doubtful,
                    format!("the response is incomplete: {error}"),
                ))
            }
            Err(_elapsed) => {
                self.record_failure(key);
                Err(FailedAttempt::new(
                    Outcome::Doubtful,
                    "the response did not end in time",
                ))
            }
        }
    }

    /// Records that an endpoint failed a call.
    pub(crate) fn record_failure(&self, key: EndpointKey) {
        self.shared.mark_in_doubt(key);
        self.record_health(key, |health, now| {
            health.record_failure(now);
        });
    }

    /// Updates an endpoint's health with the result of a call, and logs an ejection.
    pub(crate) fn record_health(&self, key: EndpointKey, update: impl FnOnce(&mut Health, Time)) {
        let now = clock::now();
        let mut core = self.shared.core();
        let Some(endpoint) = core.endpoints.get_mut(key) else {
            return;
        };
        let before = endpoint.health.is_ejected(now);
        update(&mut endpoint.health, now);
        let ejected = !before && endpoint.health.is_ejected(now);
        let failing = endpoint.health.failure_rate();
        let name = endpoint.entry.name.clone();
        drop(core);
        if ejected {
            tracing::info!(
                event = "rests",
                endpoint = name.as_str(),
                failing,
                id = &*self.request.call.id,
                "endpoint"
            );
        }
    }
}
