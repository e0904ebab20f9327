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
pub fn work(unread: u64, tokens: u32, slots: u32) -> f64 {
    let token = STEP_MS / f64::from(slots.max(1)) + STEP_CALL_MS;
    unread as f64 / TOKENS_READ_MS + f64::from(tokens) * token
}

/// What an engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Calls that have had no token yet.
    pub waiting: u32,
    /// Calls whose answers are being made.
    pub running: u32,
}

/// What is known of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Engine {
    report: Option<(Time, Report)>,
    sent: u32,
    sent_tokens: u64,
}

/// The usual times of calls on one side.
#[derive(Clone, Copy, Debug)]
pub struct Usual {
    /// Milliseconds that an engine reads a prompt.
    pub read: f64,
    /// Milliseconds that a call holds a place.
    pub held: f64,
    /// First events against what was predicted.
    pub correction: f64,
}

impl Default for Usual {
    fn default() -> Self {
        Self {
            read: 40.0,
            held: 2_500.0,
            correction: 1.0,
        }
    }
}

impl Usual {
    /// A call went to an engine that must read a number of tokens.
    pub fn note_read(&mut self, tokens: u64) {
        self.read += (tokens as f64 / TOKENS_READ_MS - self.read) * NEWEST_WEIGHT;
    }

    /// The first event of a call came after a time, against the one that was predicted.
    pub fn note_first(&mut self, predicted: Duration, came: Duration) {
        let (least, most) = CORRECTION;
        let ratio = came.as_secs_f64() / predicted.as_secs_f64().max(0.001) * self.correction;
        self.correction += (ratio.clamp(least, most) - self.correction) * NEWEST_WEIGHT;
    }

    /// A call has left its engine.
    pub fn note_held(&mut self, held: Duration) {
        self.held += (held.as_secs_f64() * 1_000.0 - self.held) * NEWEST_WEIGHT;
    }
}

impl Engine {
    /// Takes a report.
    pub fn note_report(&mut self, now: Time, report: Report) {
        *self = Self {
            report: Some((now, report)),
            sent: 0,
            sent_tokens: 0,
        };
    }

    /// A call of this VM goes to the engine.
    pub fn note_sent(&mut self, tokens: u64) {
        self.sent += 1;
        self.sent_tokens += tokens;
    }

    /// The report, if it is not too old.
    pub fn fresh(&self, now: Time) -> Option<Report> {
        let (at, report) = self.report?;
        (now.since(at) <= REPORT_FRESH).then_some(report)
    }

    /// The time to the first event of a call with a number of tokens to read; nothing without a
    /// fresh report.
    pub fn first_event(
        &self,
        now: Time,
        slots: u32,
        tokens: u64,
        usual: &Usual,
    ) -> Option<Duration> {
        let report = self.fresh(now)?;
        let reading = f64::from(report.waiting) * usual.read
            + (self.sent_tokens + tokens) as f64 / TOKENS_READ_MS;
        let over = f64::from((self.calls(report) + 1).saturating_sub(slots));
        let places = over * usual.held / f64::from(slots.max(1));
        let millis = (reading.max(places) + reading.min(places) / 2.0) * usual.correction;
        Some(FIRST_EVENT + Duration::from_secs_f64(millis / 1_000.0))
    }

    /// Share of the places that are taken.
    pub fn taken(&self, now: Time, slots: u32) -> Option<f64> {
        let report = self.fresh(now)?;
        Some(f64::from(self.calls(report)) / f64::from(slots.max(1)))
    }

    /// Calls that it holds: those of its report, and those of this VM since.
    const fn calls(&self, report: Report) -> u32 {
        report.running + report.waiting + self.sent
    }
}
