//! Carries a call until it has an answer, or until nothing more may be tried.

use crate::{
    attempt::{Answer, Missed},
    clock,
    record::Record,
    reply::Failure,
    shared::Shared,
};
use bytes::Bytes;
use core::time::Duration;
use http::{HeaderMap, Method, Uri};
use poplarswitch_entity::{ServiceName, Time};
use poplarswitch_ingress::{
    Access, AttemptCounts, Call, EndpointKey, NextStep, Outcome, Route, Verdict, next_step, verdict,
};
use poplarswitch_wire::ErrorCode;
use std::sync::Arc;

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
    pub(crate) tries: AttemptCounts,
    pub(crate) tried: Vec<EndpointKey>,
    pub(crate) record: Record,
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
            self.tries.total += 1;
            self.tries.maybe_run += u32::from(outcome.may_have_run());
            let now = clock::now();
            let left = self.task.until.since(now);
            let next = next_step(
                self.task.route.kind,
                self.task.route.max_attempts,
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
                NextStep::Repeat { paid: false } => continue,
                NextStep::Repeat { paid: true } if self.pay(now) => continue,
                NextStep::Repeat { .. } => verdict(self.tries, outcome),
                NextStep::Tell(verdict) => verdict,
            };
            if let (Verdict::Endpoint, Some(answer)) = (verdict, answer) {
                return Ok(*answer);
            }
            return Err(self.tell(now, verdict));
        }
    }

    /// Gives up the request once its answer has begun and it won't be sent again: prompts are the
    /// largest part of what a stream holds.
    pub(crate) fn release_request(&mut self) {
        self.task.body = Bytes::new();
        self.task.headers = HeaderMap::new();
    }

    pub(crate) fn pay(&self, now: Time) -> bool {
        let mut core = self.shared.core();
        let vms = core.roster.alive_count(now);
        let paid = core.budget.try_take(now, &self.task.service, vms);
        drop(core);
        if !paid {
            self.shared.metrics.budget_spent.inc();
        }
        paid
    }

    /// When the caller of a refused call should come back.
    pub(crate) fn wait(&self, now: Time) -> Duration {
        let left = self.task.until.since(now);
        self.shared
            .core()
            .gate
            .record_refusal(now, &self.task.call.id, left)
    }

    /// What the caller is told when its time is over.
    fn give_up(&self) -> Failure {
        let code = if self.tries.maybe_run > 0 {
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
    pub(crate) fn recheck(&self, now: Time) -> Result<(), Failure> {
        let vm = self.shared.settings.vm.as_str();
        let fresh = self.shared.core().freshness.is_usable(now);
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
    pub(crate) fn unrun(&self, code: ErrorCode, peer: &str) -> Failure {
        if self.tries.maybe_run > 0 {
            Failure::new(ErrorCode::Failed, peer).in_doubt()
        } else {
            Failure::new(code, peer)
        }
    }

    fn resting(&self, key: EndpointKey) -> bool {
        let now = clock::now();
        let core = self.shared.core();
        core.fleet
            .get(key)
            .is_none_or(|endpoint| endpoint.health.is_ejected(now))
    }
}
