//! Which endpoints read long prompts.
//!
//! While an engine reads a long prompt, every stream beside it stands still, so long prompts are
//! kept on endpoints of their own. How many those are follows the measured work: each VM counts
//! what it sends, tells the others its sums, and all come to the same boundary. It moves only
//! when the demand has clearly changed, since a move costs the caches of an endpoint.

use crate::call::Prompt;
use core::time::Duration;
use poplarswitch_entity::Time;

/// Prompts above this many tokens count as long.
const LONG_TOKENS: u32 = 3_500;
/// Prompt tokens that an engine reads in a millisecond.
const TOKENS_READ_MS: f64 = 81.9;
/// Milliseconds that a token of an answer takes of a batch.
const TOKEN_MADE_MS: f64 = 0.27;
/// Time over which demand is averaged.
const MEMORY: Duration = Duration::from_secs(10);
/// Smallest and largest share of the endpoints for long prompts.
const SHARE_BOUNDS: (f64, f64) = (0.25, 0.85);
/// Endpoints by which the wanted boundary must differ before it moves.
const HYSTERESIS: f64 = 0.8;

/// The side of the boundary that a call belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Side {
    /// Long prompts.
    Long,
    /// All others.
    Short,
}

impl Side {
    /// The side of a prompt.
    pub const fn of(prompt: &Prompt) -> Self {
        if prompt.input > LONG_TOKENS {
            Self::Long
        } else {
            Self::Short
        }
    }
}

/// Work of both sides in milliseconds of an engine, fading over time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Work of long prompts.
    pub long: f64,
    /// Work of all others.
    pub short: f64,
    noted: Time,
}

impl Demand {
    /// Counts a call of which a number of prompt tokens must be read.
    pub fn note(&mut self, now: Time, prompt: &Prompt, unread: u32) {
        self.fade(now);
        let work =
            f64::from(unread) / TOKENS_READ_MS + f64::from(prompt.expected()) * TOKEN_MADE_MS;
        match Side::of(prompt) {
            Side::Long => self.long += work,
            Side::Short => self.short += work,
        }
    }

    /// The sums as of now.
    pub fn at(mut self, now: Time) -> Self {
        self.fade(now);
        self
    }

    /// Sums as another VM told them.
    pub const fn told(now: Time, long: f64, short: f64) -> Self {
        Self {
            long,
            short,
            noted: now,
        }
    }

    fn fade(&mut self, now: Time) {
        let factor = (-now.since(self.noted).as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.long *= factor;
        self.short *= factor;
        self.noted = now;
    }
}

/// The boundary in the shared order of endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sides {
    total: usize,
    long: usize,
}

impl Sides {
    /// Takes the demand of all VMs, and the number of endpoints; returns whether it moved.
    pub fn update(&mut self, total: usize, demand: Demand) -> bool {
        if total < 2 {
            *self = Self { total, long: 0 };
            return false;
        }
        let all = demand.long + demand.short;
        let share = if all > 0.0 { demand.long / all } else { 0.5 };
        let (least, most) = SHARE_BOUNDS;
        let wanted = share.clamp(least, most) * total as f64;
        let moved = (wanted - self.long as f64).abs() > HYSTERESIS;
        if moved || self.total != total {
            self.long = (wanted.round() as usize).clamp(1, total - 1);
        }
        self.total = total;
        moved
    }

    /// Splits the endpoints, in their shared order, into those of a side and the others.
    pub fn split<'a, T>(&self, side: Side, endpoints: &'a [T]) -> (&'a [T], &'a [T]) {
        let (long, short) = endpoints.split_at(self.long.min(endpoints.len()));
        match side {
            Side::Long => (long, short),
            Side::Short => (short, long),
        }
    }

    /// Endpoints for long prompts.
    pub const fn long(&self) -> usize {
        self.long
    }
}
