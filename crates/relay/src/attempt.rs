//! A single attempt to run a call on an endpoint, and the classification of its result.

use crate::{
    ForwardMetadata,
    call_forwarder::CallForwarder,
    clock,
    endpoint_checks::EndpointCheck,
    forwarding::ForwardedResponse,
    handover::{Awaited, Handover},
    late_answers::Exchange,
    open_call::OpenCall,
    placement::reason_name,
    pool::Connection,
    quarantine::check_open,
    tcp::Sender,
};
use bytes::Bytes;
use core::{
    fmt,
    net::SocketAddr,
    pin::Pin,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};
use http::{Request, Response, response};
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body as _, Incoming};
use poplarswitch_entity::{EndpointName, Time};
use poplarswitch_ingress::{
    EndpointKey, Framing, Health, Outcome, Placement, SoftwareVersion, TrialOutcome,
};
use std::sync::Arc;
use tokio::{sync::Notify, time::Instant};

/// Multiple of the latency objective after which an idempotent call is retried on another endpoint.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 2;
/// Multiple of the latency objective after which a stream is retried on another endpoint; larger
/// than for other calls, because the endpoint may only be busy with other calls.
const STREAM_TIMEOUT_FACTOR: u32 = 5;
/// Maximum size of a response that is buffered before it is forwarded, so that the call can be
/// retried if the response is incomplete.
pub(crate) const MAX_BUFFERED_BYTES: u64 = 128 << 10;

/// Cause of an attempt that ended because this VM doesn't reach the service.
const LOST: &str = "no data, and the endpoints of the service can't be reached";

/// Maximum number of interim responses (status 1xx) to a request.
pub(crate) const MAX_INTERIM: u32 = 16;

/// The endpoint of an attempt, as logged.
#[derive(Clone, Debug)]
pub(crate) struct AttemptInfo {
    pub(crate) endpoint: EndpointName,
    pub(crate) software: Option<SoftwareVersion>,
    address: SocketAddr,
    placement: Placement,
}

/// Result of sending a request: its response and the connection, or the connection's failure.
pub(crate) type Answer = Result<(Response<Incoming>, Sender), FailedExchange>;

/// Why a request has no response.
#[derive(Debug)]
pub(crate) enum FailedExchange {
    /// The connection failed before the request was written to it.
    Unsent(hyper::Error),
    /// The connection failed afterwards.
    Broken(hyper::Error),
    /// The endpoint sends interim responses without end.
    TooManyInterim,
}

/// A request that has been sent, until its response arrives.
pub(crate) type ExchangeFuture = Pin<Box<dyn Future<Output = Answer> + Send>>;

/// A connection to the endpoint of an attempt, on which nothing has been sent yet.
#[derive(Debug)]
pub(crate) struct ReadyAttempt {
    pub(crate) info: AttemptInfo,
    open_call: OpenCall,
    connection: Connection,
}

/// A request that has been sent and has no response yet.
pub(crate) struct PendingAttempt {
    pub(crate) info: AttemptInfo,
    pub(crate) open_call: OpenCall,
    pub(crate) exchange: Exchange,
    /// When the request was sent.
    pub(crate) sent: Time,
    /// Whether the connection had been used before.
    pub(crate) reused: bool,
}

impl PendingAttempt {
    pub(crate) const fn key(&self) -> EndpointKey {
        self.open_call.key()
    }
}

impl fmt::Debug for PendingAttempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PendingAttempt")
            .field("info", &self.info)
            .finish_non_exhaustive()
    }
}

/// A response whose body has not been read yet.
#[derive(Debug)]
pub(crate) struct UnreadResponse {
    pub(crate) info: AttemptInfo,
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) open_call: OpenCall,
    pub(crate) sender: Sender,
    pub(crate) idle_timeout: Option<Duration>,
    pub(crate) framing: Framing,
    /// When the request was sent.
    pub(crate) sent: Time,
    /// When the head arrived.
    pub(crate) began: Time,
}

/// Progress of an attempt whose response is awaited.
enum Stage {
    Head(PendingAttempt),
    Body(UnreadResponse),
}

