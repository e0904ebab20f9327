//! Orders to load a model, and what is loaded.

use super::EngineSpec;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use std::time::Instant;

/// The state that an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Desired {
    /// The lease version of the issuer.
    pub(super) fencing: u64,
    /// The model.
    pub(super) model: String,
    /// Its version.
    pub(super) version: String,
    /// Its adapters.
    #[serde(default)]
    pub(super) adapters: Vec<String>,
}

/// What an engine says of its state.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Held {
    /// The last state that was asked for.
    #[serde(flatten)]
    pub(super) desired: Desired,
    /// Whether it is loaded.
    pub(super) ready: bool,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Taken {
    /// It took effect.
    Applied,
    /// Its fencing number is old.
    FencedOff,
}

/// The time in which an engine loaded and was not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSpan {
    /// When the order took effect.
    pub started: Instant,
    /// When it was ready again.
    pub ready: Instant,
}

/// The model that an engine holds or loads.
#[derive(Debug)]
pub(super) struct Loaded {
    fenced: bool,
    load_time: Duration,
    desired: Desired,
    ready_at: Instant,
    spans: Vec<LoadSpan>,
}

impl Loaded {
    /// Holds the model of the engine's properties.
    pub(super) fn new(spec: &EngineSpec) -> Self {
        Self {
            fenced: spec.fenced,
            load_time: spec.load_time,
            desired: Desired {
                fencing: 0,
                model: spec.model.clone(),
                version: spec.version.clone(),
                adapters: Vec::new(),
            },
            ready_at: Instant::now(),
            spans: Vec::new(),
        }
    }

    /// Takes an order.
    pub(super) fn order(&mut self, desired: Desired) -> Taken {
        if self.fenced && desired.fencing < self.desired.fencing {
            return Taken::FencedOff;
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
        Taken::Applied
    }

    /// What it holds.
    pub(super) fn held(&self) -> Held {
        Held {
            desired: self.desired.clone(),
            ready: self.is_ready(),
        }
    }

    /// All loads so far.
    pub(super) fn spans(&self) -> Vec<LoadSpan> {
        self.spans.clone()
    }

    /// Whether it can serve a model.
    pub(super) fn serves(&self, model: &str) -> bool {
        self.is_ready() && self.desired.model == model
    }

    fn is_ready(&self) -> bool {
        Instant::now() >= self.ready_at
    }
}
