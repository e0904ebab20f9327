//! Graceful shutdown of a VM.
//!
//! Callers keep an address for some time and connections for longer, so a VM that shuts down
//! continues to serve them. Its address is no longer given to callers, it completes short calls,
//! and it refuses calls that can't be completed before the process is killed; refused calls have not
//! run.
//!
//! Early in the grace period most callers still have the address, and a call has time to end if the
//! calls of its route lately took no longer. That is an estimate, and a longer call is cut. Later,
//! callers have other addresses, and a call is accepted only if its own time limit ends in time.

use core::time::Duration;
use poplarswitch_entity::Time;

/// Percentage of the grace period after which long calls are refused. The operators count from the moment at
/// which they send the signal and callers send their requests; both take time to arrive.
const REFUSE_LONG_PERCENT: u32 = 35;
/// Percentage of the grace period after which all calls are refused.
const REFUSE_ALL_PERCENT: u32 = 80;
/// Time before the end of the grace period at which the process exits in any case.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Percentage of the longest time of a route's calls lately for which another one may take.
const RUN_TIME_PERCENT: u32 = 125;
/// Multiple of a route's objective for which one of its calls may take if none was answered lately.
const OBJECTIVE_FACTOR: u32 = 4;
/// Time before the exit at which calls without an answer get one, so that it reaches their callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Stage of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStage {
    /// No shutdown has started.
    Serving,
    /// The shutdown has started; streams that can be resumed are accepted, and other calls that are
    /// expected to end in time.
    Lingering,
    /// Only calls whose time limits end in time are accepted, and no streams that can be resumed.
    ShortOnly,
    /// No calls are accepted.
    Closed,
    /// The process exits.
    Finished,
}

/// What tells whether a call may begin during a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedTimes {
    /// When its whole request had arrived.
    pub arrived: Time,
    /// Whether its caller can go on with it elsewhere if it is cut.
    pub may_be_cut: bool,
    /// Longest time of the calls of its route lately; none if none was answered.
    pub longest: Option<Duration>,
    /// Objective of its route for the whole answer, if there is one.
    pub objective: Option<Duration>,
    /// Time left until its deadline.
    pub limit: Duration,
}

/// State of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    grace: Duration,
    linger: Duration,
    started_at: Option<Time>,
}

impl Shutdown {
    /// Creates the state of a serving VM. `grace` is the time from the termination signal to the
    /// kill; `linger` is the time for which callers may keep its address.
    pub const fn new(grace: Duration, linger: Duration) -> Self {
        Self {
            grace,
            linger,
            started_at: None,
        }
    }

    /// Starts the shutdown; further signals have no effect.
    pub fn start(&mut self, now: Time) {
        self.started_at.get_or_insert(now);
    }

    /// Whether the shutdown has started.
    pub const fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// When calls without an answer must get one, because the process exits soon afterwards; none if
    /// no shutdown has started.
    pub fn answer_time(&self) -> Option<Time> {
        let started_at = self.started_at?;
        Some(started_at + self.grace.saturating_sub(EXIT_MARGIN + ANSWER_MARGIN))
    }

    /// Whether a call may begin now. One that came early in the grace period ends before the process
    /// exits as far as `times` tell, or may be cut; a later one ends in any case.
    pub fn has_time(&self, now: Time, times: ExpectedTimes) -> bool {
        let ExpectedTimes {
            arrived,
            may_be_cut,
            longest,
            objective,
            limit,
        } = times;
        let is_early = !self.refuses_long(arrived);
        if is_early && may_be_cut {
            return true;
        }
        let expected = longest.map(|longest| longest * RUN_TIME_PERCENT / 100);
        let expected = expected.or_else(|| objective.map(|objective| objective * OBJECTIVE_FACTOR));
        let expected = expected.filter(|_| is_early);
        let needed = expected.map_or(limit, |expected| expected.min(limit));
        self.answer_time().is_none_or(|at| now + needed <= at)
    }

    /// Whether long calls that arrive now are refused.
    fn refuses_long(&self, now: Time) -> bool {
        let begins_at = |started_at| started_at + self.grace * REFUSE_LONG_PERCENT / 100;
        self.started_at.is_some_and(|at| now >= begins_at(at))
    }

    /// The current stage, given the number of calls in flight.
    pub fn stage(&self, now: Time, in_flight: usize) -> ShutdownStage {
        let Some(started_at) = self.started_at else {
            return ShutdownStage::Serving;
        };
        let elapsed = now.since(started_at);
        if elapsed + EXIT_MARGIN >= self.grace || (in_flight == 0 && elapsed >= self.linger) {
            ShutdownStage::Finished
        } else if elapsed >= self.grace * REFUSE_ALL_PERCENT / 100 {
            ShutdownStage::Closed
        } else if self.refuses_long(now) {
            ShutdownStage::ShortOnly
        } else {
            ShutdownStage::Lingering
        }
    }
}
