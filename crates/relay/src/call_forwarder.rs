//! Forwarding of a call: attempts and retries until the call has a response or no further attempt
//! is allowed.

use crate::{
    attempt::{EndpointResponse, FailedAttempt},
    call_record::CallRecord,
    clock,
    endpoint_checks::LateCheck,
    forwarding::{Forwarded, Hop},
    reply::Failure,
    serve::leaving_failure,
    shared::Shared,
    slots::SlotGuard,
    trials::Trial,
};
use bytes::Bytes;
use core::{net::Ipv4Addr, time::Duration};
use http::{HeaderMap, Method, Uri};
use poplarswitch_entity::{ServiceName, Time};
use poplarswitch_ingress::{
    Access, AttemptCounts, Call, EndpointKey, NextStep, Outcome, RequestId, Route, RoutingTable,
    Verdict, VersionPin, next_step, verdict,
};
use poplarswitch_wire::ErrorCode;
use std::sync::Arc;

/// A call that has been accepted and checked.
#[derive(Debug)]
pub(crate) struct CallRequest {
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) call: Call,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers for the endpoint, without those that the relay adds for each attempt.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) host: Box<str>,
    pub(crate) workspace: Option<Box<str>>,
    pub(crate) priority: u8,
    /// When the whole request had arrived.
    pub(crate) arrived: Time,
    /// Time at which the time limit of the caller or that of the route ends, whichever is earlier.
    pub(crate) deadline: Time,
    /// Software versions at which the call may run.
    pub(crate) pin: VersionPin,
    /// Identifies the request, whichever attempt of its caller this is.
    pub(crate) id: RequestId,
    pub(crate) hop: Hop,
    /// Whether the call counts for the retry budget of this VM.
    pub(crate) is_counted: bool,
}

impl CallRequest {
    /// Takes the caller's workspace from a later configuration; its key may have moved to another one
    /// while the body arrived.
    pub(crate) fn set_caller(&mut self, table: &RoutingTable, route: &Route) {
        if let Access::Granted(workspace) = table.access(route, self.call.key.as_deref()) {
            self.priority = table.rank(route, Some(&workspace));
            self.workspace = Some(workspace.name.as_str().into());
        }
    }
}

/// Forwards one call.
#[derive(Debug)]
pub(crate) struct CallForwarder {
    pub(crate) shared: Arc<Shared>,
    pub(crate) request: CallRequest,
    pub(crate) attempts: AttemptCounts,
    pub(crate) tried: Vec<EndpointKey>,
    /// Endpoints that could not get the call at the moment of a handover.
    pub(crate) skipped: Vec<EndpointKey>,
    /// VMs to which the call was forwarded.
    pub(crate) helpers: Vec<Ipv4Addr>,
    /// Slot at the brittle endpoint that has been selected.
    pub(crate) slot: Option<SlotGuard>,
    /// Until when the call may wait for a slot, once it has begun to.
    pub(crate) slot_wait_end: Option<Time>,
    /// Whether a connection for the call could not be opened.
    pub(crate) unconnected: bool,
    /// Whether the next attempt is a retry that has not been charged to the retry budget.
    pub(crate) is_uncharged: bool,
    /// Endpoints whose reports the call has stopped waiting for, for the time being.
    pub(crate) late_checks: Vec<LateCheck>,
    /// When the first event of the stream arrived.
    pub(crate) began: Option<Time>,
    /// Whether the head of a response has been forwarded.
    pub(crate) has_begun: bool,
    /// The trial of a held subject that the call is.
    pub(crate) trial: Option<Trial>,
    pub(crate) record: CallRecord,
}

