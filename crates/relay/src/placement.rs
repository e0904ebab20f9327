//! Selection of an endpoint for a call. Reports are requested from engines if the decision depends
//! on their load.

use crate::{
    call_forwarder::CallForwarder,
    clock,
    open_call::CallLoad,
    pool::Connection,
    reply::Failure,
    shared::Shared,
    slots::Slot,
    tcp::{self, Sender},
};
use bytes::Bytes;
use core::{net::SocketAddr, time::Duration};
use http::Request;
use http_body_util::Full;
use poplarswitch_entity::Time;
use poplarswitch_ingress::{
    EndpointGroup, EndpointKey, EngineReport, Health, Placement, PlacementDecision,
    PlacementReason, PlacementRequest, ReportChecks,
};
use poplarswitch_room::{CallTimes, StartLimits};
use poplarswitch_wire::ErrorCode;
use tokio::time::timeout;

/// Time limit for an engine's report; a live engine replies within a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of reports that are requested for one attempt.
const MAX_PROBES: usize = 5;
/// Maximum number of decisions for one attempt, some of which end at a limited endpoint.
const MAX_DECISIONS: usize = 40;
/// Maximum size of a report.
const MAX_REPORT_BYTES: usize = 64 << 10;

impl CallForwarder {
    /// Selects an endpoint for the call, or refuses the call. A call that awaits reports of several
    /// endpoints, or finds no other one, takes the endpoint whose report comes first. Returns none if the
    /// call should go through another VM instead.
    pub(crate) async fn choose(&mut self) -> Result<Option<Placement>, Failure> {
        loop {
            if ReportChecks::may_ask_another(self.late_checks.len()) {
                match self.select_endpoint().await {
                    Ok(placement) => return Ok(Some(placement)),
                    Err(code) if self.late_checks.is_empty() => {
                        return Err(self.refusal(clock::now(), code));
                    }
                    Err(_) => {}
                }
            }
            let Some(placement) = self.await_late_report().await else {
                if !self.late_checks.is_empty() && self.can_forward() {
                    return Ok(None);
                }
                continue;
            };
            if self.reserve(placement.endpoint).await {
                return Ok(Some(placement));
            }
            self.take_late_check(placement.endpoint);
        }
    }

    /// Selects an endpoint whose limit on the rate of requests allows the call; requests reports
    /// from engines if the decision depends on their load.
    pub(crate) async fn select_endpoint(&mut self) -> Result<Placement, ErrorCode> {
        let (mut probes, mut silent) = (0, 0);
        for _ in 0..MAX_DECISIONS {
            let now = clock::now();
            let decision = self.place(now);
            match decision {
                PlacementDecision::Send(placement) => {
                    if self.reserve(placement.endpoint).await {
                        return Ok(placement);
                    }
                }
                PlacementDecision::Probe(key) => {
                    if probes < MAX_PROBES {
                        probes += 1;
                        silent += usize::from(!self.probe(key).await);
                        continue;
                    }
                    // Without any report, a refusal would say nothing of the load.
                    if silent == probes && self.reserve(key).await {
                        return Ok(Placement {
                            endpoint: key,
                            reason: PlacementReason::LeastLoaded,
                            expected: None,
                            cache_source: None,
                        });
                    }
                    break;
                }
                PlacementDecision::Refuse { expected } => {
                    self.record.expected = Some(expected);
                    self.record.returned = self.times(now).is_return();
                    self.record.limits = Some(self.start_limits(now));
                    let rank = self.request.priority;
                    let returned = self.record.returned;
                    self.shared.metrics.record_refusal(rank, returned);
                    return Err(ErrorCode::Overload);
                }
                PlacementDecision::NoEndpoint if self.wait_for_slot().await => {}
                PlacementDecision::NoEndpoint => return Err(ErrorCode::NoEndpoint),
            }
        }
        Err(ErrorCode::Overload)
    }

    /// Takes a slot and a permit of an endpoint, as far as it needs them.
    async fn reserve(&mut self, key: EndpointKey) -> bool {
        self.slot = match self.take_slot(key).await {
            Slot::Unlimited => None,
            Slot::Taken(guard) => Some(guard),
            Slot::Denied => return false,
        };
        let has_permit = self.take_permit(key).await;
        if !has_permit {
            self.slot = None;
        }
        has_permit
    }

