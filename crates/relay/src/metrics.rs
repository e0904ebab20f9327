//! Counters and latency histograms.

use bytes::Bytes;
use core::fmt;
use http::{Response, header};
use http_body_util::Full;
use poplarswitch_entity::ServiceName;
use poplarswitch_scaling::{EngineKind, LineKey, Present};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, PoisonError},
};

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS_SECONDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 15.0,
];

/// Labels of completed calls: the route and the outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabel {
    route: String,
    outcome: &'static str,
}

/// Label of streams that callers take up: what decided on their versions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OriginLabel {
    pub(crate) origin: &'static str,
}

/// Label of trials of held subjects: how they ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TrialLabel {
    outcome: &'static str,
}

/// Labels of calls refused for lack of room: the rank, and whether the caller was refused before.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RefusalLabel {
    rank: u32,
    returned: &'static str,
}

/// Label of histograms: the route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RouteLabel {
    route: String,
}

/// Label of a service's engines.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabel {
    service: String,
}

/// Labels of engines: the service, the data centre, and 1 if they may be reclaimed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, EncodeLabelSet)]
pub(crate) struct EngineLabel {
    service: String,
    data_centre: String,
    spot: u8,
}

type Histograms = Family<RouteLabel, Histogram, fn() -> Histogram>;

