//! A call whose caller this VM holds, and what its home must be told.

use crate::{Epoch, HomeInput};
use poplarswitch_entity::{Attempt, EndpointName, Incarnation, Time};
use poplarswitch_scheduler::{
    Conclusion, ConclusionKind, Dispatch, End, Ended, Fault, Input, Output, Request, Running,
    StopReason,
};

/// A dispatch of the call.
#[derive(Clone, Debug)]
pub struct Run {
    /// Where it runs.
    pub endpoint: EndpointName,
    /// Its number.
    pub attempt: Attempt,
    /// Tokens emitted so far.
    pub tokens: u32,
    /// Why it was ordered to stop.
    pub stop: Option<StopReason>,
}

/// What the call is doing.
#[derive(Clone, Debug)]
pub enum Phase {
    /// Waits for its first dispatch.
    Waiting,
    /// Runs at an endpoint.
    Running(Run),
    /// A dispatch ended without a whole answer and the home decides what follows.
    Deciding(Run, End),
}

/// A call of this VM.
#[derive(Clone, Debug)]
pub struct Own {
    /// What was submitted.
    pub request: Request,
    /// When it was submitted.
    pub since: Time,
    /// Whom it follows.
    pub home: Incarnation,
    /// The ask that answers must name.
    pub epoch: Epoch,
    /// What it is doing.
    pub phase: Phase,
    /// When progress was last told to another VM.
    pub told: Option<Time>,
    /// Whether a dispatch may have run, whichever home ordered it.
    pub may_have_run: bool,
}

/// What became of an answer from the home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// The order stands and the call goes on.
    Ordered,
    /// The order stands and ends the call.
    Over,
    /// The order does not fit the call's phase and is dropped.
    Stale,
}

impl Own {
    /// Starts to wait.
    pub const fn new(request: Request, now: Time, home: Incarnation) -> Self {
        Self {
            request,
            since: now,
            home,
            epoch: Epoch(0),
            phase: Phase::Waiting,
            told: None,
            may_have_run: false,
        }
    }

    /// Everything that a home needs to take the call over.
    pub fn asks(&self, now: Time) -> Vec<HomeInput> {
        let inputs = match &self.phase {
            Phase::Waiting => vec![Input::Submit(self.resubmission(now))],
            Phase::Running(run) => vec![self.adoption(run, now)],
            Phase::Deciding(run, end) => vec![
                self.adoption(run, now),
                Input::Ended(Ended {
                    call: self.request.call,
                    attempt: run.attempt,
                    end: *end,
                }),
            ],
        };
        let epoch = self.epoch;
        let wrap = |input| HomeInput::Input { epoch, input };
        inputs.into_iter().map(wrap).collect()
    }

    fn resubmission(&self, now: Time) -> Request {
        Request {
            waited: self.request.waited + now.since(self.since),
            ..self.request.clone()
        }
    }

    fn adoption(&self, run: &Run, now: Time) -> Input {
        Input::Adopt(Running {
            request: self.resubmission(now),
            endpoint: run.endpoint.clone(),
            attempt: run.attempt,
            tokens: run.tokens,
        })
    }

    /// Applies an order of the home that the call follows.
    pub fn take(&mut self, output: &Output) -> Taken {
        match (output, &mut self.phase) {
            (Output::Dispatch(dispatch), Phase::Deciding(run, _))
                if dispatch.attempt <= run.attempt =>
            {
                Taken::Stale
            }
            (Output::Dispatch(dispatch), Phase::Waiting | Phase::Deciding(..)) => {
                self.phase = Phase::Running(Run::from(dispatch));
                Taken::Ordered
            }
            (Output::Stop(stop), Phase::Running(run))
                if run.attempt == stop.attempt && run.stop.is_none() =>
            {
                run.stop = Some(stop.reason);
                Taken::Ordered
            }
            (Output::Refuse(_) | Output::Conclude(_), Phase::Waiting | Phase::Deciding(..)) => {
                Taken::Over
            }
            _ => Taken::Stale,
        }
    }

    /// The order as the caller may hear it.
    ///
    /// A home that took the call over knows only its last dispatch, so it may think that
    /// the call never ran; the origin knows all of them.
    pub fn truthful(&self, output: Output) -> Output {
        match output {
            Output::Refuse(refusal) if self.may_have_run => Output::Conclude(Conclusion {
                call: refusal.call,
                kind: ConclusionKind::InDoubt,
            }),
            output => output,
        }
    }

    /// Records the end of the present dispatch; says whether it ends the call, or nothing
    /// if the dispatch is not the present one.
    pub fn ended(&mut self, ended: &Ended) -> Option<bool> {
        let Phase::Running(run) = &self.phase else {
            return None;
        };
        if run.attempt != ended.attempt {
            return None;
        }
        let over = match (ended.end, run.stop) {
            (End::Answered { .. }, _) | (_, Some(StopReason::Cancelled)) => true,
            (End::Stopped { .. }, stop) => stop.is_none(),
            (End::Failed { .. }, _) => false,
        };
        self.may_have_run |= match ended.end {
            End::Failed { fault, .. } => matches!(fault, Fault::Lost | Fault::Errored),
            End::Answered { .. } | End::Stopped { .. } => true,
        };
        self.phase = Phase::Deciding(run.clone(), ended.end);
        Some(over)
    }
}

impl From<&Dispatch> for Run {
    fn from(dispatch: &Dispatch) -> Self {
        Self {
            endpoint: dispatch.endpoint.clone(),
            attempt: dispatch.attempt,
            tokens: 0,
            stop: None,
        }
    }
}
