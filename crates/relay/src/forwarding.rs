//! Forwarding of calls to other VMs.
//!
//! A VM that doesn't reach the endpoints of a service sends its calls to a VM that does, at the port for
//! other VMs. That VM serves a forwarded call as it serves a caller's: it checks the key and the route,
//! charges the retry budget, and observes limits, pauses and held subjects; it forwards it no further.
//! Nothing on the callers' port marks a call as forwarded.
//!
//! The response has a header that tells an endpoint's answer from a failure of the VM, and whether the
//! call may have run. A call whose connection breaks after it was sent may have run.

use crate::{
    attempt::{EndpointResponse, FailedExchange, MAX_BUFFERED_BYTES, exchange},
    call_forwarder::CallForwarder,
    classification::is_final,
    clock,
    framing::framing_of,
    reply::Failure,
    shared::Shared,
    tcp,
};
use core::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};
use http::{HeaderName, HeaderValue, Request, header, response};
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body as _, Incoming};
use poplarswitch_entity::{EndpointName, ServiceName};
use poplarswitch_ingress::{Framing, Phase, Reachability, hash_text};
use poplarswitch_wire::ErrorCode;
use rand::Rng as _;
use std::sync::Arc;
use tokio::time::{Instant, sleep, sleep_until};

/// Marks a request as forwarded: the remaining time in milliseconds, and the number of endpoints that may
/// have run the call.
const FORWARDED: HeaderName = HeaderName::from_static("poplarswitch-forwarded");
/// Version of the configuration by which the VM that forwards a call decides. VMs of an earlier version
/// neither send nor read it.
const FORWARD_VERSION: HeaderName = HeaderName::from_static("poplarswitch-forward-version");
/// Tells what the response to a forwarded call is.
const FORWARD_RESULT: HeaderName = HeaderName::from_static("poplarswitch-forward-result");
/// The endpoint whose answer is passed on: its start in milliseconds, and its name.
const FORWARD_ENDPOINT: HeaderName = HeaderName::from_static("poplarswitch-forward-endpoint");
/// Maximum number of VMs to which a call is forwarded one after the other.
const MAX_HELPERS: usize = 3;
/// Time limit for a connection to another VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Remaining time in which only one more connection can be tried; it is tried by a VM that reaches the
/// service.
const SHORT_TIME: Duration = Duration::from_millis(800);
/// Interval at which the heartbeats of a VM that has a forwarded call are checked.
const HELPER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Origin of a call: its caller, or a VM that has forwarded it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Hop {
    /// From its caller.
    Caller,
    /// From a VM that doesn't reach the call's service.
    Vm {
        /// Time that is left for the call.
        time_left: Duration,
        /// Endpoints that may have run the call.
        maybe_run: u32,
        /// Version of the configuration that the call may not go back behind; 0 if it is unknown.
        version: u64,
    },
}

impl Hop {
    /// Reads how a request at the port for other VMs has arrived; none if it is no forwarded call.
    pub(crate) fn take<B>(request: &mut Request<B>) -> Option<Self> {
        let value = request.headers_mut().remove(FORWARDED)?;
        let version = request.headers_mut().remove(FORWARD_VERSION);
        let version = version.map_or(Some(0), |value| value.to_str().ok()?.parse().ok());
        let (time_left, maybe_run) = value.to_str().ok()?.split_once(' ')?;
        Some(Self::Vm {
            time_left: Duration::from_millis(time_left.parse().ok()?),
            maybe_run: maybe_run.parse().ok()?,
            version: version?,
        })
    }

    fn header(time_left: Duration, maybe_run: u32) -> HeaderValue {
        let text = format!("{} {maybe_run}", time_left.as_millis());
        HeaderValue::from_str(&text).expect("digits and a space are valid in a header")
    }

    /// Number of endpoints that may have run the call before it reached this VM.
    pub(crate) const fn maybe_run(self) -> u32 {
        match self {
            Self::Caller => 0,
            Self::Vm { maybe_run, .. } => maybe_run,
        }
    }

    /// Version of the configuration that the call may not go back behind.
    pub(crate) const fn min_version(self) -> u64 {
        match self {
            Self::Caller => 0,
            Self::Vm { version, .. } => version,
        }
    }
}

/// Kind of the response to a forwarded call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ForwardResult {
    /// An endpoint's answer.
    Answer,
    /// A failure of the VM; the call has not run.
    NotRun,
    /// A failure of the VM; the call may have run.
    Failed,
}

