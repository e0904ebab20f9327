//! Serving of a call: checks, admission, forwarding, and the response to the caller.

use crate::{
    activity::ActivityGuard,
    attempt::EndpointResponse,
    call_forwarder::{CallForwarder, CallRequest},
    call_record::CallRecord,
    clock,
    forwarding::{ForwardResult, Hop, name_endpoint},
    origins,
    reply::{BodyParts, Failure, Guards, ReplyBody},
    request_body, scaling,
    shared::Shared,
    stream,
};
use bytes::Bytes;
use core::time::Duration;
use http::{HeaderValue, Request, Response, StatusCode, Version, header, request, response};
use hyper::body::{Body as _, Incoming};
use poplarswitch_entity::{EndpointName, Time, WorkspaceName};
use poplarswitch_ingress::{
    Access, AttemptCounts, COVERED_BYTES, Call, EndpointGroup, Framing, Limits, Prompt,
    Reachability, RequestId, RequestParts, Route, RoutingTable, ShutdownStage, VersionPin,
};
use poplarswitch_wire::ErrorCode;
use std::sync::Arc;

/// Time limit that is assumed for a caller or a route that sets none; the smaller of the two limits
/// applies to a call.
const DEFAULT_TIMEOUT: Duration = Duration::from_mins(1);
/// Time after which the caller should retry on another VM, because this VM is shutting down or has
/// no usable configuration.
const OTHER_VM_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time after which the caller should try again to continue a stream whose version isn't known here.
const UNKNOWN_STREAM_DELAY: Duration = Duration::from_millis(300);

/// Maximum time for which a call waits until a VM that has just started can serve.
const STARTUP_WAIT: Duration = Duration::from_millis(500);
/// Divisor of the caller's deadline; the quotient also limits the wait for a VM that has just
/// started.
const STARTUP_WAIT_DIVISOR: u32 = 4;

/// Maximum number of sections of a prompt that the log line of a call names.
const MAX_LOGGED_SECTIONS: usize = 8;

