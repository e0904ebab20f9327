//! One attempt of a call at one endpoint, and what it proves.

use crate::{
    ForwardMetadata, ResponseInfo, ResponseKind, clock, job::Job, placing::reason_name,
    pool::Lease, reply::millis_since, seat::Seat, tcp::Sender,
};
use bytes::Bytes;
use core::{net::SocketAddr, time::Duration};
use http::{Request, Response, response};
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body as _, Incoming};
use poplarswitch_entity::{EndpointName, Time};
use poplarswitch_ingress::{EndpointKey, Health, Outcome, Placement};
use tokio::time::timeout;

/// Multiple of the objective after which an idempotent call is tried elsewhere.
const PATIENCE_OBJECTIVES: u32 = 2;
/// The same for a stream, whose endpoint may only be busy with others.
const STREAM_PATIENCE_OBJECTIVES: u32 = 5;
/// Answers up to this size are read whole before they are passed on, so that one that breaks off
/// can be replaced.
const WHOLE_BYTES: u64 = 128 << 10;

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
pub(crate) struct Missed {
    pub(crate) outcome: Outcome,
    /// The endpoint's own failure.
    pub(crate) answer: Option<Box<Answer>>,
    pub(crate) cause: String,
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
    /// How long to wait for the head of an answer before another endpoint is tried.
    fn patience(&self, left: Duration) -> Duration {
        let kind = self.task.route.kind;
        let more = self.tries.maybe_run + 1 < self.task.route.max_attempts;
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

    pub(crate) async fn attempt(
        &mut self,
        choice: Placement,
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
            self.note(key, Health::record_unreachable);
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
        let keeper = choice.cache_source.and_then(|key| self.place(key));
        let keeper = keeper.map(|(_, address)| address);
        let request = self.request(&name, left, keeper, resume);
        let (response, sender) = self.exchange(key, lease, request, left).await?;
        let (head, body) = response.into_parts();
        let sign =
            self.shared
                .protocol
                .classify_response(head.status, &head.headers, &self.task.call.id);
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
            keep: sign.idle_timeout,
        };
        let failed = open.head.status.is_server_error();
        let answer = self.read(open, started).await?;
        if !failed {
            self.note(key, |health, _| health.record_success());
            return Ok(answer);
        }
        self.note_failure(key);
        Err(Missed {
            outcome: Outcome::Failed,
            answer: Some(Box::new(answer)),
            cause: "the endpoint failed".to_owned(),
        })
    }

    pub(crate) fn place(&self, key: EndpointKey) -> Option<(EndpointName, SocketAddr)> {
        let core = self.shared.core();
        let endpoint = core.fleet.get(key)?;
        let ready = endpoint.entry.state == poplarswitch_ingress::EndpointState::Ready;
        ready.then(|| (endpoint.entry.name.clone(), endpoint.entry.address))
    }

    fn request(
        &self,
        name: &EndpointName,
        time_left: Duration,
        cache_source: Option<SocketAddr>,
        last_event_id: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.task.body.clone()));
        *request.method_mut() = self.task.method.clone();
        *request.uri_mut() = self.task.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.task.headers);
        let metadata = ForwardMetadata {
            endpoint: name,
            workspace: self.task.workspace.as_deref(),
            priority: self.task.call.prompt.as_ref().map(|_| self.task.priority),
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
                self.note_failure(key);
                let outcome = if unsent {
                    Outcome::NotSent
                } else {
                    Outcome::Doubtful
                };
                Err(Missed::new(outcome, cause))
            }
            Err(_elapsed) => {
                self.note_failure(key);
                let cause = format!("no answer within {} ms", patience.as_millis());
                Err(Missed::new(Outcome::Doubtful, cause))
            }
        }
    }

    /// Whether the head of an answer may be passed on.
    fn judge(
        &self,
        key: EndpointKey,
        head: &response::Parts,
        sign: &ResponseInfo,
    ) -> Result<(), Missed> {
        let status = head.status;
        match sign.kind {
            ResponseKind::Answer => {}
            ResponseKind::OtherCall => {
                return Err(Missed::new(
                    Outcome::Doubtful,
                    "the answer names another call",
                ));
            }
            ResponseKind::Displaced => {
                self.note(key, Health::record_unreachable);
                return Err(Missed::new(Outcome::Displaced, format!("status {status}")));
            }
            ResponseKind::NotRun => {
                self.note(key, Health::record_full);
                return Err(Missed::new(Outcome::Refused, format!("status {status}")));
            }
        }
        if !sign.signed {
            self.note_failure(key);
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
        let length = open.body.size_hint().exact();
        let streams = self.task.route.kind.is_stream() && open.head.status.is_success();
        if streams || length.is_none_or(|bytes| bytes > WHOLE_BYTES) {
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
                self.shared.keep(key, sender, keep);
                Ok(Answer::Whole(head, whole.to_bytes()))
            }
            Ok(Err(error)) => {
                self.note_failure(key);
                Err(Missed::new(
                    Outcome::Doubtful,
                    format!("the answer broke off: {error}"),
                ))
            }
            Err(_elapsed) => {
                self.note_failure(key);
                Err(Missed::new(
                    Outcome::Doubtful,
                    "the answer didn't end in time",
                ))
            }
        }
    }

    /// Notes that an endpoint failed a call.
    pub(crate) fn note_failure(&self, key: EndpointKey) {
        self.note(key, |health, now| {
            health.record_failure(now);
        });
    }

    /// Notes what a call has shown of an endpoint, and writes down when it starts to rest.
    pub(crate) fn note(&self, key: EndpointKey, change: impl FnOnce(&mut Health, Time)) {
        let now = clock::now();
        let mut core = self.shared.core();
        let Some(endpoint) = core.fleet.get_mut(key) else {
            return;
        };
        let before = endpoint.health.is_ejected(now);
        change(&mut endpoint.health, now);
        let rests = !before && endpoint.health.is_ejected(now);
        let failing = endpoint.health.failure_rate();
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
