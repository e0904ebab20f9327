//! Carries a call to an endpoint, and to another one where that is allowed.

use crate::{
    Order, Sign, clock,
    pool::Lease,
    record::Record,
    reply::{Failure, millis_since},
    seat::{Load, Seat},
    shared::Shared,
    tcp::Sender,
};
use bytes::Bytes;
use core::{net::SocketAddr, time::Duration};
use http::{HeaderMap, Method, Request, Response, Uri, response};
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body as _, Incoming};
use poplarswitch_entity::{EndpointName, ServiceName, Time};
use poplarswitch_ingress::{
    Access, Ask, Call, Choice, Decision, EndpointKey, Next, Outcome, Reason, Route, Side, Tries,
    Verdict, decide,
};
use poplarswitch_wire::ErrorCode;
use std::sync::Arc;
use tokio::time::timeout;

/// Multiple of the objective after which an idempotent call is tried elsewhere.
const PATIENCE_OBJECTIVES: u32 = 2;
/// The same for a stream, whose endpoint may only be busy with others.
const STREAM_PATIENCE_OBJECTIVES: u32 = 5;
/// Time for an engine's report; a live one answers within a few milliseconds.
const PROBE_WITHIN: Duration = Duration::from_millis(100);
/// Engines that are asked for one attempt.
const PROBES_MOST: usize = 5;
/// Largest report.
const REPORT_BYTES: usize = 64 << 10;
/// Answers up to this size are read whole before they are passed on, so that one that breaks off
/// can be replaced.
const WHOLE_BYTES: u64 = 128 << 10;

/// A call that was taken in and checked.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) call: Call,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers as the endpoint gets them, but for what the system sets.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) host: Box<str>,
    pub(crate) workspace: Option<Box<str>>,
    pub(crate) priority: u8,
    /// When the caller or the route gives up.
    pub(crate) until: Time,
}

/// A call that is being carried.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) shared: Arc<Shared>,
    pub(crate) task: Task,
    pub(crate) tries: Tries,
    pub(crate) tried: Vec<EndpointKey>,
    pub(crate) record: Record,
}

/// An answer whose body is still to be read.
#[derive(Debug)]
pub(crate) struct Open {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) seat: Seat,
    pub(crate) sender: Sender,
    pub(crate) keep: Option<Duration>,
}

/// An endpoint's answer.
#[derive(Debug)]
pub(crate) enum Answer {
    /// It was read whole.
    Whole(response::Parts, Bytes),
    /// It is passed on as it comes.
    Open(Box<Open>),
}

/// How an attempt without a good answer ended.
#[derive(Debug)]
struct Missed {
    outcome: Outcome,
    /// The endpoint's own failure.
    answer: Option<Answer>,
    cause: String,
}

impl Missed {
    fn new(outcome: Outcome, cause: impl Into<String>) -> Self {
        Self {
            outcome,
            answer: None,
            cause: cause.into(),
        }
    }
}

impl Job {
    /// Carries the call until it has an answer or nothing more may be tried. With the id of an
    /// event, the answer goes on after it.
    pub(crate) async fn run(&mut self, resume: Option<&str>) -> Result<Answer, Failure> {
        let mut stale = false;
        loop {
            let now = clock::now();
            let left = self.task.until.since(now);
            if left.is_zero() {
                return Err(self.give_up());
            }
            self.recheck(now)?;
            let choice = self.choose().await?;
            let missed = match self.attempt(choice, resume, stale).await {
                Ok(answer) => return Ok(answer),
                Err(missed) => missed,
            };
            let Missed {
                outcome,
                answer,
                cause,
            } = missed;
            // A kept connection that was closed says nothing of its endpoint.
            stale = outcome == Outcome::NotSent && !stale && !self.resting(choice.endpoint);
            if !stale {
                self.tried.push(choice.endpoint);
            }
            self.tries.sent += 1;
            self.tries.run += u32::from(outcome.may_have_run());
            let now = clock::now();
            let left = self.task.until.since(now);
            let next = decide(
                self.task.route.kind,
                self.task.route.attempts,
                self.tries,
                outcome,
                left,
            );
            tracing::info!(
                event = "missed",
                id = &*self.task.call.id,
                endpoint = &*self.record.endpoint,
                ?outcome,
                ?next,
                left_ms = left.as_millis() as u64,
                cause,
                "attempt"
            );
            self.record.cause = cause;
            let verdict = match next {
                Next::Repeat { paid: false } => continue,
                Next::Repeat { paid: true } if self.pay(now) => continue,
                Next::Repeat { .. } => poplarswitch_ingress::verdict(self.tries, outcome),
                Next::Tell(verdict) => verdict,
            };
            if let (Verdict::Endpoint, Some(answer)) = (verdict, answer) {
                return Ok(answer);
            }
            return Err(self.tell(now, verdict));
        }
    }