impl CallForwarder {
    /// Attempts the call until it has a response or no further attempt is allowed. With
    /// `last_event_id`, the response continues after that event.
    pub(crate) async fn run(
        &mut self,
        last_event_id: Option<&str>,
    ) -> Result<EndpointResponse, Failure> {
        let mut stale_connection = false;
        loop {
            let now = clock::now();
            let time_left = self.request.deadline.since(now);
            if time_left.is_zero() {
                return Err(self.deadline_failure());
            }
            self.reroute();
            self.recheck(now)?;
            if self.is_lost() {
                match self.forward(last_event_id).await {
                    Forwarded::Answered(response) => return Ok(response),
                    Forwarded::Untaken => {}
                    Forwarded::Refused { retry_after } => {
                        let delay = retry_after.unwrap_or_else(|| self.retry_after(now));
                        let failure = self.forward_failure(ErrorCode::NoEndpoint);
                        return Err(failure.with_retry_after(delay));
                    }
                    Forwarded::Failed(code) => return Err(self.forward_failure(code)),
                    Forwarded::Broken if self.can_take_up() => {
                        self.is_uncharged = true;
                        continue;
                    }
                    Forwarded::Broken => return Err(self.forward_failure(ErrorCode::Failed)),
                }
            }
            if self.is_uncharged && !self.charge_retry(now) {
                self.record.add_cause("the retry budget is used");
                return Err(self.verdict_failure(now, Verdict::InDoubt));
            }
            self.is_uncharged = false;
            let Some(placement) = self.choose().await? else {
                continue;
            };
            if self.pass_quarantine().await? {
                // The wait may have outlasted the placement.
                continue;
            }
            let failed = match self
                .attempt(placement, last_event_id, stale_connection)
                .await
            {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            let FailedAttempt {
                outcome,
                response,
                cause,
            } = failed;
            self.record_trial_cause(&cause);
            let is_late = self.awaits_report(placement.endpoint);
            // A reused connection that was closed doesn't show that its endpoint failed.
            stale_connection = outcome == Outcome::NotSent
                && !stale_connection
                && !is_late
                && !self.is_ejected(placement.endpoint);
            if !stale_connection {
                self.tried.push(placement.endpoint);
            }
            self.attempts.total += u32::from(!is_late);
            let now = clock::now();
            let time_left = self.request.deadline.since(now);
            let next = next_step(
                self.request.route.kind,
                self.request.route.max_attempts,
                self.attempts,
                outcome,
                time_left,
            );
            tracing::info!(
                event = "missed",
                id = &*self.request.call.id,
                endpoint = &*self.record.endpoint,
                ?outcome,
                ?next,
                left_ms = time_left.as_millis() as u64,
                cause,
                "attempt"
            );
            self.record.cause = cause;
            let verdict = match next {
                NextStep::Repeat { paid: false } => continue,
                // The VM that sends the call charges the retry.
                NextStep::Repeat { paid: true } if self.can_forward() => {
                    self.is_uncharged = true;
                    continue;
                }
                NextStep::Repeat { paid: true } if self.charge_retry(now) => continue,
                NextStep::Repeat { .. } => {
                    self.record.add_cause("the retry budget is used");
                    verdict(self.attempts, outcome)
                }
                NextStep::Tell(verdict) => verdict,
            };
            if let (Verdict::Endpoint, Some(response)) = (verdict, response) {
                return Ok(*response);
            }
            return Err(self.verdict_failure(now, verdict));
        }
    }

    /// Drops the request's body and headers once its response has begun and it will not be sent
    /// again. Prompts are the largest part of the memory that a stream uses.
    pub(crate) fn release_request(&mut self) {
        self.request.body = Bytes::new();
        self.request.headers = HeaderMap::new();
    }

    /// Charges a retry to the retry budget; returns whether the budget allows it.
    pub(crate) fn charge_retry(&self, now: Time) -> bool {
        let mut core = self.shared.core();
        let vms = core.membership.alive_count(now);
        let paid = core.retry_budget.try_take(now, &self.request.service, vms);
        drop(core);
        if !paid {
            self.shared.metrics.retries_denied.inc();
        }
        paid
    }

    /// Records a refusal and returns the time after which the caller should retry.
    pub(crate) fn retry_after(&self, now: Time) -> Duration {
        let request = &self.request;
        let time_left = request.deadline.since(now);
        let mut core = self.shared.core();
        let kept_until = core.endpoints.kept_until(
            now,
            &request.service,
            request.priority,
            request.pin.required(),
        );
        let kept = kept_until.map_or(Duration::ZERO, |until| until.since(now));
        let spread = core
            .admission
            .record_refusal(now, &request.call.id, time_left);
        spread.max(kept)
    }

    /// Failure that is reported to the caller after its deadline.
    fn deadline_failure(&self) -> Failure {
        let code = if self.attempts.maybe_run > 0 {
            ErrorCode::InDoubt
        } else {
            ErrorCode::WaitExpired
        };
        Failure::new(code, self.request.service.as_str())
    }

    /// Failure that is reported to the caller after the last attempt.
    fn verdict_failure(&self, now: Time, verdict: Verdict) -> Failure {
        let peer = &*self.record.endpoint;
        match verdict {
            Verdict::NotRun => {
                let retry_after = self.retry_after(now);
                Failure::new(ErrorCode::Overload, peer).with_retry_after(retry_after)
            }
            Verdict::Endpoint => Failure::new(ErrorCode::Failed, peer),
            Verdict::InDoubt => Failure::new(ErrorCode::Failed, peer).in_doubt(),
        }
    }

    /// Selects another service if that of the call isn't a target of its route any more. A stream that
    /// has begun stays at its service.
    fn reroute(&mut self) {
        let table = self.shared.table.load();
        if table.version() == self.record.version || self.request.pin.is_begun() {
            return;
        }
        let route = table.route(&self.request.host, self.request.uri.path());
        let Some(route) = route.filter(|route| route.kind == self.request.route.kind) else {
            return;
        };
        self.request.set_caller(&table, route);
        if !route.has_target(&self.request.service)
            && let Some(service) = table.select_target(route, &self.request.call.id)
        {
            tracing::info!(
                event = "rerouted",
                id = &*self.request.call.id,
                from = self.request.service.as_str(),
                to = service.as_str(),
                version = table.version(),
                "attempt"
            );
            self.request.service = service.clone();
        }
    }

    /// Whether the call may begin although this VM may exit soon.
    fn has_time(&self, now: Time) -> bool {
        let request = &self.request;
        self.shared
            .has_time(now, &request.route, request.arrived, request.deadline)
    }

    /// Checks again, immediately before the call is sent, that it has time to end, that the
    /// configuration is confirmed and that the call and its key are allowed: the call may have waited,
    /// or the process may have been suspended since the last check.
    pub(crate) fn recheck(&self, now: Time) -> Result<(), Failure> {
        if self.attempts.maybe_run == 0 && !self.has_time(now) {
            return Err(leaving_failure(&self.shared));
        }
        let Err(code) = self.check_allowed(now) else {
            return Ok(());
        };
        let failure = self.not_run_failure(code, self.shared.settings.vm.as_str());
        Err(match code {
            ErrorCode::StaleSet | ErrorCode::NoEndpoint => {
                failure.with_retry_after(self.retry_after(now))
            }
            _ => failure,
        })
    }

    /// Whether the configuration, which must be confirmed, still allows the call; the error is the
    /// code of the refusal. A stream that has begun goes on whatever its route has become.
    pub(crate) fn check_allowed(&self, now: Time) -> Result<(), ErrorCode> {
        if !self.shared.core().freshness.is_usable(now) {
            return Err(ErrorCode::StaleSet);
        }
        let table = self.shared.table.load();
        if table.version() == self.record.version {
            return Ok(());
        }
        let is_begun = self.request.pin.is_begun();
        let route = match table.route(&self.request.host, self.request.uri.path()) {
            _ if is_begun => &self.request.route,
            Some(route) => route,
            None => return Err(ErrorCode::UnknownPath),
        };
        let is_other_kind = route.kind != self.request.route.kind;
        if !is_begun && (is_other_kind || !route.has_target(&self.request.service)) {
            return Err(ErrorCode::NoEndpoint);
        }
        match table.access(route, self.request.call.key.as_deref()) {
            Access::Denied => Err(ErrorCode::Unauthorized),
            Access::Open | Access::Granted(_) => Ok(()),
        }
    }

    /// Failure with a code that means "not run", or in doubt if an endpoint may have run the call.
    pub(crate) fn not_run_failure(&self, code: ErrorCode, peer: &str) -> Failure {
        if self.attempts.maybe_run > 0 {
            Failure::new(ErrorCode::Failed, peer).in_doubt()
        } else {
            Failure::new(code, peer)
        }
    }

    fn is_ejected(&self, key: EndpointKey) -> bool {
        let now = clock::now();
        let core = self.shared.core();
        core.endpoints
            .get(key)
            .is_none_or(|endpoint| endpoint.health.is_ejected(now))
    }
}
