//! A fluid model of an endpoint with continuous batching.
//!
//! All rates are constant between two events. An endpoint prefills one prompt at a time, in the
//! order of the batch; during a prefill, the other calls in the batch generate tokens at half
//! speed. The time per token increases with the number of calls that generate. A service replica
//! is simulated by the same model, without prefill and with a constant time per token.

use core::time::Duration;
use poplarswitch_entity::{Attempt, Time};
use std::collections::VecDeque;

/// Constant part of the time per token, in seconds.
const TOKEN_BASE_S: f64 = 0.012;
/// Part of the time per token for each call that generates, in seconds.
const TOKEN_SLOPE_S: f64 = 0.000_8;
/// Rate of prefill, in uncached prompt tokens per second.
const PREFILL_TOKENS_PER_S: f64 = 10_000.0;
/// Factor on the speed of generation during a prefill.
const PREFILL_SPEED_FACTOR: f64 = 0.5;
/// Time that a service replica takes per unit of output, in seconds; a unit is 1 ms of run time.
const SERVICE_UNIT_S: f64 = 0.001;
/// Longest time between two updates of an endpoint that has calls, in seconds.
const MAX_UPDATE_INTERVAL_S: f64 = 0.5;
/// Remaining tokens or seconds that count as 0, to allow for rounding errors.
const EPSILON: f64 = 1e-6;

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointKind {
    /// A model engine.
    Model,
    /// A plain service.
    Service,
}

/// A call in the batch or the queue of an endpoint.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// Index of the call.
    pub call: usize,
    /// Number of the dispatch.
    pub attempt: Attempt,
    /// Remaining time of the prefill, in seconds at ordinary speed.
    pub prefill: f64,
    /// Number of tokens still to be generated.
    pub tokens_left: f64,
    /// Number of tokens that this dispatch has generated.
    pub generated: f64,
    /// Number of tokens that earlier dispatches emitted.
    pub emitted: u32,
    /// Time of the last progress report.
    pub last_report: Option<Time>,
}

/// The batch and the queue of a simulated model engine or service replica.
#[derive(Debug)]
pub struct Engine {
    /// Kind of the endpoint.
    pub kind: EndpointKind,
    /// Factor on the ordinary speed.
    pub speed: f64,
    /// Whether the endpoint accepts calls; false after a crash.
    pub up: bool,
    /// Number of changes of the batch or its speed; an update scheduled before the last change is
    /// ignored.
    pub change_count: u64,
    /// Calls in the batch.
    pub batch: Vec<Sequence>,
    /// Calls that wait for a slot in the batch, in the order of their arrival.
    pub queue: VecDeque<Sequence>,
    slots: usize,
    updated_at: Time,
}

impl Engine {
    /// Creates an endpoint without calls.
    pub const fn new(kind: EndpointKind, slots: u32) -> Self {
        Self {
            kind,
            speed: 1.0,
            up: true,
            change_count: 0,
            batch: Vec::new(),
            queue: VecDeque::new(),
            slots: slots as usize,
            updated_at: Time::ZERO,
        }
    }

    /// Time of the prefill of uncached tokens, in seconds.
    pub fn prefill_time(kind: EndpointKind, tokens: f64) -> f64 {
        match kind {
            EndpointKind::Model => tokens / PREFILL_TOKENS_PER_S,
            EndpointKind::Service => 0.0,
        }
    }

    /// Engine time that a call takes up when the batch is full, in seconds.
    ///
    /// Other calls generate during a prefill, at reduced speed, so a prefill takes up only the
    /// time by which it delays them.
    pub fn engine_time(kind: EndpointKind, slots: u32, prefill: f64, tokens: f64) -> f64 {
        let prefilling = prefill * (1.0 - PREFILL_SPEED_FACTOR);
        prefilling + tokens * token_time(kind, f64::from(slots)) / f64::from(slots)
    }

    /// Adds a call, to the batch if a slot is free.
    pub fn enqueue(&mut self, now: Time, sequence: Sequence) {
        self.advance(now);
        self.queue.push_back(sequence);
        self.fill_batch();
    }

