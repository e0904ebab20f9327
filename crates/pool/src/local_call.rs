//! A call whose caller is connected to this VM, and the inputs that its home needs.

use crate::{Epoch, HomeInput};
use poplarswitch_entity::{Attempt, EndpointName, Incarnation, Time};
use poplarswitch_scheduler::{
    Conclusion, ConclusionKind, Dispatch, End, Ended, Fault, Input, Output, Request, Running,
    StopReason,
};

/// A dispatch of the call.
#[derive(Clone, Debug)]
pub struct Run {
    /// The endpoint that the call was sent to.
    pub endpoint: EndpointName,
    /// The number of the dispatch.
    pub attempt: Attempt,
    /// Output tokens emitted so far, including those of earlier dispatches.
    pub tokens: u32,
    /// Why the dispatch was told to stop, if it was.
    pub stop: Option<StopReason>,
}

/// State of a call.
#[derive(Clone, Debug)]
pub enum Phase {
    /// The call waits for its first dispatch.
    Waiting,
    /// The call runs at an endpoint.
    Running(Run),
    /// A dispatch has ended and the home decides what follows.
    Deciding(Run, End),
}

/// A call whose caller is connected to this VM.
#[derive(Clone, Debug)]
pub struct LocalCall {
    /// The request as submitted.
    pub request: Request,
    /// When the request was submitted.
    pub submitted_at: Time,
    /// The VM whose scheduler decides on the call.
    pub home: Incarnation,
    /// The number of the call's assignment to its home.
    pub epoch: Epoch,
    /// The state of the call.
    pub phase: Phase,
    /// When the latest progress report was sent.
    pub progress_sent: Option<Time>,
    /// Whether any dispatch, ordered by any home, may have run.
    pub may_have_run: bool,
}

/// Effect of an output of the home on the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The output applies and the call continues.
    Continues,
    /// The output applies and ends the call.
    Ended,
    /// The output does not fit the call's phase and is dropped.
    Stale,
}

impl LocalCall {
    /// Creates a call that waits for its first dispatch.
    pub const fn new(request: Request, now: Time, home: Incarnation) -> Self {
        Self {
            request,
            submitted_at: now,
            home,
            epoch: Epoch(0),
            phase: Phase::Waiting,
            progress_sent: None,
            may_have_run: false,
        }
    }

    /// The inputs that make a home schedule the call from its current state on.
    pub fn takeover_inputs(&self, now: Time) -> Vec<HomeInput> {
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
            waited: self.request.waited + now.since(self.submitted_at),
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

    /// Applies an output of the call's home.
    pub fn apply(&mut self, output: &Output) -> Applied {
        match (output, &mut self.phase) {
            (Output::Dispatch(dispatch), Phase::Deciding(run, _))
                if dispatch.attempt <= run.attempt =>
            {
                Applied::Stale
            }
            (Output::Dispatch(dispatch), Phase::Waiting | Phase::Deciding(..)) => {
                self.phase = Phase::Running(Run::from(dispatch));
                Applied::Continues
            }
            (Output::Stop(stop), Phase::Running(run))
                if run.attempt == stop.attempt && run.stop.is_none() =>
            {
                run.stop = Some(stop.reason);
                Applied::Continues
            }
            (Output::Refuse(_) | Output::Conclude(_), Phase::Waiting | Phase::Deciding(..)) => {
                Applied::Ended
            }
            _ => Applied::Stale,
        }
    }

    /// Replaces a refusal by an in-doubt conclusion if the call may have run.
    ///
    /// A refusal states that the call did not run. A home that took the call over knows only the
    /// call's last dispatch, so it may refuse a call that an earlier dispatch ran; the origin
    /// knows all dispatches.
    pub fn correct_refusal(&self, output: Output) -> Output {
        match output {
            Output::Refuse(refusal) if self.may_have_run => Output::Conclude(Conclusion {
                call: refusal.call,
                kind: ConclusionKind::InDoubt,
            }),
            output => output,
        }
    }

    /// Records the end of the current dispatch and returns whether it ends the call, or `None`
    /// if the dispatch is not the current one.
    pub fn record_end(&mut self, ended: &Ended) -> Option<bool> {
        let Phase::Running(run) = &self.phase else {
            return None;
        };
        if run.attempt != ended.attempt {
            return None;
        }
        let is_final = match (ended.end, run.stop) {
            (End::Answered { .. }, _) | (_, Some(StopReason::Cancelled)) => true,
            (End::Stopped { .. }, stop) => stop.is_none(),
            (End::Failed { .. }, _) => false,
        };
        self.may_have_run |= match ended.end {
            End::Failed { fault, .. } => matches!(fault, Fault::Lost | Fault::Errored),
            End::Answered { .. } | End::Stopped { .. } => true,
        };
        self.phase = Phase::Deciding(run.clone(), ended.end);
        Some(is_final)
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
