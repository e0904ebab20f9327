//! Handover of a call to another endpoint while its own is silent.
//!
//! A silent endpoint may go on at any moment, so its connection is kept until another endpoint has
//! begun to answer. If none can, because the attempts or the retry budget are used or no endpoint is
//! available, the silent endpoint is awaited until the deadline of the call. Two endpoints may work on
//! one stream for a short time only; after that, the silent endpoint is left even if the other one has
//! not begun. Endpoints of other idempotent calls are all kept, and the first answer counts.

use crate::{
    attempt::{Answer, AttemptInfo, FailedAttempt, PendingAttempt, UnreadResponse},
    call_forwarder::CallForwarder,
    clock,
    stream::has_events,
};
use core::{
    convert::Infallible,
    future,
    pin::{Pin, pin},
    task::Poll,
    time::Duration,
};
use poplarswitch_entity::EndpointName;
use poplarswitch_ingress::{
    EndpointKey, Obstacle, Outcome, Placement, PlacementReason, RouteKind, SoftwareVersion,
    obstacle,
};
use tokio::{
    task::yield_now,
    time::{Instant, sleep_until},
};

/// Maximum time for which two endpoints work on one stream.
const MAX_OVERLAP: Duration = Duration::from_millis(200);
/// Time after which a handover is tried again for the first time if something stands in its way;
/// doubles with each try.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum time after which a handover is tried again.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a stream whose endpoint has broken it off waits for another endpoint; callers wait
/// for at least as long for the next event.
const BROKEN_WAIT: Duration = Duration::from_secs(2);

/// Silence after which an endpoint is left if this VM doesn't reach its service.
const LOST_SILENCE: Duration = Duration::from_millis(600);

/// An endpoint whose answer is awaited.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Awaited<'a> {
    pub(crate) key: EndpointKey,
    pub(crate) name: &'a EndpointName,
    /// When it counts as silent.
    pub(crate) silent_at: Instant,
    /// Description of the silence.
    pub(crate) silence: &'a str,
}

/// Why a call leaves its endpoint.
#[derive(Clone, Copy, Debug)]
enum Left<'a> {
    /// The endpoint is silent, and may go on.
    Silent(Awaited<'a>),
    /// The endpoint has broken off its answer.
    Broken(EndpointKey),
}

impl Left<'_> {
    const fn key(&self) -> EndpointKey {
        match *self {
            Self::Silent(Awaited { key, .. }) | Self::Broken(key) => key,
        }
    }
}

/// Result of waiting for an answer.
#[derive(Debug)]
pub(crate) enum Handover<T> {
    /// The endpoint has answered or gone on.
    Continued(T),
    /// Another endpoint has begun to answer.
    Begun(Box<UnreadResponse>),
    /// Another endpoint has the call and must be awaited instead.
    Sent(Box<PendingAttempt>),
    /// This VM doesn't reach the service, and another VM may take the call.
    Lost,
    /// Nothing has gone on before the deadline, or before a broken-off stream was given up.
    Failed,
}

/// Waits for the first answer of some endpoints, and returns its index; waits for ever if there are
/// none.
async fn any_answer(asked: &mut [PendingAttempt]) -> (usize, Answer) {
    future::poll_fn(|context| {
        let mut answers = asked.iter_mut().enumerate();
        answers
            .find_map(
                |(index, next)| match Pin::new(&mut next.exchange).poll(context) {
                    Poll::Ready(answer) => Some(Poll::Ready((index, answer))),
                    Poll::Pending => None,
                },
            )
            .unwrap_or(Poll::Pending)
    })
    .await
}

impl CallForwarder {
    /// Waits for `answer`, that of an endpoint. While the endpoint is silent, the call is handed over
    /// to another one if that is possible; with `last_event_id`, the other one continues after that
    /// event.
    pub(crate) async fn await_answer<F>(
        &mut self,
        awaited: Awaited<'_>,
        mut answer: Pin<&mut F>,
        last_event_id: Option<&str>,
    ) -> Handover<F::Output>
    where
        F: Future + ?Sized,
    {
        let lost_at = Instant::now() + LOST_SILENCE;
        tokio::select! {
            biased;
            output = answer.as_mut() => return Handover::Continued(output),
            () = sleep_until(awaited.silent_at) => {}
            () = self.await_loss(lost_at) => {}
        }
        // After a suspension of the process, the tasks of connections have to read what has arrived.
        tokio::select! {
            biased;
            output = answer.as_mut() => return Handover::Continued(output),
            () = yield_now() => {}
        }
        let left = Left::Silent(awaited);
        self.hand_over(left, answer, last_event_id).await
    }

