//! What an engine would do with one more call.
//!
//! Engines read prompts one after another between the tokens of their batch, so the time to the
//! first event of a new call is what waits before it, plus its own prompt, plus the wait for a
//! place if the batch is full. Reports are some hundred milliseconds old when they arrive; the
//! calls that this VM has sent since are added.

use core::time::Duration;
use poplarswitch_entity::Time;

/// Prompt tokens that an engine reads in a millisecond; from the operators' sheets.
const TOKENS_READ_MS: f64 = 81.9;
/// Milliseconds of a step, in which each call of a batch makes a token; from the sheets.
const STEP_MS: f64 = 3.74;
/// Milliseconds that each call of a batch adds to a step; from the sheets.
const STEP_CALL_MS: f64 = 0.0807;
/// Time from the end of the prompt to the first event; from the operators' sheets.
const FIRST_EVENT: Duration = Duration::from_millis(41);
/// Age up to which a report says how loaded an engine is.
const REPORT_FRESH: Duration = Duration::from_millis(250);
/// Weight of the newest call in the usual times of calls; a VM sends a few calls a second.
const NEWEST_WEIGHT: f64 = 0.1;
/// Bounds of the correction of predictions.
const CORRECTION: (f64, f64) = (0.6, 3.0);

/// Milliseconds of an engine that a call takes: its prompt is read alone, its answer made in a
/// full batch of `slots`.
pub fn engine_work_ms(unread: u64, tokens: u32, slots: u32) -> f64 {
    let token = STEP_MS / f64::from(slots.max(1)) + STEP_CALL_MS;
    unread as f64 / TOKENS_READ_MS + f64::from(tokens) * token
}

/// What an engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Calls that have had no token yet.
    pub waiting: u32,
    /// Calls whose answers are being made.
    pub running: u32,
}

/// What is known of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineLoad {
    report: Option<(Time, EngineReport)>,
    new_calls: u32,
    new_tokens: u64,
}

/// The usual times of calls on one side.
#[derive(Clone, Copy, Debug)]
pub struct CallAverages {
    /// Milliseconds that an engine reads a prompt.
    pub prefill_ms: f64,
    /// Milliseconds that a call holds a place.
    pub slot_ms: f64,
    /// First events against what was predicted.
    pub correction: f64,
}

impl Default for CallAverages {
    fn default() -> Self {
        Self {
            prefill_ms: 40.0,
            slot_ms: 2_500.0,
            correction: 1.0,
        }
    }
}

impl CallAverages {
    /// A call went to an engine that must read a number of tokens.
    pub fn record_prefill(&mut self, tokens: u64) {
        self.prefill_ms += (tokens as f64 / TOKENS_READ_MS - self.prefill_ms) * NEWEST_WEIGHT;
    }

    /// The first event of a call came after a time, against the one that was predicted.
    pub fn record_first_event(&mut self, predicted: Duration, came: Duration) {
        let (least, most) = CORRECTION;
        let ratio = came.as_secs_f64() / predicted.as_secs_f64().max(0.001) * self.correction;
        self.correction += (ratio.clamp(least, most) - self.correction) * NEWEST_WEIGHT;
    }

    /// A call has left its engine.
    pub fn record_slot_time(&mut self, held: Duration) {
        self.slot_ms += (held.as_secs_f64() * 1_000.0 - self.slot_ms) * NEWEST_WEIGHT;
    }
}

impl EngineLoad {
    /// Takes a report.
    pub fn record_report(&mut self, now: Time, report: EngineReport) {
        *self = Self {
            report: Some((now, report)),
            new_calls: 0,
            new_tokens: 0,
        };
    }

    /// A call of this VM goes to the engine.
    pub fn record_dispatch(&mut self, tokens: u64) {
        self.new_calls += 1;
        self.new_tokens += tokens;
    }

    /// The report, if it is not too old.
    pub fn fresh_report(&self, now: Time) -> Option<EngineReport> {
        let (at, report) = self.report?;
        (now.since(at) <= REPORT_FRESH).then_some(report)
    }

    /// The time to the first event of a call with a number of tokens to read; nothing without a
    /// fresh report.
    pub fn predict_first_event(
        &self,
        now: Time,
        slots: u32,
        tokens: u64,
        usual: &CallAverages,
    ) -> Option<Duration> {
        let report = self.fresh_report(now)?;
        let reading = f64::from(report.waiting) * usual.prefill_ms
            + (self.new_tokens + tokens) as f64 / TOKENS_READ_MS;
        let over = f64::from((self.open_calls(report) + 1).saturating_sub(slots));
        let places = over * usual.slot_ms / f64::from(slots.max(1));
        let millis = (reading.max(places) + reading.min(places) / 2.0) * usual.correction;
        Some(FIRST_EVENT + Duration::from_secs_f64(millis / 1_000.0))
    }

    /// Share of the places that are taken.
    pub fn utilisation(&self, now: Time, slots: u32) -> Option<f64> {
        let report = self.fresh_report(now)?;
        Some(f64::from(self.open_calls(report)) / f64::from(slots.max(1)))
    }

    /// Calls that it holds: those of its report, and those of this VM since.
    const fn open_calls(&self, report: EngineReport) -> u32 {
        report.running + report.waiting + self.new_calls
    }
}