impl ForwardResult {
    const ALL: [Self; 3] = [Self::Answer, Self::NotRun, Self::Failed];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::NotRun => "not-run",
            Self::Failed => "failed",
        }
    }

    /// Marks the response to a forwarded call.
    pub(crate) fn mark(self, headers: &mut http::HeaderMap) {
        headers.insert(FORWARD_RESULT, HeaderValue::from_static(self.as_str()));
    }

    fn take(headers: &mut http::HeaderMap) -> Option<Self> {
        let value = headers.remove(FORWARD_RESULT)?;
        let mut all = Self::ALL.into_iter();
        all.find(|result| value.as_bytes() == result.as_str().as_bytes())
    }
}

/// Names the endpoint whose answer to a forwarded call is passed on.
pub(crate) fn name_endpoint(headers: &mut http::HeaderMap, name: &EndpointName, start_ms: u64) {
    // A name that is no valid header value is left out; the answer counts all the same.
    if let Ok(value) = HeaderValue::from_str(&format!("{start_ms} {}", name.as_str())) {
        headers.insert(FORWARD_ENDPOINT, value);
    }
}

fn take_endpoint(headers: &mut http::HeaderMap) -> Option<(EndpointName, u64)> {
    let value = headers.remove(FORWARD_ENDPOINT)?;
    let (start_ms, name) = value.to_str().ok()?.split_once(' ')?;
    Some((EndpointName::new(name), start_ms.parse().ok()?))
}

/// Counts a call as forwarded to a VM until it is dropped.
#[derive(Debug)]
struct ForwardGuard {
    shared: Arc<Shared>,
    ip: Ipv4Addr,
}

impl ForwardGuard {
    fn start(shared: &Arc<Shared>, ip: Ipv4Addr) -> Self {
        shared.core().helpers.begin(ip);
        Self {
            shared: Arc::clone(shared),
            ip,
        }
    }
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        self.shared.core().helpers.end(self.ip);
    }
}

/// An endpoint's answer that another VM passes on.
#[derive(Debug)]
pub(crate) struct ForwardedResponse {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) framing: Framing,
    guard: ForwardGuard,
}

impl ForwardedResponse {
    /// The VM that passes the answer on.
    pub(crate) const fn vm(&self) -> Ipv4Addr {
        self.guard.ip
    }
}

/// Result of forwarding a call.
#[derive(Debug)]
pub(crate) enum Forwarded {
    /// An endpoint has answered.
    Answered(EndpointResponse),
    /// No VM can take the call; it has not run there.
    Untaken,
    /// All VMs that were asked have refused the call; it has not run there.
    Refused {
        /// Time after which the caller should retry.
        retry_after: Option<Duration>,
    },
    /// A VM has failed, and the call may have run.
    Failed(ErrorCode),
    /// The connection to a VM broke, or the VM fell silent, after it had the call.
    Broken,
}

/// Why a VM has not answered a call.
#[derive(Debug)]
enum Unanswered {
    NotSent(String),
    Refused(Option<Duration>),
    Failed(ErrorCode),
    Broken(String),
}

impl Shared {
    /// Whether this VM reaches the endpoints of a service.
    pub(crate) fn reachability(&self, service: &ServiceName) -> Reachability {
        let core = self.core();
        let available = core.endpoints.available(service);
        core.reach.state(clock::now(), service, available)
    }

    /// Waits until a VM is no longer alive.
    pub(crate) async fn member_lost(&self, ip: Ipv4Addr) {
        loop {
            sleep(HELPER_CHECK_INTERVAL).await;
            let now = clock::now();
            let is_alive = {
                let core = self.core();
                core.membership.alive(now).any(|member| member.ip == ip)
            };
            if !is_alive {
                return;
            }
        }
    }

    /// Selects a VM for a call to a service, apart from those in `excluded`.
    fn select_helper(&self, service: &ServiceName, excluded: &[Ipv4Addr]) -> Option<Ipv4Addr> {
        let now = clock::now();
        let mut core = self.core();
        let draws = [core.rng.next_u64(), core.rng.next_u64()];
        let ready = core.membership.alive(now);
        let ready = ready.filter(|member| member.phase == Phase::Ready);
        let ready = ready.map(|member| member.ip);
        let ready = ready.filter(|ip| !excluded.contains(ip));
        core.helpers
            .select(now, short_service_hash(service), ready, draws)
    }
}

/// Hash that identifies a service in heartbeats.
pub(crate) fn short_service_hash(service: &ServiceName) -> u32 {
    (hash_text(service.as_str()) >> 32) as u32
}