    pub(crate) fn pay(&self, now: Time) -> bool {
        let mut core = self.shared.core();
        let vms = core.roster.count(now);
        let paid = core.budget.take(now, &self.task.service, vms);
        drop(core);
        if !paid {
            self.shared.metrics.budget_spent.inc();
        }
        paid
    }

    /// When the caller of a refused call should come back.
    fn wait(&self, now: Time) -> Duration {
        let left = self.task.until.since(now);
        self.shared
            .core()
            .gate
            .refuse(now, &self.task.call.id, left)
    }

    /// What the caller is told when its time is over.
    fn give_up(&self) -> Failure {
        let code = if self.tries.run > 0 {
            ErrorCode::InDoubt
        } else {
            ErrorCode::WaitExpired
        };
        Failure::new(code, self.task.service.as_str())
    }

    fn tell(&self, now: Time, verdict: Verdict) -> Failure {
        let peer = &*self.record.endpoint;
        match verdict {
            Verdict::NotRun => {
                let after = self.wait(now);
                Failure::new(ErrorCode::Overload, peer).retry(after)
            }
            Verdict::Endpoint => Failure::new(ErrorCode::Failed, peer),
            Verdict::InDoubt => Failure::new(ErrorCode::Failed, peer).in_doubt(),
        }
    }

    /// The process may have stood still since the last look: the configuration must be fresh and
    /// the key valid right before bytes go out.
    fn recheck(&self, now: Time) -> Result<(), Failure> {
        let vm = self.shared.settings.vm.as_str();
        let fresh = self.shared.core().freshness.holds(now);
        if !fresh {
            let after = self.wait(now);
            return Err(self.unrun(ErrorCode::StaleSet, vm).retry(after));
        }
        let table = self.shared.table.load();
        if table.version() == self.record.version {
            return Ok(());
        }
        let path = self.task.uri.path();
        let Some(route) = table.route(&self.task.host, path) else {
            return Err(self.unrun(ErrorCode::UnknownPath, vm));
        };
        if route.targets != self.task.route.targets {
            let after = self.wait(now);
            return Err(self.unrun(ErrorCode::NoEndpoint, vm).retry(after));
        }
        match table.access(route, self.task.call.key.as_deref()) {
            Access::Denied => Err(self.unrun(ErrorCode::Unauthorized, vm)),
            Access::Open | Access::Granted(_) => Ok(()),
        }
    }

    /// A failure that says "not run", unless an endpoint may have run the call.
    fn unrun(&self, code: ErrorCode, peer: &str) -> Failure {
        if self.tries.run > 0 {
            Failure::new(ErrorCode::Failed, peer).in_doubt()
        } else {
            Failure::new(code, peer)
        }
    }