    /// Hands a stream that its endpoint has broken off over to another one.
    pub(crate) async fn replace_broken(
        &mut self,
        key: EndpointKey,
        last_event_id: Option<&str>,
    ) -> Handover<Infallible> {
        let nothing = pin!(future::pending());
        let left = Left::Broken(key);
        self.hand_over(left, nothing, last_event_id).await
    }

    async fn hand_over<F>(
        &mut self,
        left: Left<'_>,
        mut current: Pin<&mut F>,
        last_event_id: Option<&str>,
    ) -> Handover<F::Output>
    where
        F: Future + ?Sized,
    {
        let (key, give_up) = match left {
            Left::Silent(Awaited { key, .. }) => {
                self.record_failure(key);
                (key, self.deadline())
            }
            Left::Broken(key) => (key, self.deadline().min(Instant::now() + BROKEN_WAIT)),
        };
        if !self.tried.contains(&key) {
            self.tried.push(key);
        }
        self.skipped.clear();
        if matches!(left, Left::Silent(_)) && self.can_be_taken_up() {
            return Handover::Lost;
        }
        let mut wait = MIN_RETRY_INTERVAL;
        let mut asked: Vec<PendingAttempt> = Vec::new();
        loop {
            let sent = tokio::select! {
                biased;
                output = current.as_mut() => return Handover::Continued(output),
                answer = any_answer(&mut asked) => Err(answer),
                () = sleep_until(give_up) => return Handover::Failed,
                sent = self.send_elsewhere(left, last_event_id) => Ok(sent),
            };
            let (again_at, is_overlap) = match sent {
                Ok(Ok(next)) => {
                    let overlap = self.max_overlap(&next);
                    asked.push(next);
                    (Instant::now() + overlap, true)
                }
                Ok(Err(_)) if asked.is_empty() && self.can_be_taken_up() => {
                    return Handover::Lost;
                }
                Ok(Err(obstacle)) => {
                    if wait == MIN_RETRY_INTERVAL && obstacle != Obstacle::NotIdempotent {
                        self.log_obstacle(left, obstacle);
                    }
                    let nothing_left = matches!(left, Left::Broken(_)) && asked.is_empty();
                    if nothing_left && obstacle.is_final() {
                        return Handover::Failed;
                    }
                    let again_in = wait;
                    wait = MAX_RETRY_INTERVAL.min(wait * 2);
                    let again_at = Instant::now() + again_in;
                    (
                        if obstacle.is_final() {
                            give_up
                        } else {
                            again_at
                        },
                        false,
                    )
                }
                Err((index, result)) => {
                    if let Some(unread) = self.accept_other(asked.swap_remove(index), result) {
                        return Handover::Begun(Box::new(unread));
                    }
                    continue;
                }
            };
            tokio::select! {
                biased;
                output = current.as_mut() => return Handover::Continued(output),
                (index, result) = any_answer(&mut asked) => {
                    if let Some(unread) = self.accept_other(asked.swap_remove(index), result) {
                        return Handover::Begun(Box::new(unread));
                    }
                }
                () = sleep_until(again_at.min(give_up)) => {
                    if is_overlap
                        && self.request.route.kind.is_stream()
                        && let Some(next) = asked.pop()
                    {
                        return Handover::Sent(Box::new(next));
                    }
                }
            }
        }
    }

    /// Waits until the service of the call is lost and another VM may take the call, but at least until
    /// `lost_at`.
    async fn await_loss(&self, lost_at: Instant) {
        sleep_until(lost_at).await;
        let mut losses = self.shared.losses.subscribe();
        // The sender is not dropped during the wait.
        while !self.can_be_taken_up() && losses.changed().await.is_ok() {}
    }

    /// Whether this VM doesn't reach the service of the call, which another VM may take, although an
    /// endpoint has it.
    fn can_be_taken_up(&self) -> bool {
        self.can_take_up() && self.can_forward()
    }

    /// Takes in the answer of an endpoint that has the call besides a silent one; none if the silent
    /// one has to be awaited further.
    fn accept_other(&mut self, next: PendingAttempt, result: Answer) -> Option<UnreadResponse> {
        let key = next.key();
        let name = next.info.endpoint.clone();
        let failed = match self.accept(next, result) {
            Ok(unread) if self.can_continue(&unread) => return Some(unread),
            Ok(unread) => {
                self.record_failure(key);
                let status = unread.head.status;
                FailedAttempt::new(
                    Outcome::Failed,
                    format!("status {status} instead of events"),
                )
            }
            Err(failed) => failed,
        };
        self.log_missed(&name, &failed);
        None
    }

    /// Whether a response may follow what the caller has received.
    pub(crate) fn can_continue(&self, unread: &UnreadResponse) -> bool {
        !self.has_begun || has_events(self.request.route.kind, &unread.head)
    }