impl CallForwarder {
    /// Whether the call should go through another VM because this one doesn't reach its service.
    pub(crate) fn is_lost(&self) -> bool {
        if self.request.hop != Hop::Caller {
            return false;
        }
        match self.shared.reachability(&self.request.service) {
            Reachability::Cut => true,
            Reachability::Suspect => self.unconnected,
            Reachability::Reached => {
                let time_left = self.request.deadline.since(clock::now());
                self.unconnected && time_left < SHORT_TIME
            }
        }
    }

    /// Whether the call should go through another VM, and there is one that can take it.
    pub(crate) fn can_forward(&self) -> bool {
        self.is_lost()
            && self.helpers.len() < MAX_HELPERS
            && self
                .shared
                .select_helper(&self.request.service, &self.helpers)
                .is_some()
    }

    /// Forwards the call to another VM. With `last_event_id`, the response continues after that event.
    pub(crate) async fn forward(&mut self, last_event_id: Option<&str>) -> Forwarded {
        let mut refusal = None;
        while self.helpers.len() < MAX_HELPERS {
            let selected = self
                .shared
                .select_helper(&self.request.service, &self.helpers);
            let Some(ip) = selected else {
                break;
            };
            self.helpers.push(ip);
            match self.forward_to(ip, last_event_id).await {
                Ok(response) => return Forwarded::Answered(response),
                Err(Unanswered::NotSent(cause)) => self.log_unforwarded(ip, &cause),
                Err(Unanswered::Refused(retry_after)) => {
                    self.log_unforwarded(ip, "refused");
                    refusal = Some(retry_after);
                }
                Err(Unanswered::Failed(code)) => return Forwarded::Failed(code),
                Err(Unanswered::Broken(cause)) => {
                    self.log_unforwarded(ip, &cause);
                    return Forwarded::Broken;
                }
            }
        }
        refusal.map_or(Forwarded::Untaken, |retry_after| Forwarded::Refused {
            retry_after,
        })
    }

    async fn forward_to(
        &mut self,
        ip: Ipv4Addr,
        last_event_id: Option<&str>,
    ) -> Result<EndpointResponse, Unanswered> {
        let guard = ForwardGuard::start(&self.shared, ip);
        let peer = SocketAddr::new(ip.into(), self.shared.settings.listen.peers.port());
        let sender = tcp::open(peer, CONNECT_TIMEOUT).await;
        let sender = sender.map_err(|error| Unanswered::NotSent(error.to_string()))?;
        let now = clock::now();
        let time_left = self.request.deadline.since(now);
        if time_left.is_zero() || self.check_allowed(now).is_err() {
            let cause = "the configuration or the time left changed before the call was sent";
            return Err(Unanswered::NotSent(cause.to_owned()));
        }
        self.uncount(now);
        let hop = Hop::header(time_left, self.attempts.maybe_run);
        let request = self.build_forward(hop, last_event_id);
        self.attempts.maybe_run += 1;
        self.record.endpoint = ip.to_string().into();
        self.record.reason = "forwarded";
        self.record.attempts += 1;
        self.shared.metrics.calls_forwarded.inc();
        tracing::info!(
            event = "forwarded",
            id = &*self.request.call.id,
            %ip,
            service = self.request.service.as_str(),
            last = last_event_id,
            left_ms = time_left.as_millis() as u64,
            "call"
        );
        let deadline = Instant::now() + time_left;
        let broken = |cause: &str| Err(Unanswered::Broken(cause.to_owned()));
        let answer = tokio::select! {
            biased;
            answer = exchange(sender, request) => answer,
            () = sleep_until(deadline) => return broken("no answer before the deadline"),
            () = self.shared.member_lost(ip) => return broken("the VM has fallen silent"),
        };
        let response = match answer {
            Ok((response, _sender)) => response,
            Err(FailedExchange::Unsent(error)) => {
                self.attempts.maybe_run -= 1;
                return Err(Unanswered::NotSent(error.to_string()));
            }
            Err(FailedExchange::Broken(error)) => return broken(&error.to_string()),
            Err(FailedExchange::TooManyInterim) => return broken("too many interim responses"),
        };
        let (mut head, body) = response.into_parts();
        match ForwardResult::take(&mut head.headers) {
            Some(ForwardResult::Answer) if !is_final(head.status) => {
                return broken("the status is none of a final answer");
            }
            Some(ForwardResult::Answer) => self.observe_forwarded(&mut head),
            Some(ForwardResult::Failed) => {
                let code = if head.status == http::StatusCode::GATEWAY_TIMEOUT {
                    ErrorCode::InDoubt
                } else {
                    ErrorCode::Failed
                };
                return Err(Unanswered::Failed(code));
            }
            Some(ForwardResult::NotRun) => {
                self.attempts.maybe_run -= 1;
                return Err(Unanswered::Refused(retry_after(&head.headers)));
            }
            None => {
                self.attempts.maybe_run -= 1;
                let cause = "the VM takes no forwarded calls";
                return Err(Unanswered::NotSent(cause.to_owned()));
            }
        }
        let is_short = body
            .size_hint()
            .exact()
            .is_some_and(|bytes| bytes <= MAX_BUFFERED_BYTES);
        if !is_short || self.request.route.kind.is_stream() {
            return Ok(EndpointResponse::Forwarded(Box::new(ForwardedResponse {
                framing: framing_of(&head.headers, &body),
                head,
                body,
                guard,
            })));
        }
        let body = tokio::select! {
            biased;
            body = body.collect() => body,
            () = sleep_until(deadline) => return broken("the answer did not end in time"),
            () = self.shared.member_lost(ip) => return broken("the VM has fallen silent"),
        };
        match body {
            Ok(body) => {
                let bytes = body.to_bytes();
                self.record.received = bytes.len() as u64;
                Ok(EndpointResponse::Buffered(head, bytes))
            }
            Err(error) => broken(&format!("the answer is incomplete: {error}")),
        }
    }

