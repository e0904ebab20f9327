//! The log line of a call.
//!
//! It contains everything that determined the result of the call: the route, the version of the
//! configuration and the time since its last confirmation, the endpoint and why it was selected,
//! the attempts, and the outcome. It is written when the record is dropped, so that calls whose
//! caller closed the connection are logged too.

use crate::{clock, shared::Shared};
use core::time::Duration;
use poplarswitch_entity::Time;
use poplarswitch_ingress::{Continuation, Framing, RequestId, SoftwareVersion};
use poplarswitch_room::StartLimits;
use std::sync::Arc;

/// Data about a call for its log line and its metrics.
#[derive(Debug)]
pub(crate) struct CallRecord {
    shared: Arc<Shared>,
    arrived: Time,
    pub(crate) call_id: Box<str>,
    pub(crate) route: Box<str>,
    pub(crate) version: u64,
    pub(crate) request: Option<RequestId>,
    /// Identifiers of the shared sections of the prompt.
    pub(crate) sections: String,
    pub(crate) endpoint: Box<str>,
    pub(crate) reason: &'static str,
    /// Software version of the endpoint.
    pub(crate) software: Option<SoftwareVersion>,
    /// The stream that the call continues.
    pub(crate) continues: Option<Continuation>,
    /// Predicted time to the first event, if there is a prediction.
    pub(crate) expected: Option<Duration>,
    /// Predicted starts that a refused call would have accepted.
    pub(crate) limits: Option<StartLimits>,
    /// Whether the caller of a refused call had been refused before.
    pub(crate) returned: bool,
    pub(crate) priority: u8,
    /// Time for which the caller waits.
    pub(crate) deadline: Option<Duration>,
    /// Time after which a refused caller should retry.
    pub(crate) retry_after: Option<Duration>,
    pub(crate) attempts: u32,
    /// Number of endpoints whose limits kept the call back.
    pub(crate) denied: u32,
    pub(crate) resumed: u32,
    pub(crate) status: u16,
    /// Whether an endpoint has begun to run the call.
    pub(crate) begun: bool,
    pub(crate) first_byte: Option<Time>,
    /// Framing of the last response from an endpoint.
    pub(crate) framing: Option<Framing>,
    /// Bytes of the response's body that were received from endpoints.
    pub(crate) received: u64,
    /// Bytes after the last complete event when the last response of a stream ended.
    pub(crate) partial: Option<usize>,
    pub(crate) outcome: &'static str,
    pub(crate) cause: String,
}

impl CallRecord {
    pub(crate) fn new(shared: Arc<Shared>, arrived: Time) -> Self {
        let version = shared.table.load().version();
        Self {
            shared,
            arrived,
            call_id: "".into(),
            route: "".into(),
            version,
            request: None,
            sections: String::new(),
            endpoint: "".into(),
            reason: "",
            software: None,
            continues: None,
            expected: None,
            limits: None,
            returned: false,
            priority: 0,
            deadline: None,
            retry_after: None,
            attempts: 0,
            denied: 0,
            resumed: 0,
            status: 0,
            begun: false,
            first_byte: None,
            framing: None,
            received: 0,
            partial: None,
            outcome: "caller_left",
            cause: String::new(),
        }
    }

    /// When the call arrived.
    pub(crate) const fn arrived(&self) -> Time {
        self.arrived
    }

    /// Records that the first byte of the response is forwarded.
    pub(crate) fn record_first_byte(&mut self, now: Time) {
        if self.first_byte.is_none() {
            self.first_byte = Some(now);
            let elapsed = now.since(self.arrived).as_secs_f64();
            self.shared.metrics.record_first_byte(&self.route, elapsed);
        }
    }

    /// Adds why nothing else was tried to the cause of a failure.
    pub(crate) fn add_cause(&mut self, obstacle: &str) {
        if !self.cause.is_empty() {
            self.cause.push_str("; ");
        }
        self.cause.push_str(obstacle);
    }

    /// Records the result of the call.
    pub(crate) fn set_outcome(&mut self, outcome: &'static str, status: u16) {
        self.outcome = outcome;
        self.status = status;
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        let now = clock::now();
        let duration = now.since(self.arrived);
        self.shared
            .metrics
            .record_call(&self.route, self.outcome, duration.as_secs_f64());
        let config_age = {
            let mut core = self.shared.core();
            if self.first_byte.is_some() {
                core.run_times.record(now, &self.route, duration);
            }
            core.freshness.age(now)
        };
        let continues = self.continues.as_ref();
        tracing::info!(
            event = self.outcome,
            id = &*self.call_id,
            status = self.status,
            route = &*self.route,
            version = self.version,
            request = self.request.map(|RequestId(id)| format!("{id:x}")),
            proof_ms = config_age.map(|age| age.as_millis() as u64),
            endpoint = &*self.endpoint,
            reason = self.reason,
            software = self.software.as_ref().map(SoftwareVersion::as_str),
            continues = continues.and_then(|stream| stream.first_attempt.as_deref()),
            after_event = continues.map(|stream| &*stream.last_event),
            expected_ms = self.expected.map(|expected| expected.as_millis() as u64),
            accepts_ms = self.limits.map(|limits| limits.latest().as_millis() as u64),
            returned = self.limits.map(|_| self.returned),
            priority = self.priority,
            deadline_ms = self.deadline.map(|deadline| deadline.as_millis() as u64),
            retry_ms = self
                .retry_after
                .map(|retry_after| retry_after.as_millis() as u64),
            attempts = self.attempts,
            denied = self.denied,
            resumed = self.resumed,
            first_ms = self
                .first_byte
                .map(|first_byte| first_byte.since(self.arrived).as_millis() as u64),
            ms = duration.as_millis() as u64,
            framing = self.framing.map(Framing::as_str),
            bytes = self.received,
            sections = self.sections,
            partial_bytes = self.partial.map(|bytes| bytes as u64),
            cause = self.cause,
            "call"
        );
    }
}
