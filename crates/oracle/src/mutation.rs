//! Deliberate faults that the oracle has to detect.
//!
//! A mutation changes the outputs of the code under test before the oracle checks them, as a
//! fault in that code would.

use core::time::Duration;
use poplarswitch_entity::Attempt;
use poplarswitch_scheduler::{
    Conclusion, ConclusionKind, Dispatch, Mode, Output, Refusal, RefusalReason, Stop, StopReason,
};

/// A deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Refuses a call as overload instead of dispatching its first attempt.
    RefuseFirstAttempt,
    /// Preempts every dispatch immediately.
    PreemptImmediately,
    /// Drops every refusal and every conclusion of a call.
    DropCallEnds,
    /// Drops the first dispatch of every call.
    DropFirstDispatches,
    /// Refuses a call, as not run, that failed or is in doubt.
    RefuseAfterRun,
    /// Dispatches a call again that failed or is in doubt.
    RepeatAfterRun,
    /// Dispatches every call twice at the same time.
    DispatchTwice,
    /// Gives every dispatch of a call the attempt number 0.
    RepeatAttemptNumber,
    /// Starts a resumed stream from its beginning.
    RestartStream,
    /// Sends every call to one endpoint.
    OverloadEndpoint,
    /// Reports a refused call as in doubt.
    DoubtRefused,
}

impl Mutation {
    /// Replaces one output of the code under test.
    pub fn apply(self, output: Output) -> Vec<Output> {
        match (self, output) {
            (Self::RefuseFirstAttempt, Output::Dispatch(dispatch)) => refuse_first(dispatch),
            (Self::PreemptImmediately, Output::Dispatch(dispatch)) => preempt_immediately(dispatch),
            (Self::DropCallEnds, Output::Refuse(_) | Output::Conclude(_)) => Vec::new(),
            (Self::DropFirstDispatches, Output::Dispatch(dispatch)) if dispatch.attempt.0 == 0 => {
                Vec::new()
            }
            (Self::RefuseAfterRun, Output::Conclude(conclusion)) => {
                vec![refuse_concluded(conclusion)]
            }
            (Self::RepeatAfterRun, Output::Conclude(conclusion)) => {
                vec![dispatch_again(conclusion)]
            }
            (Self::DispatchTwice, Output::Dispatch(dispatch)) => dispatch_twice(dispatch),
            (Self::RepeatAttemptNumber, Output::Dispatch(dispatch)) => {
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
            (Self::OverloadEndpoint, Output::Dispatch(dispatch)) => {
                let endpoint = "e0".into();
                vec![Output::Dispatch(Dispatch {
                    endpoint,
                    ..dispatch
                })]
            }
            (Self::DoubtRefused, Output::Refuse(refusal)) => vec![doubt_refused(refusal)],
            (_, output) => vec![output],
        }
    }
}

fn refuse_first(dispatch: Dispatch) -> Vec<Output> {
    if dispatch.attempt.0 > 0 {
        return vec![Output::Dispatch(dispatch)];
    }
    vec![Output::Refuse(Refusal {
        call: dispatch.call,
        reason: RefusalReason::Overload,
        retry_after: Duration::from_secs(1),
    })]
}

fn preempt_immediately(dispatch: Dispatch) -> Vec<Output> {
    let stop = Stop {
        call: dispatch.call,
        attempt: dispatch.attempt,
        reason: StopReason::Preempted,
    };
    vec![Output::Dispatch(dispatch), Output::Stop(stop)]
}

const fn refuse_concluded(conclusion: Conclusion) -> Output {
    Output::Refuse(Refusal {
        call: conclusion.call,
        reason: RefusalReason::NoEndpoint,
        retry_after: Duration::from_secs(1),
    })
}

fn dispatch_again(conclusion: Conclusion) -> Output {
    Output::Dispatch(Dispatch {
        call: conclusion.call,
        endpoint: "s0".into(),
        attempt: Attempt(1_000),
        mode: Mode::Resume { emitted: 1_000 },
    })
}

fn dispatch_twice(dispatch: Dispatch) -> Vec<Output> {
    let attempt = dispatch.attempt.next();
    let duplicate = Dispatch {
        attempt,
        ..dispatch.clone()
    };
    vec![Output::Dispatch(dispatch), Output::Dispatch(duplicate)]
}

const fn doubt_refused(refusal: Refusal) -> Output {
    Output::Conclude(Conclusion {
        call: refusal.call,
        kind: ConclusionKind::InDoubt,
    })
}
