//! Prediction of the time that an engine needs to start a new call.
//!
//! An engine prefills prompts one after another between the decoding steps of its batch. The time
//! to the first event of a new call therefore depends on the prefill time of the prompts before it
//! and of its own prompt, and on the wait for a slot if the batch is full; of these two, the
//! prediction adds half of the shorter one to the longer one. A report is some hundred milliseconds
//! old when it arrives, so the calls that this VM has sent since then are added to it.

use core::time::Duration;
use poplarswitch_entity::Time;

/// Prompt tokens that an engine prefills per millisecond, according to the operators' data sheets.
const PREFILL_TOKENS_PER_MS: f64 = 81.9;
/// Fixed time of a decoding step in milliseconds, according to the operators' data sheets; each
/// call of the batch produces one token per step.
const STEP_BASE_MS: f64 = 3.74;
/// Time that each call of the batch adds to a decoding step in milliseconds, according to the
/// operators' data sheets.
const STEP_CALL_MS: f64 = 0.0807;
/// Weight of the newest call in the sums from which the time of a decoding step is learned; the
/// lengths of single answers are often estimated wrong.
const STEP_WEIGHT: f64 = 0.03;
/// Output tokens per call that the data sheets' time of a step counts for until calls have ended.
const PRIOR_TOKENS: f64 = 100.0;
/// Lower and upper bound of the learned time of a decoding step, as ratios of the data sheets'.
const STEP_BOUNDS: (f64, f64) = (0.5, 2.0);
/// Time from the end of the prefill to the first event, according to the operators' data sheets.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(41);
/// Age up to which a report is used.
const MAX_REPORT_AGE: Duration = Duration::from_millis(250);
/// Weight of the newest call in the moving averages; a VM sends a few calls a second.
const EWMA_WEIGHT: f64 = 0.1;
/// Lower and upper bound of the correction factor for predictions.
const CORRECTION_BOUNDS: (f64, f64) = (0.6, 3.0);

/// Time of a decoding step in a full batch, according to the data sheets.
fn sheet_step_ms(slots: u32) -> f64 {
    STEP_BASE_MS + STEP_CALL_MS * f64::from(slots.max(1))
}

/// Time of a decoding step, learned from streams that ended.
///
/// Answers a load whose engines differ from the data sheets: calls whose tokens are counted at too
/// high a cost get too many endpoints, and those of the other group are refused beside idle slots.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepTime {
    /// Moving averages of the decoding time and of the expected tokens of a stream.
    decode_ms: f64,
    tokens: f64,
    /// Sum of the weights of the averages, at most 1.
    weight: f64,
}

impl StepTime {
    /// Records a stream that took `decode` from its first event to its end.
    pub fn record(&mut self, decode: Duration, expected_tokens: u32) {
        let weigh = |old: f64, new: f64| old + (new - old) * STEP_WEIGHT;
        self.decode_ms = weigh(self.decode_ms, decode.as_secs_f64() * 1_000.0);
        self.tokens = weigh(self.tokens, f64::from(expected_tokens));
        self.weight = weigh(self.weight, 1.0);
    }

    /// Time of a step in milliseconds at the present sizes of batches.
    pub fn step_ms(&self, slots: u32) -> f64 {
        let sheet = sheet_step_ms(slots);
        let prior = PRIOR_TOKENS * (1.0 - self.weight);
        let learned =
            (self.decode_ms + prior * sheet) / (self.tokens + prior).max(f64::MIN_POSITIVE);
        learned.clamp(sheet * STEP_BOUNDS.0, sheet * STEP_BOUNDS.1)
    }

    /// Engine time of a call in milliseconds: the prefill of its uncached tokens runs alone, and its
    /// output tokens are produced in a full batch of `slots` calls.
    pub fn engine_work_ms(&self, uncached_tokens: u64, output_tokens: u32, slots: u32) -> f64 {
        let token_ms = self.step_ms(slots) / f64::from(slots.max(1));
        uncached_tokens as f64 / PREFILL_TOKENS_PER_MS + f64::from(output_tokens) * token_ms
    }
}

/// Load that an engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Calls that have produced no token yet.
    pub waiting: u32,
    /// Calls that are producing tokens.
    pub running: u32,
    /// Start of the engine's process in Unix milliseconds, if it reports that.
    pub start_ms: Option<u64>,
}

/// Load of an engine as known to this VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineLoad {
    report: Option<(Time, EngineReport)>,
    new_calls: u32,
    new_tokens: u64,
}