    /// Chooses an endpoint, asking engines how they stand where that decides.
    async fn choose(&mut self) -> Result<Choice, Failure> {
        for _ in 0..PROBES_MOST {
            let now = clock::now();
            let decision = self.decide(now);
            match decision {
                Decision::Send(choice) => return Ok(choice),
                Decision::Probe(key) => self.probe(key).await,
                Decision::Refuse { expected } => {
                    self.record.expected = Some(expected);
                    return Err(self.refused(now, ErrorCode::Overload));
                }
                Decision::Nobody => return Err(self.refused(now, ErrorCode::NoEndpoint)),
            }
        }
        Err(self.refused(clock::now(), ErrorCode::Overload))
    }

    fn decide(&self, now: Time) -> Decision {
        let core = self.shared.core();
        let ask = Ask {
            service: &self.task.service,
            prompt: self.task.call.prompt.as_ref(),
            objective: self.task.route.objective,
            left: self.task.until.since(now),
            urgent: self.task.route.priority == 0,
            tried: &self.tried,
            data_centre: &self.shared.settings.data_centre,
        };
        core.fleet.choose(now, ask, &core.sides)
    }

    fn refused(&self, now: Time, code: ErrorCode) -> Failure {
        let after = self.wait(now);
        self.unrun(code, self.task.service.as_str()).retry(after)
    }

    /// Asks an engine how it stands.
    async fn probe(&self, key: EndpointKey) {
        let report = match self.place(key) {
            Some((name, address)) => match timeout(PROBE_WITHIN, self.report(key, address)).await {
                Ok(Ok(report)) => Some(report),
                Ok(Err(cause)) => {
                    tracing::debug!(endpoint = name.as_str(), cause, "report");
                    None
                }
                Err(_elapsed) => None,
            },
            None => None,
        };
        self.shared.metrics.probes.inc();
        let side = self.side();
        self.shared
            .core()
            .fleet
            .note_report(clock::now(), key, side, report);
    }

    async fn report(
        &self,
        key: EndpointKey,
        address: SocketAddr,
    ) -> Result<poplarswitch_ingress::Report, String> {
        let lease = self.shared.pool.acquire(key, address, false).await;
        let Lease { mut sender, kept } = lease.map_err(|error| error.to_string())?;
        if !kept {
            self.shared.metrics.connections.inc();
        }
        let request = Request::get(self.shared.dialect.report_path())
            .header(http::header::HOST, address.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|error| error.to_string())?;
        let response = sender
            .send_request(request)
            .await
            .map_err(|error| error.to_string())?;
        let body = http_body_util::Limited::new(response.into_body(), REPORT_BYTES);
        let body = body.collect().await.map_err(|error| error.to_string())?;
        self.shared.pool.put(key, sender, None);
        self.shared.dialect.report(&body.to_bytes())
    }

    /// The side that a model call belongs to.
    pub(crate) fn side(&self) -> Side {
        Side::of(self.task.route.objective)
    }

    fn resting(&self, key: EndpointKey) -> bool {
        let now = clock::now();
        let core = self.shared.core();
        core.fleet
            .get(key)
            .is_none_or(|endpoint| endpoint.health.is_resting(now))
    }

    /// How long to wait for the head of an answer before another endpoint is tried.
    fn patience(&self, left: Duration) -> Duration {
        let kind = self.task.route.kind;
        let more = self.tries.run + 1 < self.task.route.attempts;
        let objectives = if kind.is_stream() {
            STREAM_PATIENCE_OBJECTIVES
        } else {
            PATIENCE_OBJECTIVES
        };
        match self.task.route.objective {
            Some(objective) if kind.is_idempotent() && more => left.min(objective * objectives),
            _ => left,
        }
    }

