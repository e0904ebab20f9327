//! What an attempt proves, and what follows from it.
//!
//! One type decides both whether a call may be repeated and what its caller may be told. A call
//! that may run only once is repeated, and called "not run", only where no endpoint can have
//! begun it.

use crate::config::RouteKind;
use core::time::Duration;

/// What is known of an attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No byte was handed to the connection.
    NotSent,
    /// The endpoint said that it did not run the call.
    Refused,
    /// Another process answers at the endpoint's address; it did not run the call.
    Displaced,
    /// The endpoint ran the call and reports a failure.
    Failed,
    /// The endpoint may have run the call.
    Doubtful,
}

/// What has been spent on a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Endpoints that may have run it.
    pub maybe_run: u32,
    /// Endpoints that were tried at all.
    pub total: u32,
}

/// What the caller is told in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has not run and never will.
    NotRun,
    /// The endpoint's own failure is passed on.
    Endpoint,
    /// It may have run.
    InDoubt,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try another endpoint; a repeat that reaches an endpoint is paid from the budget.
    Repeat {
        /// Whether the budget must allow it.
        paid: bool,
    },
    /// Tell the caller.
    Tell(Verdict),
}

/// Attempts of a call that no endpoint has begun; bounds the work on one call.
const MOST_TRIES: u32 = 4;
/// A repeat with less time than this can't be answered.
const LEAST_TIME: Duration = Duration::from_millis(20);

impl Outcome {
    /// Whether an endpoint may have begun the call.
    pub const fn may_have_run(self) -> bool {
        matches!(self, Self::Failed | Self::Doubtful)
    }
}

/// What follows from an attempt, given the attempts so far and the time left.
pub fn next_step(
    kind: RouteKind,
    attempts: u32,
    tries: AttemptCounts,
    outcome: Outcome,
    left: Duration,
) -> NextStep {
    let end = NextStep::Tell(verdict(tries, outcome));
    if left < LEAST_TIME || tries.total >= MOST_TRIES {
        return end;
    }
    match outcome {
        Outcome::NotSent => NextStep::Repeat { paid: false },
        Outcome::Refused | Outcome::Displaced => NextStep::Repeat { paid: true },
        Outcome::Failed | Outcome::Doubtful => {
            if kind.is_idempotent() && tries.maybe_run < attempts {
                NextStep::Repeat { paid: true }
            } else {
                end
            }
        }
    }
}

/// What the caller is told if nothing more is tried.
pub const fn verdict(tries: AttemptCounts, outcome: Outcome) -> Verdict {
    match outcome {
        Outcome::Failed => Verdict::Endpoint,
        Outcome::Doubtful => Verdict::InDoubt,
        Outcome::NotSent | Outcome::Refused | Outcome::Displaced => {
            if tries.maybe_run == 0 {
                Verdict::NotRun
            } else {
                Verdict::InDoubt
            }
        }
    }
}
