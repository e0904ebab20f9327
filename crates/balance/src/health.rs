//! Whether an endpoint is believed to be up.
//!
//! Crashes are seen from the calls themselves, stragglers by comparison with siblings. Such
//! an endpoint comes back through probes: one call at a time until enough of them went
//! well. One that merely declined a call rests for a moment and is used as before. Each
//! time that an endpoint is put out again it stays out for twice as long. Faults of calls
//! that started before it was put out say nothing new and are not counted again.

use core::time::Duration;
use poplarswitch_entity::Time;

/// Lost calls in a row after which an endpoint counts as crashed.
const LOST_STREAK: u32 = 2;
/// First time out after a crash.
const CRASH_BACKOFF: Duration = Duration::from_millis(250);
/// First time out after the endpoint declined a call.
const BUSY_BACKOFF: Duration = Duration::from_millis(50);
/// First time out of a straggler.
const SLOW_BACKOFF: Duration = Duration::from_secs(10);
/// Longest time out.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Longest time out after declined calls.
const MAX_BUSY: Duration = Duration::from_secs(2);
/// Time on probation after which calls that have to be careful may probe too.
pub(crate) const GRACE: Duration = Duration::from_secs(3);
/// Probes that have to go well.
const GOOD_PROBES: u32 = 2;
/// Good calls after which the next time out starts small again.
const TRUST: u32 = 50;

/// How a dispatch spoke for or against its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It produced output in good time.
    Good,
    /// It produced output much more slowly than its siblings.
    Slow,
    /// The connection was refused.
    Unreached,
    /// The endpoint refused the call.
    Declined,
    /// The connection was lost.
    Lost,
    /// It says nothing about the endpoint.
    Neutral,
}

/// Why an endpoint was put out.
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
            Self::Busy => (BUSY_BACKOFF, MAX_BUSY),
            Self::Slow => (SLOW_BACKOFF, MAX_BACKOFF),
        }
    }
}

/// What an endpoint may be given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// As many calls as it has slots.
    #[default]
    Up,
    /// Nothing until a time.
    Out(Time),
    /// One call at a time.
    Probing,
}

/// The health of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    phase: Phase,
    cause: Cause,
    backoff: Duration,
    lost: u32,
    good: u32,
    /// When it was last put out or woken.
    since: Time,
    /// Whether it has been on probation for a while without being probed.
    settled: bool,
}

impl Health {
    /// What the endpoint may be given.
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether it may get work as usual.
    pub const fn is_up(&self) -> bool {
        matches!(self.phase, Phase::Up)
    }

    /// Whether it is not up because it is slow.
    pub const fn is_ejected(&self) -> bool {
        matches!(self.cause, Cause::Slow) && !self.is_up()
    }

    /// Whether it only rests after a call that it declined, because its slots are taken.
    pub const fn is_resting(&self) -> bool {
        matches!(self.cause, Cause::Busy) && !self.is_up()
    }

    /// Records how a call that started at a time went; tells whether the phase changed.
    pub(crate) fn record(&mut self, now: Time, started: Time, outcome: Outcome) -> bool {
        let before = self.phase;
        let stale = started < self.since;
        match outcome {
            Outcome::Neutral => {}
            _ if stale => {}
            Outcome::Good => self.praise(),
            Outcome::Slow if self.phase == Phase::Probing => self.put_out(now, Cause::Slow),
            Outcome::Slow => {}
            Outcome::Unreached => self.put_out(now, Cause::Crash),
            Outcome::Declined => self.put_out(now, Cause::Busy),
            Outcome::Lost => self.lose(now),
        }
        before != self.phase
    }

    /// Puts a straggler out.
    pub(crate) fn eject(&mut self, now: Time) {
        self.put_out(now, Cause::Slow);
    }

    /// Ends the time out if it is over.
    pub(crate) fn wake(&mut self, now: Time) -> bool {
        let Phase::Out(until) = self.phase else {
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
        self.settled = false;
        true
    }

    /// Notes that nobody has probed it for a while; tells whether that is new.
    pub(crate) fn settle(&mut self, now: Time) -> bool {
        let due = self.phase == Phase::Probing && now >= self.since + GRACE;
        let new = due && !self.settled;
        self.settled |= due;
        new
    }

    /// Whether calls that have to be careful may probe it.
    pub(crate) const fn is_settled(&self) -> bool {
        self.settled
    }

    fn praise(&mut self) {
        self.lost = 0;
        self.good += 1;
        if self.phase == Phase::Probing && self.good >= GOOD_PROBES {
            self.phase = Phase::Up;
            self.good = 0;
        }
        if self.phase == Phase::Up && (self.good >= TRUST || self.cause == Cause::Busy) {
            self.backoff = Duration::ZERO;
        }
    }

    fn lose(&mut self, now: Time) {
        self.lost += 1;
        if self.lost >= LOST_STREAK || self.phase == Phase::Probing {
            self.put_out(now, Cause::Crash);
        }
    }

    fn put_out(&mut self, now: Time, cause: Cause) {
        if matches!(self.phase, Phase::Out(_)) {
            return;
        }
        let (first, most) = cause.bounds();
        self.backoff = (self.backoff * 2).clamp(first, most);
        self.phase = Phase::Out(now + self.backoff);
        self.cause = cause;
        self.since = now;
        self.lost = 0;
        self.good = 0;
    }
}