/// Serves one call, and marks the response if another VM has forwarded it.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    guard: ActivityGuard,
    hop: Hop,
) -> Response<ReplyBody> {
    let arrived = clock::now();
    let in_flight = shared.count_call();
    let shutting_down = shared.core().shutdown.has_started();
    let mut record = CallRecord::new(Arc::clone(&shared), arrived);
    let guards = Guards::new(guard, in_flight);
    let caller_version = request.version();
    let has_body = !request.body().is_end_stream();
    let accepted = tokio::select! {
        biased;
        accepted = accept_call(&shared, request, arrived, hop, &mut record) => accepted,
        () = shared.exit_announced() => Err(leaving_failure(&shared)),
    };
    if accepted.is_err() && has_body {
        guards.mark_unread();
    }
    let (mut response, result) = match accepted {
        Ok(request) => {
            let mut forwarder = CallForwarder {
                shared: Arc::clone(&shared),
                request,
                attempts: AttemptCounts {
                    maybe_run: hop.maybe_run(),
                    total: 0,
                },
                tried: Vec::new(),
                skipped: Vec::new(),
                helpers: Vec::new(),
                slot: None,
                slot_wait_end: None,
                unconnected: false,
                is_uncharged: hop.maybe_run() > 0,
                late_checks: Vec::new(),
                began: None,
                has_begun: false,
                trial: None,
                record,
            };
            let response = tokio::select! {
                biased;
                response = forwarder.run(None) => Some(response),
                () = shared.exit_announced() => None,
            };
            match response.unwrap_or_else(|| Err(forwarder.exit_failure())) {
                Ok(response) => {
                    let endpoint = match hop {
                        Hop::Caller => None,
                        Hop::Vm { .. } => forwarder.answered_by(),
                    };
                    let mut response = into_response(forwarder, response, caller_version, guards);
                    if let Some((name, start_ms)) = endpoint {
                        name_endpoint(response.headers_mut(), &name, start_ms);
                    }
                    (response, ForwardResult::Answer)
                }
                Err(failure) => (
                    failure_response(&failure, &mut forwarder.record, guards),
                    failure.forward_result(),
                ),
            }
        }
        Err(failure) => (
            failure_response(&failure, &mut record, guards),
            failure.forward_result(),
        ),
    };
    if hop != Hop::Caller {
        result.mark(response.headers_mut());
    }
    if shutting_down {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Refusal of a call because this VM shuts down.
pub(crate) fn leaving_failure(shared: &Shared) -> Failure {
    let vm = shared.settings.vm.as_str();
    Failure::new(ErrorCode::Leaving, vm).with_retry_after(OTHER_VM_RETRY_DELAY)
}

impl CallForwarder {
    /// Name and start in milliseconds of the endpoint that has answered, if it is still known.
    fn answered_by(&self) -> Option<(EndpointName, u64)> {
        let name = EndpointName::new(&*self.record.endpoint);
        let core = self.shared.core();
        let endpoint = core.endpoints.get(core.endpoints.key(&name)?)?;
        Some((name, endpoint.entry.start_ms))
    }

    /// Failure that is reported to the caller because this VM exits before the call has an answer.
    fn exit_failure(&self) -> Failure {
        if self.attempts.maybe_run > 0 {
            Failure::new(ErrorCode::Failed, &*self.record.endpoint).in_doubt()
        } else {
            leaving_failure(&self.shared)
        }
    }
}

fn failure_response(
    failure: &Failure,
    record: &mut CallRecord,
    guards: Guards,
) -> Response<ReplyBody> {
    if record.endpoint.is_empty() {
        record.endpoint = failure.peer.as_str().into();
    }
    record.retry_after = failure.retry_after;
    record.set_outcome(failure.code.as_str(), failure.status().as_u16());
    failure.response(guards)
}

/// Checks, admits and reads a call; a call that fails here is not sent to any endpoint.
async fn accept_call(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    arrived: Time,
    hop: Hop,
    record: &mut CallRecord,
) -> Result<CallRequest, Failure> {
    let vm = shared.settings.vm.as_str();
    let (mut head, body) = request.into_parts();
    let mut call = shared.protocol.parse_call(&head.headers);
    if let (Ok(call), Hop::Vm { time_left, .. }) = (&mut call, hop) {
        call.deadline = Some(call.deadline.unwrap_or(time_left).min(time_left));
    }
    if let Ok(call) = &call {
        record.call_id.clone_from(&call.id);
        record.deadline = call.deadline;
        record.continues.clone_from(&call.continues);
        record.sections = call.prompt.as_ref().map(format_shared).unwrap_or_default();
    }
    wait_for_config(shared, call.as_ref().ok().and_then(|call| call.deadline)).await;
    let table = shared.table.load_full();
    record.version = table.version();
    check_vm(shared, &table, clock::now())?;
    if table.version() < hop.min_version() {
        let failure = Failure::new(ErrorCode::StaleSet, vm);
        return Err(failure.with_retry_after(OTHER_VM_RETRY_DELAY));
    }
    let host = host_of(&head).unwrap_or_default();
    let route = table
        .route(&host, head.uri.path())
        .ok_or_else(|| Failure::new(ErrorCode::UnknownPath, vm))?;
    record.route.clone_from(&route.name);
    let call = call.map_err(|error| {
        record.cause = error.reason;
        Failure::new(ErrorCode::Malformed, vm)
    })?;
    let workspace = match table.access(route, call.key.as_deref()) {
        Access::Denied => return Err(Failure::new(ErrorCode::Unauthorized, vm)),
        Access::Open => None,
        Access::Granted(workspace) => Some(workspace),
    };
    let wait = call
        .deadline
        .unwrap_or(DEFAULT_TIMEOUT)
        .min(route.timeout.unwrap_or(DEFAULT_TIMEOUT));
    check_stage(shared, route, &call.id, arrived, arrived + wait)?;
    let body = read_body(shared, body, table.limits(), &call).await?;
    let body_arrived = clock::now();
    let rank = table.rank(route, workspace.as_ref());
    let workspace = workspace.map(|workspace| workspace.name);
    let caller = workspace.as_ref().map(WorkspaceName::as_str);
    let id = RequestId::new(&RequestParts {
        host: &route.host,
        method: head.method.as_str(),
        path: head
            .uri
            .path_and_query()
            .map_or("", http::uri::PathAndQuery::as_str),
        caller: caller.or(call.key.as_deref()).unwrap_or_default(),
        body: &body,
    });
    record.request = Some(id);
    let origin = match &call.continues {
        Some(continues) if route.kind.is_stream() => {
            let origin = origins::find_origin(shared, route, &call.id, continues).await;
            let unknown = || Failure::new(ErrorCode::NoEndpoint, "a stream of unknown version");
            Some(origin.ok_or_else(|| unknown().with_retry_after(UNKNOWN_STREAM_DELAY))?)
        }
        _ => None,
    };
    let service = match &origin {
        Some(origin) => Some(&origin.service),
        None => table.select_target(route, &call.id),
    };
    let service = service
        .cloned()
        .ok_or_else(|| Failure::new(ErrorCode::NoEndpoint, vm))?;
    let engine = table.service(&service).and_then(|service| service.engine);
    let slots = engine.map_or(1, |engine| engine.slots);
    let group = EndpointGroup::of(route.objective, route.max_gap);
    let is_counted = record_demand(shared, &service, &call, group, slots);
    record.priority = rank;
    shared.protocol.strip_headers(&mut head.headers);
    strip_request_headers(&mut head);
    Ok(CallRequest {
        route: Arc::clone(route),
        service,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        host,
        workspace: caller.map(Into::into),
        priority: record.priority,
        arrived: body_arrived,
        deadline: arrived + wait,
        id,
        hop,
        is_counted,
        pin: origin.map_or(VersionPin::Any, |origin| VersionPin::Only(origin.software)),
        call,
    })
}

/// Identifiers of the shared sections of a prompt, as in the caller's request.
fn format_shared(prompt: &Prompt) -> String {
    let shared = prompt.shared_sections().take(MAX_LOGGED_SECTIONS);
    let ids: Vec<String> = shared.map(|section| format!("{:x}", section.id)).collect();
    ids.join(",")
}

/// Waits a limited time until this VM can serve. A VM that has just started can serve within a
/// fraction of a second, and its callers make only a few attempts.
async fn wait_for_config(shared: &Shared, deadline: Option<Duration>) {
    let wait = deadline.map_or(STARTUP_WAIT, |time_left| {
        STARTUP_WAIT.min(time_left / STARTUP_WAIT_DIVISOR)
    });
    let mut receiver = shared.subscribe();
    let timer = tokio::time::sleep(wait);
    tokio::pin!(timer);
    loop {
        if shared.can_serve(clock::now()) {
            return;
        }
        tokio::select! {
            () = &mut timer => return,
            changed = receiver.changed() => if changed.is_err() { return },
        }
    }
}

/// Checks that this VM has a usable configuration.
fn check_vm(shared: &Shared, table: &RoutingTable, now: Time) -> Result<(), Failure> {
    let vm = shared.settings.vm.as_str();
    if table.version() == 0 {
        return Err(Failure::new(ErrorCode::NoSet, vm).with_retry_after(OTHER_VM_RETRY_DELAY));
    }
    if !shared.core().freshness.is_usable(now) {
        return Err(Failure::new(ErrorCode::StaleSet, vm).with_retry_after(OTHER_VM_RETRY_DELAY));
    }
    Ok(())
}

/// Checks that this VM still accepts a call that arrives now if it is shutting down.
fn check_stage(
    shared: &Shared,
    route: &Route,
    id: &str,
    now: Time,
    deadline: Time,
) -> Result<(), Failure> {
    let stage = shared.stage(now);
    let is_accepted = match stage {
        ShutdownStage::Serving => return Ok(()),
        ShutdownStage::Lingering | ShutdownStage::ShortOnly => {
            shared.has_time(now, route, now, deadline)
        }
        ShutdownStage::Closed | ShutdownStage::Finished => false,
    };
    let (longest, answer_time) = {
        let core = shared.core();
        let longest = core.run_times.longest(now, &route.name);
        (longest, core.shutdown.answer_time())
    };
    tracing::info!(
        event = if is_accepted { "accepted" } else { "refused" },
        id,
        ?stage,
        limit_ms = deadline.since(now).as_millis() as u64,
        longest_ms = longest.map(|longest| longest.as_millis() as u64),
        left_ms = answer_time.map(|at| at.since(now).as_millis() as u64),
        "shutdown"
    );
    if is_accepted {
        Ok(())
    } else {
        Err(leaving_failure(shared))
    }
}

/// Reads the body of a call.
async fn read_body(
    shared: &Shared,
    body: Incoming,
    limits: Limits,
    call: &Call,
) -> Result<Bytes, Failure> {
    let time_left = call.deadline.unwrap_or(DEFAULT_TIMEOUT);
    let read = request_body::read(shared, body, limits, time_left).await;
    read.map_err(|code| match code {
        ErrorCode::Busy => refuse(shared, call, time_left),
        code => Failure::new(code, shared.settings.vm.as_str()),
    })
}

/// Refusal of a call for which there is no memory. It has not run.
fn refuse(shared: &Shared, call: &Call, time_left: Duration) -> Failure {
    shared.metrics.memory_refusals.inc();
    let mut core = shared.core();
    let admission = &mut core.admission;
    let retry_after = admission.record_refusal(clock::now(), &call.id, time_left);
    drop(core);
    let vm = shared.settings.vm.as_str();
    Failure::new(ErrorCode::Busy, vm).with_retry_after(retry_after)
}

/// Records the demand of the call, unless another VM will send it. Returns whether the call counts for
/// the retry budget of this VM.
fn record_demand(
    shared: &Shared,
    service: &poplarswitch_entity::ServiceName,
    call: &Call,
    group: EndpointGroup,
    slots: u32,
) -> bool {
    let now = clock::now();
    let is_sent_here = shared.reachability(service) != Reachability::Cut;
    if !is_sent_here {
        return false;
    }
    let mut core = shared.core();
    core.retry_budget.record_call(now, service);
    if let Some(prompt) = &call.prompt {
        // The session of a relaxed call is assumed to be cached, that of a strict call is not.
        let tokens = prompt.uncached_tokens(group == EndpointGroup::Relaxed);
        let work_ms = core
            .step_time
            .engine_work_ms(tokens, prompt.expected_output(), slots);
        core.demand.record(now, group, work_ms);
        if scaling::orders_engines(shared) {
            core.service_demand.record(now, service, group, work_ms);
        }
        core.endpoints.count_call(group);
    }
    true
}

fn host_of(head: &request::Parts) -> Option<Box<str>> {
    let from_header = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    from_header.or_else(|| head.uri.host()).map(Into::into)
}

/// Removes the headers that must not be forwarded with the request.
fn strip_request_headers(head: &mut request::Parts) {
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(header::EXPECT);
    head.headers.remove(header::CONTENT_LENGTH);
}

/// Removes the hop-by-hop headers, which concern a single connection.
fn strip_hop_by_hop(headers: &mut http::HeaderMap) {
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed {
        headers.remove(name.as_str());
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ] {
        headers.remove(name);
    }
}

fn into_response(
    mut forwarder: CallForwarder,
    response: EndpointResponse,
    caller_version: Version,
    guards: Guards,
) -> Response<ReplyBody> {
    match response {
        EndpointResponse::Buffered(head, bytes) => {
            forwarder.record.record_first_byte(clock::now());
            let outcome = outcome_of(head.status);
            forwarder.record.set_outcome(outcome, head.status.as_u16());
            let bodyless = matches!(
                head.status,
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
            let bytes = if bytes.len() as u64 > COVERED_BYTES {
                forwarder.shared.memory.count(bytes)
            } else {
                bytes
            };
            let mut response = build_response(head, ReplyBody::buffered(bytes, guards));
            if bodyless {
                response.headers_mut().remove(header::CONTENT_LENGTH);
            }
            response
        }
        EndpointResponse::Streaming(unread) => {
            let shape = BodyShape {
                framing: unread.framing,
                has_events: stream::has_events(forwarder.request.route.kind, &unread.head),
                length: unread.body.size_hint().exact(),
            };
            let (head, parts) = stream::start(forwarder, *unread);
            shape.into_response(head, parts, caller_version, guards)
        }
        EndpointResponse::Forwarded(answer) => {
            let shape = BodyShape {
                framing: answer.framing,
                has_events: stream::has_events(forwarder.request.route.kind, &answer.head),
                length: answer.body.size_hint().exact(),
            };
            let (head, parts) = stream::start_forwarded(forwarder, *answer);
            shape.into_response(head, parts, caller_version, guards)
        }
    }
}

/// Properties of a body that is forwarded as it arrives.
#[derive(Clone, Copy, Debug)]
struct BodyShape {
    framing: Framing,
    has_events: bool,
    length: Option<u64>,
}

impl BodyShape {
    fn into_response(
        self,
        mut head: response::Parts,
        parts: BodyParts,
        caller_version: Version,
        guards: Guards,
    ) -> Response<ReplyBody> {
        // A stream may end inside an event or be resumed, so its length is not known.
        let length = self.length.filter(|_| !self.has_events);
        let has_chunks = self.framing != Framing::Close && caller_version >= Version::HTTP_11;
        let close_framed = length.is_none() && !has_chunks;
        if self.has_events {
            head.headers.remove(header::CONTENT_LENGTH);
        }
        let body = ReplyBody::parts(parts, length, close_framed, guards);
        let mut response = build_response(head, body);
        if self.framing == Framing::Close {
            // `hyper` adds chunks to a response of a later version.
            *response.version_mut() = Version::HTTP_10;
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}

/// Name of the outcome of an answered call in logs and metrics.
pub(crate) fn outcome_of(status: StatusCode) -> &'static str {
    if status.is_success() {
        "answered"
    } else {
        "endpoint_failed"
    }
}

fn build_response(mut head: response::Parts, body: ReplyBody) -> Response<ReplyBody> {
    strip_hop_by_hop(&mut head.headers);
    head.version = Version::HTTP_11;
    Response::from_parts(head, body)
}
