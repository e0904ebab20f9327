//! Health of an endpoint, inferred from the outcomes of its calls.
//!
//! Crashes are detected from failed calls, slow endpoints by comparison with the others of the
//! pool. Such an endpoint is suspended and then on probation: it is sent one call at a time, a
//! probe, until enough good outcomes have been recorded. An endpoint that only declined a call is
//! suspended for a short time without a probation. Each repeated suspension is twice as long
//! as the one before, up to a limit. Outcomes of calls that started before the last suspension
//! are ignored, because their cause has already been counted.

use core::time::Duration;
use poplarswitch_entity::Time;

/// Lost calls, without a good outcome between them, after which an endpoint counts as crashed.
const CRASH_STREAK: u32 = 2;
/// First suspension after a crash.
const CRASH_BACKOFF: Duration = Duration::from_millis(250);
/// First suspension after a declined call.
const BUSY_BACKOFF: Duration = Duration::from_millis(50);
/// First suspension of a slow endpoint.
const SLOW_BACKOFF: Duration = Duration::from_secs(10);
/// Longest suspension.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Longest suspension after declined calls.
const MAX_BUSY_BACKOFF: Duration = Duration::from_secs(2);
/// Time on probation after which calls that avoid probation may be probes as well.
pub(crate) const PROBE_GRACE: Duration = Duration::from_secs(3);
/// Good outcomes that end a probation; one probe may have several.
const MIN_GOOD_OUTCOMES: u32 = 2;
/// Good outcomes after which the next suspension has its initial length again.
const BACKOFF_RESET_OUTCOMES: u32 = 50;

/// Evidence of a dispatch about its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint produced output and was not measured to be slow.
    Good,
    /// The endpoint produced output much more slowly than others of its pool.
    Slow,
    /// The connection was refused or could not be opened.
    Unreached,
    /// The endpoint declined the call.
    Declined,
    /// The connection was lost or the answer timed out.
    Lost,
    /// The dispatch says nothing about the endpoint.
    Neutral,
}

/// Why an endpoint was suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Cause {
    #[default]
    Crash,
    Busy,
    Slow,
}

impl Cause {
    const fn bounds(self) -> (Duration, Duration) {
        match self {
            Self::Crash => (CRASH_BACKOFF, MAX_BACKOFF),
            Self::Busy => (BUSY_BACKOFF, MAX_BUSY_BACKOFF),
            Self::Slow => (SLOW_BACKOFF, MAX_BACKOFF),
        }
    }
}

/// Which calls an endpoint may be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Its slots bound its calls.
    #[default]
    Up,
    /// No calls until the given time.
    Suspended(Time),
    /// One call at a time, as a probe; the endpoint is on probation.
    Probing,
}

/// The health of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    phase: Phase,
    cause: Cause,
    backoff: Duration,
    /// Lost calls since the last good outcome or suspension.
    lost: u32,
    /// Good outcomes since the last change of phase.
    good: u32,
    /// Start of the last suspension, or its end once it has ended.
    since: Time,
    /// Whether the grace period of the probation is over.
    grace_over: bool,
}

impl Health {
    /// The current phase.
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether the endpoint may use all its slots.
    pub const fn is_up(&self) -> bool {
        matches!(self.phase, Phase::Up)
    }

    /// Whether the endpoint is suspended or on probation because it was slow.
    pub const fn is_ejected(&self) -> bool {
        matches!(self.cause, Cause::Slow) && !self.is_up()
    }

    /// Whether the endpoint is suspended only because it declined a call, presumably because its
    /// slots were taken.
    pub const fn is_busy(&self) -> bool {
        matches!(self.cause, Cause::Busy) && !self.is_up()
    }

    /// Records the outcome of a call that started at `started`; returns whether the phase changed.
    pub(crate) fn record(&mut self, now: Time, started: Time, outcome: Outcome) -> bool {
        let before = self.phase;
        let stale = started < self.since;
        match outcome {
            Outcome::Neutral => {}
            _ if stale => {}
            Outcome::Good => self.record_good(),
            Outcome::Slow if self.phase == Phase::Probing => self.suspend(now, Cause::Slow),
            Outcome::Slow => {}
            Outcome::Unreached => self.suspend(now, Cause::Crash),
            Outcome::Declined => self.suspend(now, Cause::Busy),
            Outcome::Lost => self.record_lost(now),
        }
        before != self.phase
    }

    /// Suspends a slow endpoint.
    pub(crate) fn eject(&mut self, now: Time) {
        self.suspend(now, Cause::Slow);
    }

    /// Ends the suspension if its time is over; returns whether it did.
    pub(crate) fn end_suspension(&mut self, now: Time) -> bool {
        let Phase::Suspended(until) = self.phase else {
            return false;
        };
        if now < until {
            return false;
        }
        self.phase = match self.cause {
            Cause::Busy => Phase::Up,
            Cause::Crash | Cause::Slow => Phase::Probing,
        };
        self.good = 0;
        self.since = now;
        self.grace_over = false;
        true
    }

    /// Ends the grace period of a probation if its time is over; returns whether it did.
    pub(crate) fn end_grace(&mut self, now: Time) -> bool {
        let due = self.phase == Phase::Probing && now >= self.since + PROBE_GRACE;
        let new = due && !self.grace_over;
        self.grace_over |= due;
        new
    }

    /// Whether calls that avoid probation may be probes.
    pub(crate) const fn is_grace_over(&self) -> bool {
        self.grace_over
    }

    fn record_good(&mut self) {
        self.lost = 0;
        self.good += 1;
        if self.phase == Phase::Probing && self.good >= MIN_GOOD_OUTCOMES {
            self.phase = Phase::Up;
            self.good = 0;
        }
        if self.phase == Phase::Up
            && (self.good >= BACKOFF_RESET_OUTCOMES || self.cause == Cause::Busy)
        {
            self.backoff = Duration::ZERO;
        }
    }

    fn record_lost(&mut self, now: Time) {
        self.lost += 1;
        if self.lost >= CRASH_STREAK || self.phase == Phase::Probing {
            self.suspend(now, Cause::Crash);
        }
    }

    fn suspend(&mut self, now: Time, cause: Cause) {
        if matches!(self.phase, Phase::Suspended(_)) {
            return;
        }
        let (min, max) = cause.bounds();
        self.backoff = (self.backoff * 2).clamp(min, max);
        self.phase = Phase::Suspended(now + self.backoff);
        self.cause = cause;
        self.since = now;
        self.lost = 0;
        self.good = 0;
    }
}
