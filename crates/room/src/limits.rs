//! Predicted starts that a call accepts.
//!
//! Answers this load: a burst asks for more than the engines can start in time for some seconds.
//! Calls that are sent late make those behind them late too, so a call that yields to others is
//! refused unless an engine is expected to start it in time. A call that doesn't yield is sent late
//! as long as its answer is still useful.

use core::time::Duration;

/// Fraction of the objective within which the predicted first event counts as in time; predictions
/// are off by about a quarter.
const ON_TIME_FRACTION: f64 = 0.75;
/// Fraction of the remaining time within which a call that doesn't yield must be expected to start;
/// until then a late answer is still useful.
const LATE_FRACTION: f64 = 0.5;
/// Fraction of the route's time that callers have left at least when they call for the first time;
/// callers' own limits are somewhat below the route's.
const FIRST_CALL_FRACTION: f64 = 0.8;

/// The times of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimes {
    /// Latency objective of the route.
    pub objective: Option<Duration>,
    /// Maximum time that the route allows.
    pub timeout: Option<Duration>,
    /// Time from the arrival to the deadline.
    pub total: Duration,
    /// Time until the deadline.
    pub left: Duration,
}

/// Predicted starts that a call accepts, counted from now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartLimits {
    /// The call is sent to the first engine of its order that is expected to start it within this.
    pub in_time: Duration,
    /// If no engine is, the call is sent to the engine that is expected to start it soonest, within
    /// this.
    pub late: Duration,
}

impl CallTimes {
    /// Whether the caller has spent a part of its time before, probably with a call that was refused.
    pub fn is_return(&self) -> bool {
        let timeout = self.timeout.unwrap_or(self.total);
        self.total < timeout.mul_f64(FIRST_CALL_FRACTION)
    }

    /// Predicted starts that the call accepts; `yields` if it gives way to calls that can still be in
    /// time. An objective above the deadline counts as the deadline.
    pub fn limits(&self, yields: bool) -> StartLimits {
        let objective = self.objective.unwrap_or(self.left).min(self.total);
        StartLimits {
            in_time: objective.mul_f64(ON_TIME_FRACTION),
            late: if yields {
                Duration::ZERO
            } else {
                self.left.mul_f64(LATE_FRACTION)
            },
        }
    }
}

impl StartLimits {
    /// The latest predicted start that is accepted.
    pub fn latest(&self) -> Duration {
        self.in_time.max(self.late)
    }
}
