//! The model that an engine serves, and the orders that change it.

use super::EngineSpec;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use std::time::Instant;

/// Desired state of an engine, the content of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct DesiredState {
    /// Fencing number: the version of the lease under which the order was sent.
    pub(super) fencing: u64,
    /// Name of the model.
    pub(super) model: String,
    /// Version of the model.
    pub(super) version: String,
    /// Adapters of the model.
    #[serde(default)]
    pub(super) adapters: Vec<String>,
}

/// State that an engine reports.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ReportedState {
    /// The last desired state that took effect.
    #[serde(flatten)]
    pub(super) desired: DesiredState,
    /// Whether the model is loaded.
    pub(super) ready: bool,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderResult {
    /// The order took effect.
    Applied,
    /// The order was refused, because its fencing number is lower than the last applied one.
    Fenced,
}

/// Period in which an engine loaded a model and accepted no calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSpan {
    /// When the order took effect.
    pub started: Instant,
    /// When the engine was ready again.
    pub ready: Instant,
}

/// The model that an engine serves or loads.
#[derive(Debug)]
pub(super) struct LoadedModel {
    fenced: bool,
    load_time: Duration,
    desired: DesiredState,
    ready_at: Instant,
    spans: Vec<LoadSpan>,
}

impl LoadedModel {
    /// Creates the state of an engine that has loaded its first model.
    pub(super) fn new(spec: &EngineSpec) -> Self {
        Self {
            fenced: spec.fenced,
            load_time: spec.load_time,
            desired: DesiredState {
                fencing: 0,
                model: spec.model.clone(),
                version: spec.version.clone(),
                adapters: Vec::new(),
            },
            ready_at: Instant::now(),
            spans: Vec::new(),
        }
    }

    /// Applies an order; starts a load if the model or its version changes.
    pub(super) fn apply(&mut self, desired: DesiredState) -> OrderResult {
        if self.fenced && desired.fencing < self.desired.fencing {
            return OrderResult::Fenced;
        }
        let same_model = desired.model == self.desired.model;
        if !same_model || desired.version != self.desired.version {
            let started = Instant::now();
            self.ready_at = started + self.load_time;
            self.spans.push(LoadSpan {
                started,
                ready: self.ready_at,
            });
        }
        self.desired = desired;
        OrderResult::Applied
    }

    /// The state that the engine reports.
    pub(super) fn report(&self) -> ReportedState {
        ReportedState {
            desired: self.desired.clone(),
            ready: self.is_ready(),
        }
    }

    /// Periods of all loads so far; the last one may not have ended.
    pub(super) fn load_spans(&self) -> Vec<LoadSpan> {
        self.spans.clone()
    }

    /// Whether the engine can serve a model now.
    pub(super) fn serves(&self, model: &str) -> bool {
        self.is_ready() && self.desired.model == model
    }

    fn is_ready(&self) -> bool {
        Instant::now() >= self.ready_at
    }
}
