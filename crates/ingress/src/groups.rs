//! Which endpoints serve patient calls.
//!
//! While an engine reads a long prompt, every stream beside it stands still. Calls whose
//! objective leaves time, which are those with long prompts, are therefore kept on endpoints of
//! their own. The others get as many endpoints as keep them from waiting, the patient ones the
//! rest. Each VM counts the work that it sends, tells the others its sums, and all come to the
//! same boundary. It moves only when the demand has clearly changed, since a move costs the
//! caches of an endpoint.

use crate::membership::EngineWork;
use core::time::Duration;
use poplarswitch_entity::Time;

/// Calls with a longer objective can wait behind long prompts.
const PATIENT: Duration = Duration::from_secs(1);
/// Time over which demand is averaged: bursts last some seconds.
const MEMORY: Duration = Duration::from_millis(1_500);
/// Share of an engine's time up to which urgent calls seldom wait for each other.
const URGENT_BUSY: f64 = 0.55;
/// The same for patient calls.
const PATIENT_BUSY: f64 = 0.85;
/// Largest share of the endpoints for either side, while the other has demand too.
const MOST_SHARE: f64 = 0.8;
/// Share of the endpoints by which the wanted boundary must differ before it moves.
const HYSTERESIS: f64 = 0.06;
/// The same in endpoints, for small fleets.
const LEAST_MOVE: f64 = 0.8;
/// Demand below this, in busy endpoints, is none.
const NO_DEMAND: f64 = 0.01;

/// The side of the boundary that a call belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointGroup {
    /// Patient calls, whose prompts are long.
    Relaxed,
    /// Calls that must begin at once.
    Strict,
}

impl EndpointGroup {
    /// The side of a call with a latency objective.
    pub fn of(objective: Option<Duration>) -> Self {
        if objective.is_none_or(|objective| objective >= PATIENT) {
            Self::Relaxed
        } else {
            Self::Strict
        }
    }
}

/// Work of both sides in milliseconds of an engine, fading over time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Work of long prompts.
    pub relaxed: f64,
    /// Work of all others.
    pub strict: f64,
    updated: Time,
}

impl Demand {
    /// Counts the work of a call.
    pub fn record(&mut self, now: Time, side: EndpointGroup, work: f64) {
        self.decay(now);
        match side {
            EndpointGroup::Relaxed => self.relaxed += work,
            EndpointGroup::Strict => self.strict += work,
        }
    }

    /// The sums as of now.
    #[must_use]
    pub fn decayed_to(mut self, now: Time) -> Self {
        self.decay(now);
        self
    }

    /// Sums as of a time.
    pub const fn from_sums(now: Time, relaxed: f64, strict: f64) -> Self {
        Self {
            relaxed,
            strict,
            updated: now,
        }
    }

    /// The sums as VMs tell them to each other.
    pub fn engine_work(self) -> EngineWork {
        let whole = |sum: f64| sum.min(f64::from(u16::MAX)) as u16;
        EngineWork(whole(self.relaxed), whole(self.strict))
    }

    /// With the work of another VM, which is as of a moment ago.
    #[must_use]
    pub fn plus(mut self, work: EngineWork) -> Self {
        self.relaxed += f64::from(work.0);
        self.strict += f64::from(work.1);
        self
    }

    fn decay(&mut self, now: Time) {
        let factor = (-now.since(self.updated).as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.relaxed *= factor;
        self.strict *= factor;
        self.updated = now;
    }
}

/// The boundary in the shared order of endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupSplit {
    total: usize,
    relaxed: usize,
}

impl GroupSplit {
    /// Takes the demand of all VMs, and the number of endpoints; returns whether it moved.
    pub fn update(&mut self, total: usize, demand: Demand) -> bool {
        let before = self.relaxed;
        let wanted = wanted(total as f64, demand);
        let step = (HYSTERESIS * total as f64).max(LEAST_MOVE);
        // Without demand, or with demand on one side only, nothing is kept apart.
        let whole = wanted <= 0.0 || wanted >= total as f64;
        let due = (wanted - self.relaxed as f64).abs() > step;
        if due || self.total != total || whole {
            let least = usize::from(!whole).min(total);
            let most = total.saturating_sub(least).max(least);
            self.relaxed = (wanted.round() as usize).clamp(least, most);
        }
        self.total = total;
        self.relaxed != before
    }

    /// Splits the endpoints, in their shared order, into those of a side and the others.
    pub fn split<'a, T>(&self, side: EndpointGroup, endpoints: &'a [T]) -> (&'a [T], &'a [T]) {
        let (long, short) = endpoints.split_at(self.relaxed.min(endpoints.len()));
        if long.is_empty() || short.is_empty() {
            return (endpoints, &[]);
        }
        match side {
            EndpointGroup::Relaxed => (long, short),
            EndpointGroup::Strict => (short, long),
        }
    }

    /// Endpoints for long prompts.
    pub const fn relaxed_count(&self) -> usize {
        self.relaxed
    }
}

/// Endpoints that patient calls should have.
fn wanted(total: f64, demand: Demand) -> f64 {
    let busy = |work: f64| work / (MEMORY.as_secs_f64() * 1_000.0);
    let (long, short) = (busy(demand.relaxed), busy(demand.strict));
    if long < NO_DEMAND {
        return 0.0;
    }
    if short < NO_DEMAND {
        return total;
    }
    let (long, short) = (long / PATIENT_BUSY, short / URGENT_BUSY);
    let urgent = if long + short <= total {
        total * short / (long + short)
    } else {
        short
    };
    total - urgent.clamp(total * (1.0 - MOST_SHARE), total * MOST_SHARE)
}
