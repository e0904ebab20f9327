//! Classification of failed attempts, and the step that follows.
//!
//! The outcome of an attempt decides both whether the call may be retried and what may be reported
//! to its caller. A call that may run only once is retried, and reported as "not run", only if no
//! endpoint can have started it.
//!
//! An endpoint that is only silent may still answer. It is left for another one only if nothing
//! stands in the way of that; otherwise its answer is awaited.

use crate::{config::RouteKind, version_pin::VersionPin};
use core::time::Duration;

/// Knowledge about an attempt that has ended without a good answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No byte was written to the connection.
    NotSent,
    /// The endpoint reported that it did not run the call.
    Refused,
    /// Another process uses the endpoint's address; it did not run the call.
    Displaced,
    /// The endpoint ran the call and reported a failure.
    Failed,
    /// The endpoint may have run the call.
    Doubtful,
}

/// Number of endpoints on which a call was attempted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Endpoints that may have run the call.
    pub maybe_run: u32,
    /// All endpoints that were tried.
    pub total: u32,
}

/// Result that is reported to the caller when no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call has not run and will not run.
    NotRun,
    /// The endpoint's failure is passed on.
    Endpoint,
    /// The call may have run.
    InDoubt,
}

/// Step after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Retry on another endpoint; a retry that reaches an endpoint is charged to the retry budget.
    Repeat {
        /// Whether the retry is charged to the budget, which must allow it.
        paid: bool,
    },
    /// Report the result to the caller.
    Tell(Verdict),
}

/// Maximum number of attempts of a call on any route, including those that no endpoint has started;
/// bounds the work on one call.
const MAX_TOTAL_ATTEMPTS: u32 = 4;
/// Remaining time below which a retry could not be answered.
const MIN_RETRY_TIME: Duration = Duration::from_millis(20);

/// Obstacle to sending a call to another endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// The call may run only once.
    NotIdempotent,
    /// The software version of the stream is unknown, so no endpoint can continue it.
    UnknownVersion,
    /// It is not known yet whether the stream belongs to the version that its endpoint's entry names.
    UnprovedVersion,
    /// The call has been sent to as many endpoints as its route allows.
    AttemptsUsed,
    /// Too little time is left for an answer.
    NoTime,
    /// The retry budget is used.
    BudgetUsed,
    /// No other endpoint can be expected to answer.
    NoEndpoint,
    /// The configuration or the quarantine doesn't allow the call to be sent now.
    NotAllowed,
}

impl Obstacle {
    /// Whether the obstacle lasts as long as the call.
    pub const fn is_final(self) -> bool {
        match self {
            Self::NotIdempotent | Self::UnknownVersion | Self::AttemptsUsed | Self::NoTime => true,
            Self::UnprovedVersion | Self::BudgetUsed | Self::NoEndpoint | Self::NotAllowed => false,
        }
    }

    /// Text for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotIdempotent => "the call may run only once",
            Self::UnknownVersion => "the software version of the stream is unknown",
            Self::UnprovedVersion => "the software version of the stream is not proved yet",
            Self::AttemptsUsed => "all attempts of the route are used",
            Self::NoTime => "no time is left",
            Self::BudgetUsed => "the retry budget is used",
            Self::NoEndpoint => "no other endpoint can answer",
            Self::NotAllowed => "the call may not be sent now",
        }
    }
}

impl Outcome {
    /// Whether an endpoint may have started the call.
    pub const fn may_have_run(self) -> bool {
        matches!(self, Self::Failed | Self::Doubtful)
    }
}

/// Decides what follows a failed attempt, given the attempts so far and the caller's remaining
/// time. `max_attempts` limits the endpoints that may run the call.
pub fn next_step(
    kind: RouteKind,
    max_attempts: u32,
    counts: AttemptCounts,
    outcome: Outcome,
    time_left: Duration,
) -> NextStep {
    let report = NextStep::Tell(verdict(counts, outcome));
    if time_left < MIN_RETRY_TIME || counts.total >= MAX_TOTAL_ATTEMPTS {
        return report;
    }
    match outcome {
        Outcome::NotSent => NextStep::Repeat { paid: false },
        Outcome::Refused | Outcome::Displaced => NextStep::Repeat { paid: true },
        Outcome::Failed | Outcome::Doubtful => {
            if kind.is_idempotent() && counts.maybe_run < max_attempts {
                NextStep::Repeat { paid: true }
            } else {
                report
            }
        }
    }
}

/// What keeps a call with the given attempts, the current one among them, from being sent to another
/// endpoint, whatever the endpoints and the retry budget are.
pub fn obstacle(
    kind: RouteKind,
    max_attempts: u32,
    counts: AttemptCounts,
    pin: &VersionPin,
    time_left: Duration,
) -> Option<Obstacle> {
    if !kind.is_idempotent() {
        Some(Obstacle::NotIdempotent)
    } else if *pin == VersionPin::Nowhere {
        Some(Obstacle::UnknownVersion)
    } else if counts.maybe_run >= max_attempts || counts.total >= MAX_TOTAL_ATTEMPTS {
        Some(Obstacle::AttemptsUsed)
    } else if time_left < MIN_RETRY_TIME {
        Some(Obstacle::NoTime)
    } else if !pin.may_go_on() {
        Some(Obstacle::UnprovedVersion)
    } else {
        None
    }
}

/// Longest time for which a call with `time_left` waits for a report before it is sent or refused.
pub const fn longest_report_wait(time_left: Duration) -> Duration {
    time_left.saturating_sub(MIN_RETRY_TIME)
}

/// Result that is reported to the caller if no further attempt is made.
pub const fn verdict(counts: AttemptCounts, outcome: Outcome) -> Verdict {
    match outcome {
        Outcome::Failed => Verdict::Endpoint,
        Outcome::Doubtful => Verdict::InDoubt,
        Outcome::NotSent | Outcome::Refused | Outcome::Displaced => {
            if counts.maybe_run == 0 {
                Verdict::NotRun
            } else {
                Verdict::InDoubt
            }
        }
    }
}
