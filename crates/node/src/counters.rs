//! Metrics of the process, shared by all threads.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// Bucket bounds of the histogram of times to the first output.
const FIRST_OUTPUT_SECONDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 10.0, 60.0,
];

/// Label of a time series: class of the calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ClassLabel {
    pub(crate) class: String,
}

/// Label of a time series: error code.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CodeLabel {
    pub(crate) code: String,
}

/// Label of a time series: outcome of the orders.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OrderLabel {
    pub(crate) end: &'static str,
}

/// All metrics of a node.
#[derive(Debug)]
pub(crate) struct Counters {
    pub(crate) open: Gauge,
    pub(crate) running: Gauge,
    pub(crate) connections: Gauge,
    pub(crate) generation: Gauge,
    pub(crate) members: Gauge,
    pub(crate) received: Family<ClassLabel, Counter>,
    pub(crate) answered: Family<ClassLabel, Counter>,
    pub(crate) first_output: Family<ClassLabel, Histogram>,
    pub(crate) errors: Family<CodeLabel, Counter>,
    pub(crate) cancelled: Counter,
    pub(crate) dispatches: Counter,
    pub(crate) tokens: Counter,
    pub(crate) late_ends: Counter,
    pub(crate) cancels_unanswered: Counter,
    pub(crate) callers_stalled: Counter,
    pub(crate) connections_refused: Counter,
    pub(crate) accept_errors: Counter,
    pub(crate) missing_reports: Counter,
    pub(crate) peer_drops: Counter,
    pub(crate) platform_calls: Counter,
    pub(crate) lease_held: Gauge,
    pub(crate) orders: Family<OrderLabel, Counter>,
}

impl Default for Counters {
    fn default() -> Self {
        let histogram = || Histogram::new(FIRST_OUTPUT_SECONDS);
        Self {
            first_output: Family::new_with_constructor(histogram),
            open: Gauge::default(),
            running: Gauge::default(),
            connections: Gauge::default(),
            generation: Gauge::default(),
            members: Gauge::default(),
            received: Family::default(),
            answered: Family::default(),
            errors: Family::default(),
            cancelled: Counter::default(),
            dispatches: Counter::default(),
            tokens: Counter::default(),
            late_ends: Counter::default(),
            cancels_unanswered: Counter::default(),
            callers_stalled: Counter::default(),
            connections_refused: Counter::default(),
            accept_errors: Counter::default(),
            missing_reports: Counter::default(),
            peer_drops: Counter::default(),
            platform_calls: Counter::default(),
            lease_held: Gauge::default(),
            orders: Family::default(),
        }
    }
}

impl Counters {
    /// Registry with all metrics, for the metrics port.
    pub(crate) fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("poplarswitch");
        self.register_gauges(&mut registry);
        self.register_calls(&mut registry);
        self.register_faults(&mut registry);
        self.register_orders(&mut registry);
        registry
    }

    fn register_orders(&self, registry: &mut Registry) {
        registry.register(
            "lease_held",
            "Whether this VM holds the lease for orders to engines",
            self.lease_held.clone(),
        );
        registry.register(
            "orders",
            "Orders to engines, by how the call ended",
            self.orders.clone(),
        );
    }

    fn register_gauges(&self, registry: &mut Registry) {
        registry.register("calls_open", "Calls that wait or run", self.open.clone());
        registry.register("calls_running", "Calls that run", self.running.clone());
        registry.register(
            "connections",
            "Callers' connections",
            self.connections.clone(),
        );
        registry.register(
            "generation",
            "Generation of the set in force",
            self.generation.clone(),
        );
        registry.register("members", "Other VMs alive", self.members.clone());
    }

    fn register_calls(&self, registry: &mut Registry) {
        registry.register("calls_received", "Calls received", self.received.clone());
        registry.register(
            "calls_answered",
            "Calls with a whole answer",
            self.answered.clone(),
        );
        registry.register(
            "first_output_seconds",
            "Time from arrival to the first output",
            self.first_output.clone(),
        );
        registry.register("errors", "Calls without an answer", self.errors.clone());
        registry.register(
            "calls_cancelled",
            "Calls whose caller left",
            self.cancelled.clone(),
        );
        registry.register(
            "dispatches",
            "Calls sent to endpoints",
            self.dispatches.clone(),
        );
        registry.register("tokens", "Tokens passed on", self.tokens.clone());
        registry.register(
            "late_ends",
            "Ends of runs whose call was over",
            self.late_ends.clone(),
        );
    }

    fn register_faults(&self, registry: &mut Registry) {
        registry.register(
            "cancels_unanswered",
            "Cancellations that an engine did not confirm",
            self.cancels_unanswered.clone(),
        );
        registry.register(
            "callers_stalled",
            "Callers that did not read their answer",
            self.callers_stalled.clone(),
        );
        registry.register(
            "connections_refused",
            "Connections beyond the limit",
            self.connections_refused.clone(),
        );
        registry.register(
            "accept_errors",
            "Connections that could not be accepted",
            self.accept_errors.clone(),
        );
        registry.register(
            "load_reports_missing",
            "Load reports that endpoints did not give",
            self.missing_reports.clone(),
        );
        registry.register(
            "peer_messages_dropped",
            "Messages to other VMs that found the queue full",
            self.peer_drops.clone(),
        );
        registry.register(
            "platform_calls",
            "Requests to the platform",
            self.platform_calls.clone(),
        );
    }
}
