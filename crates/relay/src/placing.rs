//! Finds an endpoint for a call, asking engines how they stand where that decides.

use crate::{clock, job::Job, pool::Lease, reply::Failure, seat::Load, tcp};
use bytes::Bytes;
use core::{net::SocketAddr, time::Duration};
use http::Request;
use http_body_util::Full;
use poplarswitch_entity::Time;
use poplarswitch_ingress::{
    EndpointGroup, EndpointKey, EngineReport, Health, Placement, PlacementDecision,
    PlacementReason, PlacementRequest,
};
use poplarswitch_wire::ErrorCode;
use tokio::time::timeout;

/// Time for an engine's report; a live one answers within a few milliseconds.
const PROBE_WITHIN: Duration = Duration::from_millis(100);
/// Engines that are asked for one attempt.
const PROBES_MOST: usize = 5;
/// Largest report.
const REPORT_BYTES: usize = 64 << 10;
impl Job {
    /// Chooses an endpoint, asking engines how they stand where that decides.
    pub(crate) async fn choose(&mut self) -> Result<Placement, Failure> {
        for _ in 0..PROBES_MOST {
            let now = clock::now();
            let decision = self.decide(now);
            match decision {
                PlacementDecision::Send(choice) => return Ok(choice),
                PlacementDecision::Probe(key) => self.probe(key).await,
                PlacementDecision::Refuse { expected } => {
                    self.record.expected = Some(expected);
                    return Err(self.refused(now, ErrorCode::Overload));
                }
                PlacementDecision::NoEndpoint => {
                    return Err(self.refused(now, ErrorCode::NoEndpoint));
                }
            }
        }
        Err(self.refused(clock::now(), ErrorCode::Overload))
    }

    fn decide(&self, now: Time) -> PlacementDecision {
        let core = self.shared.core();
        let ask = PlacementRequest {
            service: &self.task.service,
            prompt: self.task.call.prompt.as_ref(),
            objective: self.task.route.objective,
            time_left: self.task.until.since(now),
            top_priority: self.task.route.priority == 0,
            tried: &self.tried,
            data_centre: &self.shared.settings.data_centre,
        };
        core.fleet.choose(now, ask, &core.sides)
    }

    fn refused(&self, now: Time, code: ErrorCode) -> Failure {
        let after = self.wait(now);
        self.unrun(code, self.task.service.as_str()).retry(after)
    }

    /// Asks an engine how it stands; one that doesn't say within a moment counts as full.
    async fn probe(&self, key: EndpointKey) {
        self.shared.metrics.probes.inc();
        let Some((name, address)) = self.place(key) else {
            return;
        };
        let report = timeout(PROBE_WITHIN, self.report(key, address)).await;
        match report.unwrap_or_else(|_elapsed| Err("no report in time".to_owned())) {
            Ok(report) => {
                let side = self.side();
                let mut core = self.shared.core();
                core.fleet.record_report(clock::now(), key, side, report);
            }
            Err(cause) => {
                tracing::info!(
                    event = "silent",
                    endpoint = name.as_str(),
                    cause,
                    "endpoint"
                );
                self.note(key, Health::record_full);
            }
        }
    }

    async fn report(&self, key: EndpointKey, address: SocketAddr) -> Result<EngineReport, String> {
        let lease = self.shared.pool.acquire(key, address, false).await;
        let Lease { mut sender, kept } = lease.map_err(|error| error.to_string())?;
        if !kept {
            self.shared.metrics.connections.inc();
        }
        let request = Request::get(self.shared.protocol.report_path())
            .header(http::header::HOST, address.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|error| error.to_string())?;
        let (_status, body) = tcp::exchange(&mut sender, request, REPORT_BYTES)
            .await
            .map_err(|error| error.to_string())?;
        self.shared.keep(key, sender, None);
        self.shared.protocol.parse_report(&body)
    }

    /// The side that a model call belongs to.
    pub(crate) fn side(&self) -> EndpointGroup {
        EndpointGroup::of(self.task.route.objective)
    }

    /// What a model call asks of its engine.
    pub(crate) fn load(&self, choice: Placement) -> Option<Load> {
        let prompt = self.task.call.prompt.as_ref()?;
        Some(Load {
            side: self.side(),
            tokens: prompt.uncached_tokens(
                choice.cache_source.is_some() || choice.reason == PlacementReason::Session,
            ),
            expected: choice.expected,
            objective: self.task.route.objective,
        })
    }
}

/// The name of a reason in logs.
pub(crate) const fn reason_name(reason: PlacementReason) -> &'static str {
    match reason {
        PlacementReason::Session => "session",
        PlacementReason::Spill => "spill",
        PlacementReason::LeastLoaded => "least",
        PlacementReason::Late => "late",
        PlacementReason::AllEjected => "resting",
    }
}