/// Moving averages over the calls of an endpoint group.
#[derive(Clone, Copy, Debug)]
pub struct CallAverages {
    /// Average prefill time of a call in milliseconds.
    pub prefill_ms: f64,
    /// Average expected number of output tokens of a call.
    pub output_tokens: f64,
    /// Average time that a call occupies a slot, in milliseconds.
    pub slot_ms: f64,
    /// Average ratio of the actual to the predicted time to the first event.
    pub correction: f64,
}

impl Default for CallAverages {
    fn default() -> Self {
        Self {
            prefill_ms: 40.0,
            output_tokens: 0.0,
            slot_ms: 2_500.0,
            correction: 1.0,
        }
    }
}

impl CallAverages {
    /// Records a call whose engine has to prefill a number of tokens and is expected to produce a
    /// number of output tokens.
    pub fn record_dispatch(&mut self, tokens: u64, output_tokens: u32) {
        self.prefill_ms += (tokens as f64 / PREFILL_TOKENS_PER_MS - self.prefill_ms) * EWMA_WEIGHT;
        self.output_tokens += (f64::from(output_tokens) - self.output_tokens) * EWMA_WEIGHT;
    }

    /// Time that a call occupies a slot of a full batch, in milliseconds. Calls that have ended show
    /// it too late in a burst, whose first calls end after seconds, the short ones first; it is at
    /// least what the prefill of a batch and the decoding of a call take.
    fn full_batch_slot_ms(&self, slots: u32) -> f64 {
        let prefill = f64::from(slots) * self.prefill_ms;
        self.slot_ms
            .max(prefill + self.output_tokens * sheet_step_ms(slots))
    }

    /// Records the predicted and the actual time to the first event of a call.
    pub fn record_first_event(&mut self, predicted: Duration, actual: Duration) {
        let (min, max) = CORRECTION_BOUNDS;
        let ratio = actual.as_secs_f64() / predicted.as_secs_f64().max(0.001) * self.correction;
        self.correction += (ratio.clamp(min, max) - self.correction) * EWMA_WEIGHT;
    }

    /// Records the time that a finished call occupied its slot.
    pub fn record_slot_time(&mut self, slot_time: Duration) {
        self.slot_ms += (slot_time.as_secs_f64() * 1_000.0 - self.slot_ms) * EWMA_WEIGHT;
    }
}

impl EngineLoad {
    /// Stores a new report and restarts the count of calls sent since.
    pub fn record_report(&mut self, now: Time, report: EngineReport) {
        *self = Self {
            report: Some((now, report)),
            new_calls: 0,
            new_tokens: 0,
        };
    }

    /// Records a call of this VM that is sent to the engine, with its uncached tokens.
    pub fn record_dispatch(&mut self, tokens: u64) {
        self.new_calls = self.new_calls.saturating_add(1);
        self.new_tokens = self.new_tokens.saturating_add(tokens);
    }

    /// The latest report, unless it is too old.
    pub fn fresh_report(&self, now: Time) -> Option<EngineReport> {
        let (at, report) = self.report?;
        (now.since(at) <= MAX_REPORT_AGE).then_some(report)
    }

    /// Predicts the time to the first event of a call with a number of uncached tokens; none
    /// without a fresh report.
    pub fn predict_first_event(
        &self,
        now: Time,
        slots: u32,
        tokens: u64,
        averages: &CallAverages,
    ) -> Option<Duration> {
        let report = self.fresh_report(now)?;
        let prefill_wait = f64::from(report.waiting) * averages.prefill_ms
            + self.new_tokens.saturating_add(tokens) as f64 / PREFILL_TOKENS_PER_MS;
        let calls = f64::from(self.open_calls(report)) + 1.0;
        let excess = (calls - f64::from(slots)).max(0.0);
        let slot_wait = excess * averages.full_batch_slot_ms(slots) / f64::from(slots.max(1));
        let millis =
            (prefill_wait.max(slot_wait) + prefill_wait.min(slot_wait) / 2.0) * averages.correction;
        let wait = Duration::try_from_secs_f64(millis / 1_000.0).unwrap_or(Duration::MAX);
        Some(FIRST_EVENT_DELAY.saturating_add(wait))
    }

    /// Ratio of open calls to slots; none without a fresh report.
    pub fn utilisation(&self, now: Time, slots: u32) -> Option<f64> {
        let report = self.fresh_report(now)?;
        Some(f64::from(self.open_calls(report)) / f64::from(slots.max(1)))
    }

    /// Calls in the report plus the calls that this VM has sent since.
    const fn open_calls(&self, report: EngineReport) -> u32 {
        let reported = report.running.saturating_add(report.waiting);
        reported.saturating_add(self.new_calls)
    }
}
