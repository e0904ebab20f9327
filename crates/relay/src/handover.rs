//! Handover of a call to another endpoint while its own is silent.
//!
//! A silent endpoint may go on at any moment, so its connection is kept until another endpoint has
//! begun to answer. If none can, because the attempts or the retry budget are used or no endpoint is
//! available, the silent endpoint is awaited until the deadline of the call. Two endpoints work on one
//! stream for a short time only.

use crate::{
    attempt::{AttemptInfo, FailedAttempt, PendingAttempt, UnreadResponse},
    call_forwarder::CallForwarder,
    clock,
};
use core::{
    convert::Infallible,
    future,
    pin::{Pin, pin},
    time::Duration,
};
use poplarswitch_entity::EndpointName;
use poplarswitch_ingress::{
    EndpointKey, Obstacle, Placement, PlacementReason, RouteKind, SoftwareVersion, obstacle,
};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// Maximum time for which two endpoints work on one stream.
const MAX_OVERLAP: Duration = Duration::from_millis(200);
/// Time after which a handover is tried again for the first time if something stands in its way;
/// doubles with each try.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum time after which a handover is tried again.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a stream whose endpoint has broken it off waits for another endpoint.
const BROKEN_WAIT: Duration = Duration::from_secs(1);
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

/// Result of waiting for an answer.
#[derive(Debug)]
pub(crate) enum Handover<T> {
    /// The endpoint has answered or gone on.
    Continued(T),
    /// Another endpoint has begun to answer.
    Begun(Box<UnreadResponse>),
    /// Another endpoint has the call and must be awaited instead.
    Sent(Box<PendingAttempt>),
    /// Nothing has gone on before the deadline, or before a broken-off stream was given up.
    Failed,
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
        if let Ok(output) = timeout_at(awaited.silent_at, answer.as_mut()).await {
            return Handover::Continued(output);
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
        let mut wait = MIN_RETRY_INTERVAL;
        loop {
            let sent = tokio::select! {
                biased;
                output = current.as_mut() => return Handover::Continued(output),
                () = sleep_until(give_up) => return Handover::Failed,
                sent = self.send_elsewhere(left, last_event_id) => sent,
            };
            let mut next = match sent {
                Ok(next) => next,
                Err(obstacle) => {
                    if wait == MIN_RETRY_INTERVAL && obstacle != Obstacle::NotIdempotent {
                        self.log_obstacle(left, obstacle);
                    }
                    let again_at = match left {
                        Left::Broken(_) if obstacle.is_final() => return Handover::Failed,
                        _ if obstacle.is_final() => give_up,
                        _ => give_up.min(Instant::now() + wait),
                    };
                    tokio::select! {
                        biased;
                        output = current.as_mut() => return Handover::Continued(output),
                        () = sleep_until(again_at) => {}
                    }
                    if again_at == give_up {
                        return Handover::Failed;
                    }
                    wait = MAX_RETRY_INTERVAL.min(wait * 2);
                    continue;
                }
            };
            let overlap = self.max_overlap();
            let result = tokio::select! {
                biased;
                output = current.as_mut() => return Handover::Continued(output),
                result = next.exchange.as_mut() => result,
                () = sleep(overlap) => return Handover::Sent(Box::new(next)),
            };
            let name = next.info.endpoint.clone();
            match self.accept(next, result) {
                Ok(unread) => return Handover::Begun(Box::new(unread)),
                Err(failed) => self.log_missed(&name, &failed),
            }
        }
    }

    fn deadline(&self) -> Instant {
        Instant::now() + self.request.deadline.since(clock::now())
    }

    /// Maximum time for which two endpoints work on the call. An idempotent call that isn't a stream
    /// may run at several endpoints; the first answer counts.
    fn max_overlap(&self) -> Duration {
        match self.request.route.kind {
            RouteKind::Safe => self.request.deadline.since(clock::now()),
            RouteKind::Unsafe | RouteKind::Stream { .. } => MAX_OVERLAP,
        }
    }

    /// Sends the call to another endpoint that can be expected to answer.
    async fn send_elsewhere(
        &mut self,
        left: Left<'_>,
        last_event_id: Option<&str>,
    ) -> Result<PendingAttempt, Obstacle> {
        if let Some(obstacle) = self.obstacle() {
            return Err(obstacle);
        }
        let now = clock::now();
        if self.check_allowed(now).is_err() || self.recheck_sections().is_err() {
            return Err(Obstacle::NotAllowed);
        }
        let placement = self.place_elsewhere().await?;
        self.attempts.total += 1;
        // A report on the same connection shows that the endpoint isn't silent too.
        let is_checked = self.request.route.kind.is_stream();
        let ready = self.connect(placement, false, is_checked).await;
        self.tried.push(placement.endpoint);
        let ready = ready.map_err(|failed| {
            tracing::debug!(cause = failed.cause, "handover");
            Obstacle::NoEndpoint
        })?;
        if !self.charge_retry(clock::now()) {
            return Err(Obstacle::BudgetUsed);
        }
        let info = ready.info.clone();
        let sent = self.send(ready, last_event_id);
        let pending = sent.map_err(|_changed| Obstacle::NoEndpoint)?;
        self.record.attempts += 1;
        if let Left::Silent(Awaited { silence, .. }) = left {
            silence.clone_into(&mut self.record.cause);
        }
        self.log_handover(&info, last_event_id);
        Ok(pending)
    }

    /// What keeps the call from being sent elsewhere, apart from endpoints.
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

    /// Selects an endpoint that isn't ejected, because the present one may go on.
    async fn place_elsewhere(&mut self) -> Result<Placement, Obstacle> {
        let placement = self.select_endpoint().await;
        placement
            .ok()
            .filter(|placement| placement.reason != PlacementReason::AllEjected)
            .ok_or(Obstacle::NoEndpoint)
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
