//! The line that is written when a call ends.
//!
//! It names everything that decided the call: the route and the version of the configuration,
//! the age of its proof, the endpoint and why it was chosen, the attempts, and the outcome. It
//! is written when the record is dropped, so a caller that leaves is written down too.

use crate::{clock, shared::Shared};
use core::time::Duration;
use poplarswitch_entity::Time;
use std::sync::Arc;

/// What is known of a call so far.
#[derive(Debug)]
pub(crate) struct Record {
    shared: Arc<Shared>,
    arrived: Time,
    pub(crate) call: Box<str>,
    pub(crate) route: Box<str>,
    pub(crate) version: u64,
    pub(crate) endpoint: Box<str>,
    pub(crate) reason: &'static str,
    /// When the first event was expected, if an engine was asked.
    pub(crate) expected: Option<Duration>,
    pub(crate) priority: u8,
    /// How long the caller waits.
    pub(crate) deadline: Option<Duration>,
    /// When a refused caller was told to come back.
    pub(crate) retry: Option<Duration>,
    pub(crate) attempts: u32,
    pub(crate) resumed: u32,
    pub(crate) status: u16,
    pub(crate) first: Option<Time>,
    pub(crate) outcome: &'static str,
    pub(crate) cause: String,
}

impl Record {
    pub(crate) fn new(shared: Arc<Shared>, arrived: Time) -> Self {
        let version = shared.table.load().version();
        Self {
            shared,
            arrived,
            call: "".into(),
            route: "".into(),
            version,
            endpoint: "".into(),
            reason: "",
            expected: None,
            priority: 0,
            deadline: None,
            retry: None,
            attempts: 0,
            resumed: 0,
            status: 0,
            first: None,
            outcome: "caller_left",
            cause: String::new(),
        }
    }

    /// The first byte of the answer goes out.
    pub(crate) fn begin(&mut self, now: Time) {
        if self.first.is_none() {
            self.first = Some(now);
            let waited = now.since(self.arrived).as_secs_f64();
            self.shared.metrics.first(&self.route, waited);
        }
    }

    /// The call ends.
    pub(crate) fn end(&mut self, outcome: &'static str, status: u16) {
        self.outcome = outcome;
        self.status = status;
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        let now = clock::now();
        let lasted = now.since(self.arrived);
        self.shared
            .metrics
            .end(&self.route, self.outcome, lasted.as_secs_f64());
        let proof = self.shared.core().freshness.age(now);
        tracing::info!(
            event = self.outcome,
            id = &*self.call,
            status = self.status,
            route = &*self.route,
            version = self.version,
            proof_ms = proof.map(|age| age.as_millis() as u64),
            endpoint = &*self.endpoint,
            reason = self.reason,
            expected_ms = self.expected.map(|expected| expected.as_millis() as u64),
            priority = self.priority,
            deadline_ms = self.deadline.map(|left| left.as_millis() as u64),
            retry_ms = self.retry.map(|after| after.as_millis() as u64),
            attempts = self.attempts,
            resumed = self.resumed,
            first_ms = self
                .first
                .map(|first| first.since(self.arrived).as_millis() as u64),
            ms = lasted.as_millis() as u64,
            cause = self.cause,
            "call"
        );
    }
}