    async fn attempt(
        &mut self,
        choice: Choice,
        resume: Option<&str>,
        fresh: bool,
    ) -> Result<Answer, Missed> {
        let key = choice.endpoint;
        let Some((name, address)) = self.place(key) else {
            return Err(Missed::new(Outcome::NotSent, "the endpoint has left"));
        };
        self.record.endpoint = name.as_str().into();
        self.record.reason = reason_name(choice.reason);
        self.record.expected = choice.expected;
        self.record.attempts += 1;
        let seat = Seat::take(&self.shared, key, self.load(choice));
        let fresh =
            fresh || !self.task.route.kind.is_idempotent() && !self.task.route.kind.is_stream();
        let lease = self.shared.pool.acquire(key, address, fresh).await;
        let lease = lease.map_err(|error| {
            self.note(key, |health, now| health.note_unreachable(now));
            Missed::new(Outcome::NotSent, error.to_string())
        })?;
        if !lease.kept {
            self.shared.metrics.connections.inc();
        }
        let started = clock::now();
        // Opening the connection took time in which the process may have stood still.
        if self.recheck(started).is_err() || self.place(key).is_none() {
            return Err(Missed::new(
                Outcome::NotSent,
                "the configuration changed meanwhile",
            ));
        }
        let left = self.task.until.since(started);
        let keeper = choice.keeper.and_then(|key| self.place(key));
        let keeper = keeper.map(|(_, address)| address);
        let request = self.request(&name, left, keeper, resume);
        let (response, sender) = self.exchange(key, lease, request, left).await?;
        let (head, body) = response.into_parts();
        let sign = self
            .shared
            .dialect
            .sign(head.status, &head.headers, &self.task.call.id);
        if let Err(missed) = self.judge(key, &head, &sign) {
            if missed.outcome == Outcome::Refused {
                seat.refused();
            }
            return Err(missed);
        }
        let open = Open {
            head,
            body,
            seat,
            sender,
            keep: sign.keep,
        };
        let failed = open.head.status.is_server_error();
        let answer = self.read(open, started).await?;
        if !failed {
            self.note(key, |health, _| health.note_success());
            return Ok(answer);
        }
        self.note(key, |health, now| {
            health.note_failure(now);
        });
        Err(Missed {
            outcome: Outcome::Failed,
            answer: Some(answer),
            cause: "the endpoint failed".to_owned(),
        })
    }

    fn place(&self, key: EndpointKey) -> Option<(EndpointName, SocketAddr)> {
        let core = self.shared.core();
        let endpoint = core.fleet.get(key)?;
        let ready = endpoint.entry.state == poplarswitch_ingress::EntryState::Ready;
        ready.then(|| (endpoint.entry.name.clone(), endpoint.entry.address))
    }

    /// What a model call asks of its engine.
    fn load(&self, choice: Choice) -> Option<Load> {
        let prompt = self.task.call.prompt.as_ref()?;
        Some(Load {
            side: self.side(),
            tokens: prompt.unread(choice.keeper.is_some() || choice.reason == Reason::Session),
            expected: choice.expected,
            objective: self.task.route.objective,
        })
    }