    /// Takes in that the endpoint whose answer another VM passes on leaves: this VM has passed it on too.
    /// Limits and pauses in the answer concern the VM that has sent the call.
    fn observe_forwarded(&self, head: &mut response::Parts) {
        let Some((name, start_ms)) = take_endpoint(&mut head.headers) else {
            return;
        };
        let notice = self
            .shared
            .protocol
            .parse_notice(head.status, &head.headers);
        if !notice.leaving {
            return;
        }
        let key = {
            let core = self.shared.core();
            let key = core.endpoints.key(&name);
            key.filter(|key| {
                let endpoint = core.endpoints.get(*key);
                endpoint.is_some_and(|e| e.entry.start_ms == start_ms)
            })
        };
        if let Some(key) = key {
            self.shared.record_leaving(key);
        }
    }

    /// Takes back that this VM has counted the call for the retry budget; the VM that sends it counts it.
    fn uncount(&mut self, now: poplarswitch_entity::Time) {
        if core::mem::take(&mut self.request.is_counted) {
            let service = &self.request.service;
            self.shared.core().retry_budget.uncount_call(now, service);
        }
    }

    fn build_forward(
        &self,
        hop: HeaderValue,
        last_event_id: Option<&str>,
    ) -> Request<Full<bytes::Bytes>> {
        let call = &self.request.call;
        let mut request = Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.request.headers);
        let first_attempt = call.continues.is_none().then_some(&*call.id);
        let resumed = last_event_id.map(|last| (last, first_attempt));
        let protocol = &self.shared.protocol;
        protocol.prepare_forward(headers, call.key.as_deref(), resumed);
        headers.insert(FORWARDED, hop);
        let version = self.shared.table.load().version();
        headers.insert(FORWARD_VERSION, version.into());
        request
    }

    /// Whether a stream may continue through another VM.
    pub(crate) fn can_take_up(&self) -> bool {
        self.request.route.kind.is_idempotent()
            && self.request.pin.may_go_on()
            && self.attempts.maybe_run < self.request.route.max_attempts
            && self.check_allowed(clock::now()).is_ok()
    }

    /// Failure that is reported to the caller after a VM has failed or refused the call.
    pub(crate) fn forward_failure(&self, code: ErrorCode) -> Failure {
        let peer = &*self.record.endpoint;
        match code {
            ErrorCode::Failed | ErrorCode::InDoubt => Failure::new(code, peer).in_doubt(),
            code => self.not_run_failure(code, peer),
        }
    }

    fn log_unforwarded(&mut self, ip: Ipv4Addr, cause: &str) {
        self.record.cause = format!("VM {ip}: {cause}");
        tracing::info!(
            event = "unforwarded",
            id = &*self.request.call.id,
            %ip,
            cause,
            maybe_run = self.attempts.maybe_run,
            "call"
        );
    }
}

fn retry_after(headers: &http::HeaderMap) -> Option<Duration> {
    let seconds = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    Duration::try_from_secs_f64(seconds.parse().ok()?).ok()
}
