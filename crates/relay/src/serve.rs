//! Takes in a call, carries it, and answers.

use crate::{
    attempt::Answer,
    clock,
    job::{Job, Task},
    record::Record,
    reply::{Failure, Guards, ReplyBody},
    shared::Shared,
    stream,
    watched::Serving,
};
use bytes::Bytes;
use core::time::Duration;
use http::{HeaderValue, Request, Response, StatusCode, header, request, response};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::{Body as _, Incoming};
use poplarswitch_entity::Time;
use poplarswitch_ingress::{
    Access, Admission, AttemptCounts, Call, EndpointGroup, Route, RoutingTable, ShutdownStage,
    engine_work_ms,
};
use poplarswitch_wire::ErrorCode;
use std::sync::Arc;
use tokio::time::timeout;

/// Longest wait of a caller that states none, on a route that states none.
const LONGEST: Duration = Duration::from_mins(1);
/// When a caller should try another VM because this one leaves or knows too little.
const ELSEWHERE: Duration = Duration::from_millis(50);

/// Time that a call waits for the configuration of a VM that has just started.
const STARTING: Duration = Duration::from_millis(500);
/// Part of the caller's time that this may take.
const STARTING_PART: u32 = 4;

/// Serves one call.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    serving: Serving,
) -> Response<ReplyBody> {
    let arrived = clock::now();
    let in_flight = shared.enter();
    let leaving = shared.core().leaving.has_started();
    let mut record = Record::new(Arc::clone(&shared), arrived);
    let guards = Guards {
        _serving: serving,
        _in_flight: in_flight,
    };
    let mut response = match take_in(&shared, request, arrived, &mut record).await {
        Ok(task) => {
            let mut job = Job {
                shared,
                task,
                tries: AttemptCounts::default(),
                tried: Vec::new(),
                record,
            };
            match job.run(None).await {
                Ok(answer) => pass_on(job, answer, guards),
                Err(failure) => refuse(&failure, &mut job.record, guards),
            }
        }
        Err(failure) => refuse(&failure, &mut record, guards),
    };
    if leaving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn refuse(failure: &Failure, record: &mut Record, guards: Guards) -> Response<ReplyBody> {
    if record.endpoint.is_empty() {
        record.endpoint = failure.peer.as_str().into();
    }
    record.retry = failure.after;
    record.end(failure.code.as_str(), failure.status().as_u16());
    failure.response(guards)
}

/// Reads and checks a call; nothing of a call that fails here reaches an endpoint.
async fn take_in(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    arrived: Time,
    record: &mut Record,
) -> Result<Task, Failure> {
    let vm = shared.settings.vm.as_str();
    let (mut head, body) = request.into_parts();
    let call = shared.protocol.parse_call(&head.headers);
    if let Ok(call) = &call {
        record.call.clone_from(&call.id);
        record.deadline = call.deadline;
    }
    await_set(shared, call.as_ref().ok().and_then(|call| call.deadline)).await;
    let table = shared.table.load_full();
    record.version = table.version();
    check_vm(shared, &table, clock::now())?;
    let host = host_of(&head).unwrap_or_default();
    let route = table
        .route(&host, head.uri.path())
        .ok_or_else(|| Failure::new(ErrorCode::UnknownPath, vm))?;
    record.route.clone_from(&route.name);
    let call = call.map_err(|bad| {
        record.cause = bad.reason;
        Failure::new(ErrorCode::Malformed, vm)
    })?;
    let workspace = match table.access(route, call.key.as_deref()) {
        Access::Denied => return Err(Failure::new(ErrorCode::Unauthorized, vm)),
        Access::Open => None,
        Access::Granted(workspace) => Some(workspace),
    };
    check_stage(shared, route, arrived)?;
    let limits = table.limits();
    let body = read_body(body, limits.body_bytes, limits.idle_timeout, vm).await?;
    let service = table.select_target(route, &call.id).cloned();
    let service = service.ok_or_else(|| Failure::new(ErrorCode::NoEndpoint, vm))?;
    let engine = table.service(&service).and_then(|service| service.engine);
    admit(
        shared,
        &service,
        &call,
        route.objective,
        engine.map_or(1, |engine| engine.slots),
    )?;
    record.priority = table.rank(route, workspace.as_ref());
    let wait = call
        .deadline
        .unwrap_or(LONGEST)
        .min(route.timeout.unwrap_or(LONGEST));
    shared.protocol.strip_headers(&mut head.headers);
    strip_hops(&mut head);
    Ok(Task {
        route: Arc::clone(route),
        service,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        host,
        workspace: workspace.map(|w| w.name.as_str().into()),
        priority: record.priority,
        until: arrived + wait,
        call,
    })
}

/// Waits a moment for a configuration that may be acted on: a VM that has just started has one
/// within a fraction of a second, and its callers have few attempts.
async fn await_set(shared: &Shared, deadline: Option<Duration>) {
    let wait = deadline.map_or(STARTING, |left| STARTING.min(left / STARTING_PART));
    let mut news = shared.changes();
    let over = tokio::time::sleep(wait);
    tokio::pin!(over);
    loop {
        if shared.can_serve(clock::now()) {
            return;
        }
        tokio::select! {
            () = &mut over => return,
            changed = news.changed() => if changed.is_err() { return },
        }
    }
}

/// Whether this VM may serve anything.
fn check_vm(shared: &Shared, table: &RoutingTable, now: Time) -> Result<(), Failure> {
    let vm = shared.settings.vm.as_str();
    if table.version() == 0 {
        return Err(Failure::new(ErrorCode::NoSet, vm).retry(ELSEWHERE));
    }
    if !shared.core().freshness.is_usable(now) {
        return Err(Failure::new(ErrorCode::StaleSet, vm).retry(ELSEWHERE));
    }
    Ok(())
}

/// Whether a leaving VM still takes the call.
fn check_stage(shared: &Shared, route: &Route, now: Time) -> Result<(), Failure> {
    let refused = match shared.stage(now) {
        ShutdownStage::Serving | ShutdownStage::Lingering => false,
        ShutdownStage::ShortOnly => route.kind.is_stream(),
        ShutdownStage::Closed | ShutdownStage::Finished => true,
    };
    if refused {
        let vm = shared.settings.vm.as_str();
        return Err(Failure::new(ErrorCode::Leaving, vm).retry(ELSEWHERE));
    }
    Ok(())
}

fn admit(
    shared: &Shared,
    service: &poplarswitch_entity::ServiceName,
    call: &Call,
    objective: Option<Duration>,
    slots: u32,
) -> Result<(), Failure> {
    let now = clock::now();
    let left = call.deadline.unwrap_or(LONGEST);
    let in_flight = shared.in_flight();
    let mut core = shared.core();
    core.budget.record_call(now, service);
    if let Some(prompt) = &call.prompt {
        let side = EndpointGroup::of(objective);
        let tokens = prompt.uncached_tokens(side == EndpointGroup::Relaxed);
        core.demand.record(
            now,
            side,
            engine_work_ms(tokens, prompt.expected_output(), slots),
        );
        core.fleet.count_call(side);
    }
    match core.gate.admit(now, in_flight, &call.id, left) {
        Admission::Admitted => Ok(()),
        Admission::Refused { retry_after } => {
            let vm = shared.settings.vm.as_str();
            Err(Failure::new(ErrorCode::Busy, vm).retry(retry_after))
        }
    }
}

async fn read_body(
    body: Incoming,
    most: usize,
    within: Duration,
    vm: &str,
) -> Result<Bytes, Failure> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > most as u64 {
        return Err(Failure::new(ErrorCode::BodyTooLarge, vm));
    }
    match timeout(within, Limited::new(body, most).collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Failure::new(ErrorCode::BodyTooLarge, vm))
        }
        Ok(Err(_broken)) => Err(Failure::new(ErrorCode::Malformed, vm)),
        Err(_elapsed) => Err(Failure::new(ErrorCode::BodyTimeout, vm)),
    }
}

