//! The status document for operators: the duties, the engines and the speed of the endpoints, as this
//! VM knows them.

use crate::{
    clock,
    duty_view::{Desired, HolderStatus},
    queries, scaling,
    shared::{Core, Shared},
};
use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use poplarswitch_entity::ServiceName;
use poplarswitch_scaling::{EngineKind, LineKey, Present};
use serde::Serialize;
use std::collections::BTreeMap;

/// Path of the document on the metrics address.
pub(crate) const STATUS_PATH: &str = "/status";
/// Maximum number of endpoints whose speed is shown.
const MAX_RATES: usize = 10;

/// The status of this VM.
#[derive(Debug, Serialize)]
struct StatusDocument<'a> {
    vm: &'a str,
    /// Whether this VM holds the lease of the duties.
    holds_duties: bool,
    /// The last holder of which this VM knows.
    holder: Option<HolderStatus>,
    /// Last window of usage that this VM found or wrote in the platform's records.
    window_recorded: Option<u64>,
    /// Last window of usage that this VM reported.
    window_reported: Option<u64>,
    engines: Vec<LineStatus>,
    rates: RateStatus,
    /// Endpoints for relaxed calls.
    relaxed_endpoints: usize,
    memory_refusals: u64,
    retries_denied: u64,
    engine_orders_failed: u64,
    usage_reports_failed: u64,
}

/// Engines of one kind in one data centre.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub(crate) struct LineStatus {
    service: String,
    data_centre: String,
    kind: EngineKind,
    /// Number that this VM has ordered as the holder; none if it isn't the holder.
    desired: Option<u32>,
    ready: u32,
    draining: u32,
}

/// Learned speed of the endpoints.
#[derive(Debug, PartialEq, Serialize)]
pub(crate) struct RateStatus {
    /// Speed of the fastest endpoint in percent of the slowest one's.
    pub(crate) spread_percent: u64,
    /// The slowest endpoints, slowest first.
    pub(crate) slowest: Vec<EndpointRate>,
}

/// Learned speed of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct EndpointRate {
    pub(crate) endpoint: String,
    pub(crate) data_centre: String,
    /// Speed relative to the mean of the service.
    pub(crate) rate: f64,
}

impl RateStatus {
    pub(crate) fn new(mut rates: Vec<EndpointRate>) -> Self {
        rates.sort_by(|a, b| a.rate.total_cmp(&b.rate));
        let slowest = rates.first().map_or(1.0, |one| one.rate);
        let fastest = rates.last().map_or(1.0, |one| one.rate);
        rates.truncate(MAX_RATES);
        Self {
            spread_percent: (fastest / slowest * 100.0).round() as u64,
            slowest: rates,
        }
    }
}

impl Core {
    fn endpoint_rates(&self) -> Vec<EndpointRate> {
        let endpoints = self.endpoints.iter();
        let rates = endpoints.map(|(_, endpoint)| EndpointRate {
            endpoint: endpoint.entry.name.as_str().to_owned(),
            data_centre: endpoint.entry.data_centre.as_str().to_owned(),
            rate: endpoint.rate,
        });
        rates.collect()
    }
}

/// The lines of a service that are there or that were ordered.
pub(crate) fn lines(
    service: &ServiceName,
    present: &BTreeMap<LineKey, Present>,
    desired: Option<&Desired>,
) -> Vec<LineStatus> {
    let mut lines: BTreeMap<&LineKey, (Present, Option<u32>)> = BTreeMap::new();
    for (key, present) in present {
        lines.insert(key, (*present, None));
    }
    for (key, desired) in desired.into_iter().flatten() {
        lines.entry(key).or_default().1 = Some(*desired);
    }
    let lines = lines.into_iter();
    let lines = lines.map(|((data_centre, kind), (present, desired))| LineStatus {
        service: service.as_str().to_owned(),
        data_centre: data_centre.as_str().to_owned(),
        kind: *kind,
        desired,
        ready: present.ready,
        draining: present.draining,
    });
    lines.collect()
}

/// Response with the status of this VM.
pub(crate) fn response(shared: &Shared) -> Response<Full<Bytes>> {
    let seen = shared.duty_view.seen();
    let tenure = *shared.tenure.borrow();
    let holds_duties = tenure.is_some_and(|tenure| tenure.expires_at > clock::now());
    let services = scaling::scaled_services(shared);
    let core = shared.core();
    let engines = services.iter().flat_map(|(service, _)| {
        let desired = seen.desired.get(service).filter(|_| holds_duties);
        lines(service, &core.present_engines(service), desired)
    });
    let engines = engines.collect();
    let rates = core.endpoint_rates();
    let relaxed_endpoints = core.groups.relaxed_count();
    drop(core);
    let metrics = &shared.metrics;
    let document = StatusDocument {
        vm: shared.settings.vm.as_str(),
        holds_duties,
        holder: seen.holder,
        window_recorded: seen.recorded,
        window_reported: seen.reported,
        engines,
        rates: RateStatus::new(rates),
        relaxed_endpoints,
        memory_refusals: metrics.memory_refusals.get(),
        retries_denied: metrics.retries_denied.get(),
        engine_orders_failed: metrics.engine_orders_failed.get(),
        usage_reports_failed: metrics.reports_failed.get(),
    };
    match serde_json::to_vec(&document) {
        Ok(body) => queries::json(body.into()),
        Err(error) => {
            tracing::warn!(event = "unwritable", %error, "status");
            queries::empty(http::StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
