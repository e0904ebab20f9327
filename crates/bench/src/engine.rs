//! A fluid model of an endpoint that batches continuously.
//!
//! Between two events all rates are constant. Prompts are read one after the other; while
//! one is read, the other calls generate at half speed. The time of a token rises with the
//! number of calls that generate. A service replica is the same model without prompts and
//! with a token time that does not rise.

use core::time::Duration;
use poplarswitch_entity::{Attempt, Time};
use std::collections::VecDeque;

/// Time of a token for one call alone.
const TOKEN_BASE: f64 = 0.012;
/// Rise of the token time with each call in the batch.
const TOKEN_SLOPE: f64 = 0.000_8;
/// Prompt tokens read a second.
const PREFILL_RATE: f64 = 10_000.0;
/// Speed of generation while a prompt is read.
const PREFILL_SLOWDOWN: f64 = 0.5;
/// Time of one unit of a service call.
const SERVICE_UNIT: f64 = 0.001;
/// Longest time between two looks at a busy endpoint.
const LOOK_EVERY: f64 = 0.5;
/// Rounding slack, in tokens and seconds.
const EPSILON: f64 = 1e-6;

/// What kind of endpoint it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A model engine.
    Model,
    /// A plain service.
    Service,
}

/// One call in the batch or in the endpoint's queue.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// Index of the call.
    pub call: usize,
    /// Its dispatch.
    pub attempt: Attempt,
    /// Seconds of prompt reading left.
    pub prefill: f64,
    /// Tokens left to generate.
    pub left: f64,
    /// Tokens generated.
    pub done: f64,
    /// Tokens that earlier dispatches emitted.
    pub emitted: u32,
    /// When progress was last told.
    pub told: Option<Time>,
}

/// An endpoint.
#[derive(Debug)]
pub struct Engine {
    /// What kind it is.
    pub kind: Kind,
    /// Share of the ordinary speed.
    pub speed: f64,
    /// Whether it accepts calls.
    pub up: bool,
    /// Counts changes; an event that was planned before one is void.
    pub version: u64,
    /// Calls being served.
    pub batch: Vec<Sequence>,
    /// Calls that wait in the endpoint.
    pub queue: VecDeque<Sequence>,
    slots: usize,
    at: Time,
}

impl Engine {
    /// Starts idle.
    pub const fn new(kind: Kind, slots: u32) -> Self {
        Self {
            kind,
            speed: 1.0,
            up: true,
            version: 0,
            batch: Vec::new(),
            queue: VecDeque::new(),
            slots: slots as usize,
            at: Time::ZERO,
        }
    }

    /// Seconds that a prompt of so many uncached tokens takes.
    pub fn prefill_time(kind: Kind, tokens: f64) -> f64 {
        match kind {
            Kind::Model => tokens / PREFILL_RATE,
            Kind::Service => 0.0,
        }
    }

    /// Endpoint seconds that an answer costs when the batch is full.
    ///
    /// Generation goes on while a prompt is read, so reading costs only what it slows.
    pub fn cost(kind: Kind, slots: u32, prefill: f64, tokens: f64) -> f64 {
        let reading = prefill * (1.0 - PREFILL_SLOWDOWN);
        reading + tokens * token_time(kind, f64::from(slots)) / f64::from(slots)
    }

    /// Takes a call in.
    pub fn start(&mut self, now: Time, sequence: Sequence) {
        self.advance(now);
        self.queue.push_back(sequence);
        self.refill();
    }

    /// Takes a call out; none if it is not there.
    pub fn stop(&mut self, now: Time, call: usize, attempt: Attempt) -> Option<Sequence> {
        self.advance(now);
        let wanted = |s: &Sequence| s.call == call && s.attempt == attempt;
        if let Some(place) = self.queue.iter().position(wanted) {
            return self.queue.remove(place);
        }
        let place = self.batch.iter().position(wanted)?;
        let sequence = self.batch.remove(place);
        self.refill();
        Some(sequence)
    }

    /// Fails: everything it held is returned.
    pub fn crash(&mut self, now: Time) -> Vec<Sequence> {
        self.advance(now);
        self.up = false;
        self.version += 1;
        let waiting = core::mem::take(&mut self.queue);
        core::mem::take(&mut self.batch)
            .into_iter()
            .chain(waiting)
            .collect()
    }

    /// Changes the speed.
    pub fn set_speed(&mut self, now: Time, speed: f64) {
        self.advance(now);
        self.speed = speed;
        self.version += 1;
    }

    /// Moves to a time; returns the calls that are finished.
    pub fn finish(&mut self, now: Time) -> Vec<Sequence> {
        self.advance(now);
        let finished: Vec<Sequence> = self
            .batch
            .extract_if(.., |s| s.prefill <= EPSILON && s.left <= EPSILON)
            .collect();
        self.refill();
        finished
    }

    /// When the endpoint is next worth looking at.
    pub fn next_event(&self) -> Option<Time> {
        if self.batch.is_empty() {
            return None;
        }
        let rate = self.token_rate();
        let reading = self.batch.iter().find(|s| s.prefill > 0.0);
        let read = reading.map_or(f64::INFINITY, |s| s.prefill / self.speed);
        let generating = self.batch.iter().filter(|s| s.prefill <= 0.0);
        let done = generating
            .map(|s| s.left / rate)
            .fold(f64::INFINITY, f64::min);
        let wait = read.min(done).clamp(0.0, LOOK_EVERY);
        Some(self.at + Duration::from_secs_f64(wait) + Duration::from_micros(1))
    }

    fn refill(&mut self) {
        self.version += 1;
        while self.batch.len() < self.slots {
            let Some(next) = self.queue.pop_front() else {
                return;
            };
            self.batch.push(next);
        }
    }

    fn token_rate(&self) -> f64 {
        let generating = self.batch.iter().filter(|s| s.prefill <= 0.0).count();
        let reading = generating < self.batch.len();
        let slowdown = if reading { PREFILL_SLOWDOWN } else { 1.0 };
        self.speed * slowdown / token_time(self.kind, generating.max(1) as f64)
    }

    fn advance(&mut self, now: Time) {
        let elapsed = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let rate = self.token_rate();
        let reading = self.batch.iter().position(|s| s.prefill > 0.0);
        for sequence in self.batch.iter_mut().filter(|s| s.prefill <= 0.0) {
            let tokens = (elapsed * rate).min(sequence.left);
            sequence.left -= tokens;
            sequence.done += tokens;
        }
        if let Some(place) = reading {
            self.read(place, elapsed);
        }
    }

    fn read(&mut self, place: usize, elapsed: f64) {
        let speed = self.speed;
        let sequence = &mut self.batch[place];
        sequence.prefill -= elapsed * speed;
        if sequence.prefill <= EPSILON {
            sequence.prefill = 0.0;
            let first = sequence.left.min(1.0);
            sequence.left -= first;
            sequence.done += first;
        }
    }
}

fn token_time(kind: Kind, generating: f64) -> f64 {
    match kind {
        Kind::Model => TOKEN_BASE + TOKEN_SLOPE * generating,
        Kind::Service => SERVICE_UNIT,
    }
}