    fn place(&self, now: Time) -> PlacementDecision {
        let excluded = [&*self.tried, &*self.skipped].concat();
        let core = self.shared.core();
        let request = PlacementRequest {
            service: &self.request.service,
            prompt: self.request.call.prompt.as_ref(),
            objective: self.request.route.objective,
            max_gap: self.request.route.max_gap,
            limits: self.start_limits(now),
            // The caller already has a part of the answer.
            top_priority: self.request.route.priority == 0 || self.request.pin.is_begun(),
            rank: self.request.priority,
            software: self.request.pin.required(),
            tried: &excluded,
            data_centre: &self.shared.settings.data_centre,
        };
        core.endpoints.choose(now, request, &core.groups)
    }

    /// Times of the call, as far as they decide where and whether it is sent.
    fn times(&self, now: Time) -> CallTimes {
        let request = &self.request;
        CallTimes {
            objective: request.route.objective,
            timeout: request.route.timeout,
            total: request.deadline.since(self.record.arrived()),
            left: request.deadline.since(now),
        }
    }

    /// Predicted starts that the call accepts.
    fn start_limits(&self, now: Time) -> StartLimits {
        self.times(now)
            .limits(self.group() == EndpointGroup::Relaxed)
    }

    fn refusal(&self, now: Time, code: ErrorCode) -> Failure {
        self.not_run_failure(code, self.request.service.as_str())
            .with_retry_after(self.retry_after(now))
    }

    /// Requests the report of an engine; an engine without a timely report counts as full. Returns
    /// whether the report has come.
    async fn probe(&self, key: EndpointKey) -> bool {
        self.shared.metrics.probes.inc();
        let Some((name, address)) = self.endpoint_address(key) else {
            return false;
        };
        let report = timeout(PROBE_TIMEOUT, self.fetch_report(key, address)).await;
        match report.unwrap_or_else(|_elapsed| Err("no report in time".to_owned())) {
            Ok(report) => {
                let group = self.group();
                let mut core = self.shared.core();
                core.endpoints
                    .record_report(clock::now(), key, group, report);
                true
            }
            Err(cause) => {
                tracing::info!(
                    event = "silent",
                    endpoint = name.as_str(),
                    cause,
                    "endpoint"
                );
                self.record_health(key, Health::record_full);
                false
            }
        }
    }

    async fn fetch_report(
        &self,
        key: EndpointKey,
        address: SocketAddr,
    ) -> Result<EngineReport, String> {
        let connection = self.shared.acquire(key, address, false).await;
        let connection = connection.map_err(|error| error.to_string())?;
        let (report, sender) = fetch_report(&self.shared, connection, address).await?;
        self.shared.return_connection(key, sender, None);
        Ok(report)
    }

    /// Endpoint group of a call to a model.
    pub(crate) fn group(&self) -> EndpointGroup {
        let route = &self.request.route;
        EndpointGroup::of(route.objective, route.max_gap)
    }

    /// Load that a call to a model puts on its engine; none for other calls.
    pub(crate) fn call_load(&self, placement: Placement) -> Option<CallLoad> {
        let prompt = self.request.call.prompt.as_ref()?;
        Some(CallLoad {
            group: self.group(),
            prefill_tokens: prompt.uncached_tokens(
                placement.cache_source.is_some() || placement.reason == PlacementReason::Session,
            ),
            output_tokens: prompt.expected_output(),
            expected: placement.expected,
            objective: self.request.route.objective,
        })
    }
}

/// Requests the report of an engine on a connection; returns the connection too.
pub(crate) async fn fetch_report(
    shared: &Shared,
    connection: Connection,
    address: SocketAddr,
) -> Result<(EngineReport, Sender), String> {
    let Connection { mut sender, .. } = connection;
    let request = Request::get(shared.protocol.report_path())
        .header(http::header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|error| error.to_string())?;
    let response = tcp::exchange(&mut sender, request, MAX_REPORT_BYTES)
        .await
        .map_err(|error| error.to_string())?;
    let report = shared.protocol.parse_report(response.body());
    let status = response.status();
    let notice = shared.protocol.parse_notice(status, response.headers());
    let start_ms = report.as_ref().ok().and_then(|report| report.start_ms);
    shared.record_notice_at(address, start_ms, notice);
    let report = report.map_err(|reason| format!("status {status}: {reason}"))?;
    Ok((report, sender))
}

/// Name of a placement reason in logs.
pub(crate) const fn reason_name(reason: PlacementReason) -> &'static str {
    match reason {
        PlacementReason::Session => "session",
        PlacementReason::Spill => "spill",
        PlacementReason::LeastLoaded => "least",
        PlacementReason::Late => "late",
        PlacementReason::AllEjected => "resting",
    }
}
