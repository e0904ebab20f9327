//! Load reports that are delayed by a lag.

use core::time::Duration;
use serde::Serialize;
use std::{collections::VecDeque, time::Instant};

/// Number of samples that are kept for delayed reports.
const MAX_SAMPLES: usize = 4_096;

/// The load of an engine at the time of a sample.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct LoadReport {
    /// Number of calls in the batch.
    pub(super) running: u32,
    /// Number of calls in the queue.
    pub(super) queued: u32,
    /// Age of the report, in milliseconds.
    pub(super) age_ms: u64,
}

#[derive(Debug)]
struct Sample {
    at: Instant,
    load: LoadReport,
}

/// Samples of the load, the oldest first. A sample is taken whenever a report is read.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<Sample>,
}

impl LoadHistory {
    /// Adds a sample, and returns the newest one that is at least as old as the lag. If there is
    /// none, returns a report of no load.
    pub(super) fn record_and_read(&mut self, load: LoadReport, lag: Duration) -> LoadReport {
        let now = Instant::now();
        self.samples.push_back(Sample { at: now, load });
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
        let old_enough = |sample: &&Sample| now.duration_since(sample.at) >= lag;
        let found = self.samples.iter().rev().find(old_enough);
        found.map_or(LoadReport::default(), |sample| LoadReport {
            age_ms: now.duration_since(sample.at).as_millis() as u64,
            ..sample.load
        })
    }
}