    fn request(
        &self,
        name: &EndpointName,
        left: Duration,
        keeper: Option<SocketAddr>,
        resume: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.task.body.clone()));
        *request.method_mut() = self.task.method.clone();
        *request.uri_mut() = self.task.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.task.headers);
        let order = Order {
            endpoint: name,
            workspace: self.task.workspace.as_deref(),
            priority: self.task.call.prompt.as_ref().map(|_| self.task.priority),
            left,
            keeper,
            resume,
        };
        self.shared.dialect.address(headers, &order);
        request
    }

    async fn exchange(
        &self,
        key: EndpointKey,
        lease: Lease,
        request: Request<Full<Bytes>>,
        left: Duration,
    ) -> Result<(Response<Incoming>, Sender), Missed> {
        let Lease { mut sender, kept } = lease;
        let patience = self.patience(left);
        let sent = clock::now();
        match timeout(patience, sender.try_send_request(request)).await {
            Ok(Ok(response)) => Ok((response, sender)),
            Ok(Err(mut error)) => {
                let unsent = error.take_message().is_some();
                let cause = format!("after {} ms: {}", millis_since(sent), error.into_error());
                if unsent && kept {
                    return Err(Missed::new(Outcome::NotSent, cause));
                }
                self.note(key, |health, now| {
                    health.note_failure(now);
                });
                let outcome = if unsent {
                    Outcome::NotSent
                } else {
                    Outcome::Doubtful
                };
                Err(Missed::new(outcome, cause))
            }
            Err(_elapsed) => {
                self.note(key, |health, now| {
                    health.note_failure(now);
                });
                let cause = format!("no answer within {} ms", patience.as_millis());
                Err(Missed::new(Outcome::Doubtful, cause))
            }
        }
    }

    /// Whether the head of an answer may be passed on.
    fn judge(&self, key: EndpointKey, head: &response::Parts, sign: &Sign) -> Result<(), Missed> {
        let status = head.status;
        if sign.foreign {
            return Err(Missed::new(
                Outcome::Doubtful,
                "the answer names another call",
            ));
        }
        if sign.displaced {
            self.note(key, |health, now| health.note_unreachable(now));
            return Err(Missed::new(Outcome::Displaced, format!("status {status}")));
        }
        if sign.not_run {
            self.note(key, |health, now| health.note_full(now));
            return Err(Missed::new(Outcome::Refused, format!("status {status}")));
        }
        if !sign.sealed {
            self.note(key, |health, now| {
                health.note_failure(now);
            });
            let cause = format!("status {status} without the endpoint's signature");
            return Err(Missed::new(Outcome::Doubtful, cause));
        }
        let promise = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        if promise {
            // Passed on, it would promise that the call never ran.
            let cause = format!("status {status}, perhaps run");
            return Err(Missed::new(Outcome::Doubtful, cause));
        }
        Ok(())
    }

    /// Reads a short answer whole; leaves streams and long answers open.
    async fn read(&self, open: Open, started: Time) -> Result<Answer, Missed> {
        let stated = open.body.size_hint().exact();
        let streams = self.task.route.kind.is_stream() && open.head.status.is_success();
        if streams || stated.is_none_or(|bytes| bytes > WHOLE_BYTES) {
            return Ok(Answer::Open(Box::new(open)));
        }
        let Open {
            head,
            body,
            seat,
            sender,
            keep,
        } = open;
        let patience = self.patience(self.task.until.since(started));
        let left = patience.saturating_sub(clock::now().since(started));
        let key = seat.key();
        match timeout(left, body.collect()).await {
            Ok(Ok(whole)) => {
                self.shared.pool.put(key, sender, keep);
                Ok(Answer::Whole(head, whole.to_bytes()))
            }
            Ok(Err(error)) => {
                self.note(key, |health, now| {
                    health.note_failure(now);
                });
                Err(Missed::new(
                    Outcome::Doubtful,
                    format!("the answer broke off: {error}"),
                ))
            }
            Err(_elapsed) => {
                self.note(key, |health, now| {
                    health.note_failure(now);
                });
                Err(Missed::new(
                    Outcome::Doubtful,
                    "the answer didn't end in time",
                ))
            }
        }
    }

    /// Notes what a call has shown of an endpoint, and writes down when it starts to rest.
    pub(crate) fn note(
        &self,
        key: EndpointKey,
        change: impl FnOnce(&mut poplarswitch_ingress::Health, Time),
    ) {
        let now = clock::now();
        let mut core = self.shared.core();
        let Some(endpoint) = core.fleet.get_mut(key) else {
            return;
        };
        let before = endpoint.health.is_resting(now);
        change(&mut endpoint.health, now);
        let rests = !before && endpoint.health.is_resting(now);
        let failing = endpoint.health.failing();
        let name = endpoint.entry.name.clone();
        drop(core);
        if rests {
            tracing::info!(
                event = "rests",
                endpoint = name.as_str(),
                failing,
                id = &*self.task.call.id,
                "endpoint"
            );
        }
    }
}

const fn reason_name(reason: Reason) -> &'static str {
    match reason {
        Reason::Session => "session",
        Reason::Spill => "spill",
        Reason::Least => "least",
        Reason::Late => "late",
        Reason::Resting => "resting",
    }
}