fn host_of(head: &request::Parts) -> Option<Box<str>> {
    let named = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    named.or_else(|| head.uri.host()).map(Into::into)
}

/// Takes out the headers that concern one connection only.
fn strip_hops(head: &mut request::Parts) {
    strip_connection(&mut head.headers);
    head.headers.remove(header::EXPECT);
    head.headers.remove(header::CONTENT_LENGTH);
}

fn strip_connection(headers: &mut http::HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
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

fn pass_on(mut job: Job, answer: Answer, guards: Guards) -> Response<ReplyBody> {
    match answer {
        Answer::Whole(head, bytes) => {
            job.record.begin(clock::now());
            let outcome = outcome_of(head.status);
            job.record.end(outcome, head.status.as_u16());
            let bodyless = matches!(
                head.status,
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
            let mut response = respond(head, ReplyBody::whole(bytes, guards));
            if bodyless {
                response.headers_mut().remove(header::CONTENT_LENGTH);
            }
            response
        }
        Answer::Open(open) => {
            let length = open.body.size_hint().exact();
            let (head, pieces) = stream::start(job, *open);
            respond(head, ReplyBody::pieces(pieces, length, guards))
        }
    }
}

/// What the end of an answer is called in logs and metrics.
pub(crate) fn outcome_of(status: StatusCode) -> &'static str {
    if status.is_success() {
        "answered"
    } else {
        "endpoint_failed"
    }
}

fn respond(mut head: response::Parts, body: ReplyBody) -> Response<ReplyBody> {
    strip_connection(&mut head.headers);
    head.version = http::Version::HTTP_11;
    Response::from_parts(head, body)
}