/// All metrics of the process.
pub(crate) struct Metrics {
    registry: Registry,
    calls: Family<OutcomeLabel, Counter>,
    pub(crate) take_ups: Family<OriginLabel, Counter>,
    trials: Family<TrialLabel, Counter>,
    first_byte: Histograms,
    duration: Histograms,
    pub(crate) connections: Counter,
    pub(crate) connects_failed: Counter,
    pub(crate) calls_forwarded: Counter,
    pub(crate) probes: Counter,
    pub(crate) late_reports: Counter,
    pub(crate) retries_denied: Counter,
    pub(crate) memory_refusals: Counter,
    pub(crate) platform_calls: Counter,
    pub(crate) platform_failures: Counter,
    pub(crate) lapses: Counter,
    pub(crate) bad_datagrams: Counter,
    pub(crate) crashes: Counter,
    pub(crate) subjects_held: Counter,
    pub(crate) calls_held: Counter,
    pub(crate) limited_sends: Counter,
    pub(crate) tokens_denied: Counter,
    pub(crate) brittle_rejections: Counter,
    pub(crate) pauses: Counter,
    pub(crate) reports_sent: Counter,
    pub(crate) reports_failed: Counter,
    pub(crate) windows_unreported: Counter,
    refusals: Family<RefusalLabel, Counter>,
    pub(crate) vms_alive: Gauge,
    pub(crate) rate_spread: Gauge,
    pub(crate) vms_unheard: Gauge,
    pub(crate) engine_orders: Counter,
    pub(crate) engine_orders_failed: Counter,
    engines_desired: Family<ServiceLabel, Gauge>,
    engines_present: Family<EngineLabel, Gauge>,
    /// Labels of the engines that have been seen.
    engines_seen: Mutex<BTreeSet<EngineLabel>>,
    pub(crate) tenure: Gauge,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let buckets: fn() -> Histogram = || Histogram::new(BUCKETS_SECONDS);
        let mut metrics = Self {
            registry: Registry::with_prefix("relay"),
            calls: Family::default(),
            take_ups: Family::default(),
            trials: Family::default(),
            first_byte: Histograms::new_with_constructor(buckets),
            duration: Histograms::new_with_constructor(buckets),
            connections: Counter::default(),
            connects_failed: Counter::default(),
            calls_forwarded: Counter::default(),
            probes: Counter::default(),
            late_reports: Counter::default(),
            retries_denied: Counter::default(),
            memory_refusals: Counter::default(),
            platform_calls: Counter::default(),
            platform_failures: Counter::default(),
            lapses: Counter::default(),
            bad_datagrams: Counter::default(),
            crashes: Counter::default(),
            subjects_held: Counter::default(),
            calls_held: Counter::default(),
            limited_sends: Counter::default(),
            tokens_denied: Counter::default(),
            brittle_rejections: Counter::default(),
            pauses: Counter::default(),
            reports_sent: Counter::default(),
            reports_failed: Counter::default(),
            windows_unreported: Counter::default(),
            refusals: Family::default(),
            vms_alive: Gauge::default(),
            rate_spread: Gauge::default(),
            vms_unheard: Gauge::default(),
            engine_orders: Counter::default(),
            engine_orders_failed: Counter::default(),
            engines_desired: Family::default(),
            engines_present: Family::default(),
            engines_seen: Mutex::default(),
            tenure: Gauge::default(),
        };
        metrics.register();
        metrics.register_engines();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("calls", "Calls that ended", self.calls.clone());
        registry.register(
            "take_ups",
            "Streams that callers took up, by what decided on their versions",
            self.take_ups.clone(),
        );
        registry.register(
            "trials",
            "Trials of held subjects, by how they ended",
            self.trials.clone(),
        );
        registry.register(
            "refusals",
            "Calls refused because no engine could start them soon enough",
            self.refusals.clone(),
        );
        registry.register(
            "first_seconds",
            "Time to the first byte",
            self.first_byte.clone(),
        );
        registry.register("call_seconds", "Time of a call", self.duration.clone());
        for (name, help, counter) in [
            (
                "endpoint_connections",
                "New connections to endpoints",
                &self.connections,
            ),
            (
                "endpoint_connects_failed",
                "Connections to endpoints that could not be opened",
                &self.connects_failed,
            ),
            (
                "calls_forwarded",
                "Calls sent to other VMs because their service could not be reached",
                &self.calls_forwarded,
            ),
            ("reports", "Reports asked of engines", &self.probes),
            (
                "late_reports",
                "Reports of incarnations that came late or not at all",
                &self.late_reports,
            ),
            (
                "repeats_unpaid",
                "Repeats that the budget forbade",
                &self.retries_denied,
            ),
            (
                "memory_refusals",
                "Calls refused for lack of memory",
                &self.memory_refusals,
            ),
            (
                "bad_datagrams",
                "Datagrams that aren't beats",
                &self.bad_datagrams,
            ),
            (
                "endpoint_crashes",
                "Crashes of engines under calls of this VM",
                &self.crashes,
            ),
            (
                "limited_sends",
                "Requests to endpoints that name a limit",
                &self.limited_sends,
            ),
            (
                "tokens_denied",
                "Requests that a limit kept from an endpoint",
                &self.tokens_denied,
            ),
            (
                "brittle_rejections",
                "Calls that endpoints rejected that bear few rejections",
                &self.brittle_rejections,
            ),
            (
                "endpoint_pauses",
                "Responses by which an endpoint asked for a pause",
                &self.pauses,
            ),
            (
                "sections_held",
                "Requests and sections of prompts that were held",
                &self.subjects_held,
            ),
            (
                "calls_held",
                "Calls refused for a held request or section",
                &self.calls_held,
            ),
        ] {
            registry.register(name, help, counter.clone());
        }
        self.register_platform();
        self.register_gauges();
    }

    fn register_platform(&mut self) {
        for (name, help, counter) in [
            (
                "platform_calls",
                "Calls to the platform",
                &self.platform_calls,
            ),
            (
                "platform_failures",
                "Calls without an answer",
                &self.platform_failures,
            ),
            (
                "lapses",
                "Missing entries whose endpoints stayed in use, as they may only have lapsed",
                &self.lapses,
            ),
        ] {
            self.registry.register(name, help, counter.clone());
        }
    }

    fn register_gauges(&mut self) {
        for (name, help, gauge) in [
            ("vms_alive", "Other VMs that are alive", &self.vms_alive),
            (
                "rate_spread_percent",
                "Speed of the fastest endpoint in percent of the slowest one's",
                &self.rate_spread,
            ),
            (
                "vms_unheard",
                "Other VMs that are listed or known, and silent",
                &self.vms_unheard,
            ),
        ] {
            self.registry.register(name, help, gauge.clone());
        }
        self.register_duties();
    }

    fn register_duties(&mut self) {
        let registry = &mut self.registry;
        for (name, help, counter) in [
            (
                "usage_reports",
                "Reports of usage that were accepted",
                &self.reports_sent,
            ),
            (
                "usage_reports_failed",
                "Reports of usage without an accepting answer",
                &self.reports_failed,
            ),
            (
                "usage_windows_unreported",
                "Windows of usage that this VM failed to report as the holder",
                &self.windows_unreported,
            ),
        ] {
            registry.register(name, help, counter.clone());
        }
        let help = "Whether this VM holds the lease of the duties";
        registry.register("tenure", help, self.tenure.clone());
    }

    fn register_engines(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "engine_orders",
            "Orders of numbers of engines",
            self.engine_orders.clone(),
        );
        registry.register(
            "engine_orders_failed",
            "Orders of numbers of engines that weren't accepted or have no answer",
            self.engine_orders_failed.clone(),
        );
        registry.register(
            "engines_desired",
            "Engines that the load needs, as the holder of the duties sees it",
            self.engines_desired.clone(),
        );
        registry.register(
            "engines_present",
            "Engines that accept calls, as the holder of the duties sees them",
            self.engines_present.clone(),
        );
    }

    /// Records the engines of a service that the load needs and those that accept calls, as the holder
    /// of the duties sees them.
    pub(crate) fn set_engines(
        &self,
        service: &ServiceName,
        desired: u32,
        present: &BTreeMap<LineKey, Present>,
    ) {
        let service = service.as_str();
        let label = ServiceLabel {
            service: service.to_owned(),
        };
        let gauge = self.engines_desired.get_or_create(&label);
        gauge.set(i64::from(desired));
        let mut seen = self
            .engines_seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for label in seen.iter().filter(|label| label.service == service) {
            self.engines_present.get_or_create(label).set(0);
        }
        for ((data_centre, kind), present) in present {
            let label = EngineLabel {
                service: service.to_owned(),
                data_centre: data_centre.as_str().to_owned(),
                spot: u8::from(*kind == EngineKind::Spot),
            };
            let gauge = self.engines_present.get_or_create(&label);
            gauge.set(i64::from(present.ready));
            seen.insert(label);
        }
    }

    /// Removes what this VM recorded of engines as the holder of the duties.
    pub(crate) fn clear_engines(&self) {
        self.engines_desired.clear();
        self.engines_present.clear();
    }

    /// Records the time to the first byte of a response.
    pub(crate) fn record_first_byte(&self, route: &str, seconds: f64) {
        let route = route.to_owned();
        self.first_byte
            .get_or_create(&RouteLabel { route })
            .observe(seconds);
    }

    /// Records the outcome and the duration of a call.
    pub(crate) fn record_call(&self, route: &str, outcome: &'static str, seconds: f64) {
        let route = route.to_owned();
        self.duration
            .get_or_create(&RouteLabel {
                route: route.clone(),
            })
            .observe(seconds);
        self.calls
            .get_or_create(&OutcomeLabel { route, outcome })
            .inc();
    }

    /// Records that a call of a rank was refused because no engine could start it soon enough, and
    /// whether its caller had been refused before.
    pub(crate) fn record_refusal(&self, rank: u8, returned: bool) {
        let label = RefusalLabel {
            rank: rank.into(),
            returned: if returned { "yes" } else { "no" },
        };
        self.refusals.get_or_create(&label).inc();
    }

    /// Records how a trial of a held subject ended.
    pub(crate) fn record_trial(&self, outcome: &'static str) {
        self.trials.get_or_create(&TrialLabel { outcome }).inc();
    }

    /// Response with all metrics in the `OpenMetrics` text format.
    pub(crate) fn response(&self) -> Response<Full<Bytes>> {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            tracing::warn!(event = "unwritable", %error, "metrics");
        }
        let mut response = Response::new(Full::new(text.into()));
        let content_type = header::HeaderValue::from_static(
            "application/openmetrics-text; version=1.0.0; charset=utf-8",
        );
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        response
    }
}