/// Response of an endpoint.
#[derive(Debug)]
pub(crate) enum EndpointResponse {
    /// The body has been read completely.
    Buffered(response::Parts, Bytes),
    /// The body is forwarded as it arrives.
    Streaming(Box<UnreadResponse>),
    /// Another VM passes the response on; the body is forwarded as it arrives.
    Forwarded(Box<ForwardedResponse>),
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
    pub(crate) fn new(outcome: Outcome, cause: impl Into<String>) -> Self {
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

/// Sends a request on a connection and awaits its response; returns the connection too.
pub(crate) async fn exchange(mut sender: Sender, request: Request<Full<Bytes>>) -> Answer {
    let (request, too_many) = limit_interim(request);
    let response = tokio::select! {
        biased;
        () = too_many.notified() => return Err(FailedExchange::TooManyInterim),
        response = sender.try_send_request(request) => response,
    };
    match response {
        Ok(response) => Ok((response, sender)),
        Err(mut error) => match error.take_message() {
            Some(_unsent) => Err(FailedExchange::Unsent(error.into_error())),
            None => Err(FailedExchange::Broken(error.into_error())),
        },
    }
}

impl CallForwarder {
    /// Time after sending a request from which its endpoint counts as silent, if it has not
    /// answered.
    fn attempt_timeout(&self, time_left: Duration) -> Duration {
        let kind = self.request.route.kind;
        let can_retry = self.attempts.maybe_run < self.request.route.max_attempts;
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
        let info = self.describe(placement).ok_or_else(|| {
            let cause = "the endpoint was removed, is draining or wants no requests";
            FailedAttempt::new(Outcome::NotSent, cause)
        })?;
        self.record_endpoint(&info);
        self.record.attempts += 1;
        let is_checked = self.request.pin.is_begun();
        let ready = self.connect(info, new_connection, is_checked).await?;
        let pending = self.send(ready, last_event_id)?;
        self.respond(pending, last_event_id).await
    }

    /// The endpoint of a placement; none if it wants no requests.
    pub(crate) fn describe(&self, placement: Placement) -> Option<AttemptInfo> {
        let (endpoint, address) = self.endpoint_address(placement.endpoint)?;
        Some(AttemptInfo {
            endpoint,
            address,
            software: self.software_of(placement.endpoint),
            placement,
        })
    }

    /// Connects to an endpoint. With `is_checked`, the endpoint must report on the connection that it
    /// is the incarnation that this VM knows.
    pub(crate) async fn connect(
        &mut self,
        info: AttemptInfo,
        new_connection: bool,
        is_checked: bool,
    ) -> Result<ReadyAttempt, FailedAttempt> {
        let AttemptInfo {
            address, placement, ..
        } = info;
        let key = placement.endpoint;
        let open_call = OpenCall::start(
            &self.shared,
            key,
            self.call_load(placement),
            self.slot.take(),
        );
        // An endpoint that is down would tell nothing of a trial.
        let is_trial = self.is_unsent_trial();
        let new_connection = new_connection
            || is_trial
            || !self.request.route.kind.is_idempotent() && !self.request.route.kind.is_stream();
        let is_reported = is_checked || is_trial && self.is_model_call();
        let checked = if let Some(check) = self.take_late_check(key) {
            self.check_incarnation(placement, check).await
        } else {
            let connection = self.shared.acquire(key, address, new_connection).await;
            let connection = connection.map_err(|error| {
                self.record_health(key, Health::record_unreachable);
                self.shared.mark_in_doubt(key);
                self.unconnected = true;
                FailedAttempt::new(Outcome::NotSent, error.to_string())
            })?;
            if is_reported && self.endpoint_address(key).is_none() {
                self.shared.return_connection(key, connection.sender, None);
                let cause = "the endpoint changed while the connection was opened";
                return Err(FailedAttempt::new(Outcome::NotSent, cause));
            }
            if is_reported {
                let check = EndpointCheck::of(key, connection);
                self.check_incarnation(placement, check).await
            } else if is_trial {
                check_open(connection).await
            } else {
                Ok(connection)
            }
        };
        let connection = checked.map_err(|cause| FailedAttempt::new(Outcome::NotSent, cause))?;
        if is_trial {
            self.record_alive(key);
        }
        Ok(ReadyAttempt {
            info,
            open_call,
            connection,
        })
    }

    /// Records the endpoint whose answer is awaited.
    pub(crate) fn record_endpoint(&mut self, info: &AttemptInfo) {
        self.record.endpoint = info.endpoint.as_str().into();
        self.record.software.clone_from(&info.software);
        self.record.reason = reason_name(info.placement.reason);
        self.record.expected = info.placement.expected;
    }

    /// Sends the request on a connection. The endpoint counts among those that may have run the call
    /// until its answer shows the contrary.
    pub(crate) fn send(
        &mut self,
        ready: ReadyAttempt,
        last_event_id: Option<&str>,
    ) -> Result<PendingAttempt, FailedAttempt> {
        let ReadyAttempt {
            info,
            open_call,
            connection,
        } = ready;
        let key = info.placement.endpoint;
        let now = clock::now();
        // The process may have been suspended while the connection was opened.
        if self.check_allowed(now).is_err() || self.endpoint_address(key).is_none() {
            return Err(FailedAttempt::new(
                Outcome::NotSent,
                "the configuration or the endpoint changed before the call was sent",
            ));
        }
        let cache_source = info.placement.cache_source;
        let cache_source = cache_source.and_then(|key| self.endpoint_address(key));
        let cache_source = cache_source.map(|(_, address)| address);
        let time_left = self.request.deadline.since(now);
        let request = self.build_request(&info.endpoint, time_left, cache_source, last_event_id);
        let Connection { sender, reused, .. } = connection;
        self.attempts.maybe_run += 1;
        self.record_trial(TrialOutcome::Cut);
        Ok(PendingAttempt {
            info,
            open_call,
            exchange: Exchange::new(
                Box::pin(exchange(sender, request)),
                &self.shared,
                key,
                &self.request.call.id,
                self.request.deadline,
            ),
            sent: now,
            reused,
        })
    }

    /// Awaits the response to a request. While the endpoint is silent, the call is handed over to
    /// another one if that is possible.
    pub(crate) async fn respond(
        &mut self,
        pending: PendingAttempt,
        last_event_id: Option<&str>,
    ) -> Result<EndpointResponse, FailedAttempt> {
        let mut stage = Stage::Head(pending);
        loop {
            stage = match stage {
                Stage::Head(pending) => self.await_head(pending, last_event_id).await?,
                Stage::Body(unread) => {
                    self.record_endpoint(&unread.info);
                    self.record.framing = Some(unread.framing);
                    let length = unread.body.size_hint().exact();
                    let is_streaming =
                        self.request.route.kind.is_stream() && unread.head.status.is_success();
                    if is_streaming || length.is_none_or(|bytes| bytes > MAX_BUFFERED_BYTES) {
                        let key = unread.open_call.key();
                        return self.finish(key, EndpointResponse::Streaming(Box::new(unread)));
                    }
                    match self.await_body(unread, last_event_id).await? {
                        Ok((key, response)) => return self.finish(key, response),
                        Err(stage) => stage,
                    }
                }
            };
        }
    }

    async fn await_head(
        &mut self,
        mut pending: PendingAttempt,
        last_event_id: Option<&str>,
    ) -> Result<Stage, FailedAttempt> {
        self.record_endpoint(&pending.info);
        let limit = self.silence_limit(pending.sent);
        let name = pending.info.endpoint.clone();
        let silence = format!("no answer within {} ms", limit.as_millis());
        let awaited = Awaited {
            key: pending.key(),
            name: &name,
            silent_at: Instant::now() + limit,
            silence: &silence,
        };
        let answer = Pin::new(&mut pending.exchange);
        let result = match self.await_answer(awaited, answer, last_event_id).await {
            Handover::Continued(result) => result,
            Handover::Begun(unread) => return Ok(Stage::Body(*unread)),
            Handover::Sent(next) => return Ok(Stage::Head(*next)),
            Handover::Failed => return Err(FailedAttempt::new(Outcome::Doubtful, silence)),
            Handover::Lost => return Err(FailedAttempt::new(Outcome::Doubtful, LOST)),
        };
        self.accept(pending, result).map(Stage::Body)
    }

    /// Reads a short response completely.
    async fn await_body(
        &mut self,
        unread: UnreadResponse,
        last_event_id: Option<&str>,
    ) -> Result<Result<(EndpointKey, EndpointResponse), Stage>, FailedAttempt> {
        let silent_at = Instant::now() + self.silence_limit(unread.sent);
        let UnreadResponse {
            info,
            head,
            body,
            mut open_call,
            sender,
            idle_timeout,
            began,
            ..
        } = unread;
        let key = open_call.key();
        let body = core::pin::pin!(body.collect());
        let silence = "the response did not end in time";
        let awaited = Awaited {
            key,
            name: &info.endpoint,
            silent_at,
            silence,
        };
        let result = match self.await_answer(awaited, body, last_event_id).await {
            Handover::Continued(result) => result,
            Handover::Begun(unread) => return Ok(Err(Stage::Body(*unread))),
            Handover::Sent(next) => return Ok(Err(Stage::Head(*next))),
            Handover::Failed => return Err(FailedAttempt::new(Outcome::Doubtful, silence)),
            Handover::Lost => return Err(FailedAttempt::new(Outcome::Doubtful, LOST)),
        };
        match result {
            Ok(body) => {
                open_call.complete();
                self.shared.return_connection(key, sender, idle_timeout);
                let bytes = body.to_bytes();
                self.record.received = bytes.len() as u64;
                self.record_answer(began, head.status.is_success());
                Ok(Ok((key, EndpointResponse::Buffered(head, bytes))))
            }
            Err(error) => {
                self.record_failure(key);
                self.record_cut(key, Some(began));
                Err(FailedAttempt::new(
                    Outcome::Doubtful,
                    format!("the response is incomplete: {error}"),
                ))
            }
        }
    }

    /// Time until an endpoint to which a request was sent counts as silent.
    pub(crate) fn silence_limit(&self, sent: Time) -> Duration {
        let time_left = self.request.deadline.since(sent);
        self.attempt_timeout(time_left)
            .saturating_sub(clock::now().since(sent))
    }

    /// Software version of an endpoint, if it is known.
    fn software_of(&self, key: EndpointKey) -> Option<SoftwareVersion> {
        let core = self.shared.core();
        core.endpoints.get(key)?.entry.software.clone()
    }

    /// Name and address of an endpoint, if it wants requests.
    pub(crate) fn endpoint_address(&self, key: EndpointKey) -> Option<(EndpointName, SocketAddr)> {
        let core = self.shared.core();
        let endpoint = core.endpoints.get(key)?;
        let ready = endpoint.entry.state == poplarswitch_ingress::EndpointState::Ready;
        let wants_requests = ready && !endpoint.pause.holds(clock::now());
        wants_requests.then(|| (endpoint.entry.name.clone(), endpoint.entry.address))
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
}