    fn deadline(&self) -> Instant {
        Instant::now() + self.request.deadline.since(clock::now())
    }

    /// Time for which the silent endpoint is kept beside another one that has the call, or after which
    /// a further one gets the call too.
    fn max_overlap(&self, next: &PendingAttempt) -> Duration {
        match self.request.route.kind {
            RouteKind::Safe => self.silence_limit(next.sent),
            RouteKind::Unsafe | RouteKind::Stream { .. } => MAX_OVERLAP,
        }
    }

    /// Sends the call to another endpoint that can be expected to answer.
    async fn send_elsewhere(
        &mut self,
        left: Left<'_>,
        last_event_id: Option<&str>,
    ) -> Result<PendingAttempt, Obstacle> {
        self.prove_version(left.key()).await;
        if let Some(obstacle) = self.obstacle() {
            return Err(obstacle);
        }
        let now = clock::now();
        if self.check_allowed(now).is_err() || self.recheck_subjects().is_err() {
            return Err(Obstacle::NotAllowed);
        }
        let placement = self.place_elsewhere(left).await?;
        let key = placement.endpoint;
        // Endpoints that get nothing now are tried again when there are no others.
        self.skipped.push(key);
        let info = self.describe(placement).ok_or(Obstacle::NoEndpoint)?;
        // A report on the same connection shows that the endpoint isn't silent too.
        let is_checked = self.request.route.kind.is_stream();
        let ready = self.connect(info.clone(), false, is_checked).await;
        let ready = ready.map_err(|failed| {
            self.log_missed(&info.endpoint, &failed);
            Obstacle::NoEndpoint
        })?;
        if !self.charge_retry(clock::now()) {
            return Err(Obstacle::BudgetUsed);
        }
        let sent = self.send(ready, last_event_id);
        let pending = sent.map_err(|_changed| Obstacle::NoEndpoint)?;
        self.attempts.total += 1;
        self.tried.push(key);
        self.record.attempts += 1;
        if let Left::Silent(Awaited { silence, .. }) = left {
            silence.clone_into(&mut self.record.cause);
        }
        self.log_handover(&info, last_event_id);
        Ok(pending)
    }

    /// Obstacle to sending the call elsewhere, apart from endpoints.
    fn obstacle(&self) -> Option<Obstacle> {
        let now = clock::now();
        let time_left = self.request.deadline.since(now);
        let route = &self.request.route;
        let obstacle = obstacle(
            route.kind,
            route.max_attempts,
            self.attempts,
            &self.request.pin,
            time_left,
        );
        if obstacle.is_some() {
            return obstacle;
        }
        let mut core = self.shared.core();
        let vms = core.membership.alive_count(now);
        let is_allowed = core.retry_budget.allows(now, &self.request.service, vms);
        (!is_allowed).then_some(Obstacle::BudgetUsed)
    }

    /// Selects another endpoint. A silent endpoint isn't left for one that is ejected.
    async fn place_elsewhere(&mut self, left: Left<'_>) -> Result<Placement, Obstacle> {
        let selected = self.select_endpoint().await.ok().filter(|placement| {
            placement.reason != PlacementReason::AllEjected || matches!(left, Left::Broken(_))
        });
        if selected.is_none() {
            self.skipped.clear();
        }
        selected.ok_or(Obstacle::NoEndpoint)
    }

    fn log_obstacle(&mut self, left: Left<'_>, obstacle: Obstacle) {
        match left {
            Left::Broken(_) => self.record.add_cause(obstacle.as_str()),
            Left::Silent(Awaited { name, silence, .. }) => {
                tracing::info!(
                    event = "awaited",
                    id = &*self.request.call.id,
                    endpoint = name.as_str(),
                    silence,
                    obstacle = obstacle.as_str(),
                    left_ms = self.request.deadline.since(clock::now()).as_millis() as u64,
                    "attempt"
                );
            }
        }
    }

    fn log_missed(&self, name: &EndpointName, failed: &FailedAttempt) {
        tracing::info!(
            event = "missed",
            id = &*self.request.call.id,
            endpoint = name.as_str(),
            outcome = ?failed.outcome,
            cause = failed.cause,
            "attempt"
        );
    }

    fn log_handover(&mut self, to: &AttemptInfo, last_event_id: Option<&str>) {
        let is_begun = self.request.pin.is_begun();
        self.record.resumed += u32::from(is_begun);
        tracing::info!(
            event = if is_begun { "resumes" } else { "repeats" },
            id = &*self.request.call.id,
            endpoint = to.endpoint.as_str(),
            last = last_event_id,
            software = to.software.as_ref().map(SoftwareVersion::as_str),
            cause = self.record.cause,
            left_ms = self.request.deadline.since(clock::now()).as_millis() as u64,
            "stream"
        );
    }
}