    /// Removes a dispatch from the queue or the batch; returns `None` if it is in neither.
    pub fn remove(&mut self, now: Time, call: usize, attempt: Attempt) -> Option<Sequence> {
        self.advance(now);
        let wanted = |s: &Sequence| s.call == call && s.attempt == attempt;
        if let Some(index) = self.queue.iter().position(wanted) {
            return self.queue.remove(index);
        }
        let index = self.batch.iter().position(wanted)?;
        let sequence = self.batch.remove(index);
        self.fill_batch();
        Some(sequence)
    }

    /// Crashes the endpoint; returns the calls that were in the batch or the queue.
    pub fn crash(&mut self, now: Time) -> Vec<Sequence> {
        self.advance(now);
        self.up = false;
        self.change_count += 1;
        let waiting = core::mem::take(&mut self.queue);
        core::mem::take(&mut self.batch)
            .into_iter()
            .chain(waiting)
            .collect()
    }

    /// Sets the factor on the ordinary speed.
    pub fn set_speed(&mut self, now: Time, speed: f64) {
        self.advance(now);
        self.speed = speed;
        self.change_count += 1;
    }

    /// Advances the endpoint to a time; removes and returns the calls that are finished.
    pub fn take_finished(&mut self, now: Time) -> Vec<Sequence> {
        self.advance(now);
        let finished: Vec<Sequence> = self
            .batch
            .extract_if(.., |s| s.prefill <= EPSILON && s.tokens_left <= EPSILON)
            .collect();
        self.fill_batch();
        finished
    }

    /// Time of the next update: the next end of a prefill or a call, at most
    /// `MAX_UPDATE_INTERVAL_S` after the last one.
    pub fn next_update(&self) -> Option<Time> {
        if self.batch.is_empty() {
            return None;
        }
        let rate = self.token_rate();
        let prefilling = self.batch.iter().find(|s| s.prefill > 0.0);
        let prefill_left = prefilling.map_or(f64::INFINITY, |s| s.prefill / self.speed);
        let generating = self.batch.iter().filter(|s| s.prefill <= 0.0);
        let generation_left = generating
            .map(|s| s.tokens_left / rate)
            .fold(f64::INFINITY, f64::min);
        let wait = prefill_left
            .min(generation_left)
            .clamp(0.0, MAX_UPDATE_INTERVAL_S);
        Some(self.updated_at + Duration::from_secs_f64(wait) + Duration::from_micros(1))
    }

    fn fill_batch(&mut self) {
        self.change_count += 1;
        while self.batch.len() < self.slots {
            let Some(next) = self.queue.pop_front() else {
                return;
            };
            self.batch.push(next);
        }
    }

    fn token_rate(&self) -> f64 {
        let generating = self.batch.iter().filter(|s| s.prefill <= 0.0).count();
        let prefilling = generating < self.batch.len();
        let factor = if prefilling {
            PREFILL_SPEED_FACTOR
        } else {
            1.0
        };
        self.speed * factor / token_time(self.kind, generating.max(1) as f64)
    }

    fn advance(&mut self, now: Time) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let rate = self.token_rate();
        let prefilling = self.batch.iter().position(|s| s.prefill > 0.0);
        for sequence in self.batch.iter_mut().filter(|s| s.prefill <= 0.0) {
            let tokens = (elapsed * rate).min(sequence.tokens_left);
            sequence.tokens_left -= tokens;
            sequence.generated += tokens;
        }
        if let Some(index) = prefilling {
            self.advance_prefill(index, elapsed);
        }
    }

    fn advance_prefill(&mut self, index: usize, elapsed: f64) {
        let speed = self.speed;
        let sequence = &mut self.batch[index];
        sequence.prefill -= elapsed * speed;
        if sequence.prefill <= EPSILON {
            sequence.prefill = 0.0;
            let first = sequence.tokens_left.min(1.0);
            sequence.tokens_left -= first;
            sequence.generated += first;
        }
    }
}

fn token_time(kind: EndpointKind, generating: f64) -> f64 {
    match kind {
        EndpointKind::Model => TOKEN_BASE_S + TOKEN_SLOPE_S * generating,
        EndpointKind::Service => SERVICE_UNIT_S,
    }
}
