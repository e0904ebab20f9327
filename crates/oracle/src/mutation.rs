//! Deliberate faults, to show that the oracle catches each kind.
//!
//! A mutation changes the orders on their way from the code under test to the oracle, as a
//! fault in the code would.

use core::time::Duration;
use poplarswitch_entity::Attempt;
use poplarswitch_scheduler::{
    Conclusion, ConclusionKind, Dispatch, Mode, Output, Refusal, RefusalReason, Stop, StopReason,
};

/// A deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Refuse the first attempt of a booking instead of dispatching it.
    RefuseBooking,
    /// Preempt a booking as soon as it runs.
    PreemptBooking,
    /// Lose every refusal and verdict.
    DropEnds,
    /// Lose every first dispatch.
    DropDispatches,
    /// Tell not run where the call is in doubt or failed.
    RefuseAfterRun,
    /// Dispatch again where a call is in doubt.
    RepeatAfterRun,
    /// Dispatch twice at once.
    DispatchTwice,
    /// Repeat the number of an attempt.
    RepeatAttempt,
    /// Start a resumed stream from its beginning.
    RestartStream,
    /// Send every model call to one endpoint.
    CrowdEndpoint,
    /// Tell in doubt where the call was not run.
    DoubtIdle,
}

impl Mutation {
    /// Changes one order.
    pub fn apply(self, order: Output) -> Vec<Output> {
        match (self, order) {
            (Self::RefuseBooking, Output::Dispatch(dispatch)) => refuse_booking(dispatch),
            (Self::PreemptBooking, Output::Dispatch(dispatch)) => preempt(dispatch),
            (Self::DropEnds, Output::Refuse(_) | Output::Conclude(_)) => Vec::new(),
            (Self::DropDispatches, Output::Dispatch(dispatch)) if dispatch.attempt.0 == 0 => {
                Vec::new()
            }
            (Self::RefuseAfterRun, Output::Conclude(verdict)) => vec![refuse(verdict)],
            (Self::RepeatAfterRun, Output::Conclude(verdict)) => vec![repeat(verdict)],
            (Self::DispatchTwice, Output::Dispatch(dispatch)) => twice(dispatch),
            (Self::RepeatAttempt, Output::Dispatch(dispatch)) => {
                let attempt = Attempt(0);
                vec![Output::Dispatch(Dispatch {
                    attempt,
                    ..dispatch
                })]
            }
            (Self::RestartStream, Output::Dispatch(dispatch)) => {
                let mode = Mode::Fresh;
                vec![Output::Dispatch(Dispatch { mode, ..dispatch })]
            }
            (Self::CrowdEndpoint, Output::Dispatch(dispatch)) => {
                let endpoint = "e0".into();
                vec![Output::Dispatch(Dispatch {
                    endpoint,
                    ..dispatch
                })]
            }
            (Self::DoubtIdle, Output::Refuse(refusal)) => vec![doubt(refusal)],
            (_, order) => vec![order],
        }
    }
}

fn refuse_booking(dispatch: Dispatch) -> Vec<Output> {
    if dispatch.attempt.0 > 0 {
        return vec![Output::Dispatch(dispatch)];
    }
    vec![Output::Refuse(Refusal {
        call: dispatch.call,
        reason: RefusalReason::Overload,
        retry_after: Duration::from_secs(1),
    })]
}

fn preempt(dispatch: Dispatch) -> Vec<Output> {
    let stop = Stop {
        call: dispatch.call,
        attempt: dispatch.attempt,
        reason: StopReason::Preempted,
    };
    vec![Output::Dispatch(dispatch), Output::Stop(stop)]
}

const fn refuse(verdict: Conclusion) -> Output {
    Output::Refuse(Refusal {
        call: verdict.call,
        reason: RefusalReason::NoEndpoint,
        retry_after: Duration::from_secs(1),
    })
}

fn repeat(verdict: Conclusion) -> Output {
    Output::Dispatch(Dispatch {
        call: verdict.call,
        endpoint: "s0".into(),
        attempt: Attempt(1_000),
        mode: Mode::Resume { emitted: 1_000 },
    })
}

fn twice(dispatch: Dispatch) -> Vec<Output> {
    let attempt = dispatch.attempt.next();
    let again = Dispatch {
        attempt,
        ..dispatch.clone()
    };
    vec![Output::Dispatch(dispatch), Output::Dispatch(again)]
}

const fn doubt(refusal: Refusal) -> Output {
    Output::Conclude(Conclusion {
        call: refusal.call,
        kind: ConclusionKind::InDoubt,
    })
}
