//! Load reports that lag behind the truth.

use core::time::Duration;
use serde::Serialize;
use std::{collections::VecDeque, time::Instant};

/// Samples kept for lagging readers.
const KEPT_SAMPLES: usize = 4_096;

/// What an engine says of its load.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Load {
    /// Calls in the batch.
    pub(super) running: u32,
    /// Calls before the batch.
    pub(super) queued: u32,
    /// Age of the figures, in milliseconds.
    pub(super) age_ms: u64,
}

#[derive(Debug)]
struct Sample {
    at: Instant,
    load: Load,
}

/// Samples of the load, oldest first.
#[derive(Debug, Default)]
pub(super) struct Reports {
    samples: VecDeque<Sample>,
}

impl Reports {
    /// Adds a sample and reads the one that is as old as the lag.
    pub(super) fn read(&mut self, load: Load, lag: Duration) -> Load {
        let now = Instant::now();
        self.samples.push_back(Sample { at: now, load });
        if self.samples.len() > KEPT_SAMPLES {
            self.samples.pop_front();
        }
        let old_enough = |sample: &&Sample| now.duration_since(sample.at) >= lag;
        let found = self.samples.iter().rev().find(old_enough);
        found.map_or(Load::default(), |sample| Load {
            age_ms: now.duration_since(sample.at).as_millis() as u64,
            ..sample.load
        })
    }
}
