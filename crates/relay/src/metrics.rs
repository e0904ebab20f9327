//! Counters and latency histograms.

use bytes::Bytes;
use core::fmt;
use http::{Response, header};
use http_body_util::Full;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, histogram::Histogram},
    registry::Registry,
};

/// Bounds of the buckets for times, in seconds.
const SECONDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 15.0,
];

/// A route and how its calls ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct EndLabel {
    route: String,
    outcome: &'static str,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RouteLabel {
    route: String,
}

type Times = Family<RouteLabel, Histogram, fn() -> Histogram>;

/// All metrics of the process.
pub(crate) struct Metrics {
    registry: Registry,
    calls: Family<EndLabel, Counter>,
    first: Times,
    lasted: Times,
    pub(crate) connections: Counter,
    pub(crate) probes: Counter,
    pub(crate) budget_spent: Counter,
    pub(crate) platform_calls: Counter,
    pub(crate) platform_failures: Counter,
    pub(crate) bad_datagrams: Counter,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let times: fn() -> Histogram = || Histogram::new(SECONDS);
        let mut metrics = Self {
            registry: Registry::with_prefix("relay"),
            calls: Family::default(),
            first: Times::new_with_constructor(times),
            lasted: Times::new_with_constructor(times),
            connections: Counter::default(),
            probes: Counter::default(),
            budget_spent: Counter::default(),
            platform_calls: Counter::default(),
            platform_failures: Counter::default(),
            bad_datagrams: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("calls", "Calls that ended", self.calls.clone());
        registry.register(
            "first_seconds",
            "Time to the first byte",
            self.first.clone(),
        );
        registry.register("call_seconds", "Time of a call", self.lasted.clone());
        for (name, help, counter) in [
            (
                "endpoint_connections",
                "New connections to endpoints",
                &self.connections,
            ),
            ("reports", "Reports asked of engines", &self.probes),
            (
                "repeats_unpaid",
                "Repeats that the budget forbade",
                &self.budget_spent,
            ),
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
                "bad_datagrams",
                "Datagrams that aren't beats",
                &self.bad_datagrams,
            ),
        ] {
            registry.register(name, help, counter.clone());
        }
    }

    /// The first byte of an answer went out.
    pub(crate) fn first(&self, route: &str, seconds: f64) {
        let route = route.to_owned();
        self.first
            .get_or_create(&RouteLabel { route })
            .observe(seconds);
    }

    /// A call ended.
    pub(crate) fn end(&self, route: &str, outcome: &'static str, seconds: f64) {
        let route = route.to_owned();
        self.lasted
            .get_or_create(&RouteLabel {
                route: route.clone(),
            })
            .observe(seconds);
        self.calls.get_or_create(&EndLabel { route, outcome }).inc();
    }

    /// All metrics as text.
    pub(crate) fn response(&self) -> Response<Full<Bytes>> {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            tracing::warn!(event = "unwritable", %error, "metrics");
        }
        let mut response = Response::new(Full::new(text.into()));
        let kind = header::HeaderValue::from_static(
            "application/openmetrics-text; version=1.0.0; charset=utf-8",
        );
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    }
}
