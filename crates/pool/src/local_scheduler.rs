//! The scheduler of this VM, with the calls of this and of other VMs that it decides on.

use crate::{Epoch, HomeInput, HomeOutput};
use poplarswitch_catalog::Catalog;
use poplarswitch_entity::{Attempt, CallId, Incarnation, Time};
use poplarswitch_scheduler::{
    End, Ended, Fault, Input, Output, Policy, Running, Scheduler, Stop, StopReason,
};
use std::{collections::BTreeMap, sync::Arc};

/// A call that the scheduler decides on.
#[derive(Clone, Copy, Debug)]
struct ScheduledCall {
    epoch: Epoch,
    /// The dispatch that is running.
    running: Option<Attempt>,
    /// Whether this scheduler has preempted the running dispatch.
    preempted: bool,
    /// Whether the origin has released the call and gets no more outputs for it.
    released: bool,
}

/// The scheduler and the state of its calls.
#[derive(Debug)]
pub struct LocalScheduler {
    scheduler: Scheduler,
    calls: BTreeMap<CallId, ScheduledCall>,
    /// Buffer for the scheduler's outputs, empty between inputs.
    outputs: Vec<Output>,
}

impl LocalScheduler {
    /// Creates a scheduler without calls.
    pub fn new(catalog: Arc<Catalog>, policy: Policy, seed: u64) -> Self {
        Self {
            scheduler: Scheduler::new(catalog, policy, seed),
            calls: BTreeMap::new(),
            outputs: Vec::new(),
        }
    }

    /// The wrapped scheduler.
    pub const fn inner(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Number of calls whose origin is another VM.
    pub fn foreign_calls(&self, me: Incarnation) -> usize {
        self.calls.keys().filter(|call| call.origin != me).count()
    }

    /// Replaces the set.
    pub fn reload(&mut self, now: Time, catalog: Arc<Catalog>, out: &mut Vec<HomeOutput>) {
        self.scheduler.reload(now, catalog, &mut self.outputs);
        self.collect_outputs(out);
    }

    /// Handles the scheduler's time-outs that are due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<HomeOutput>) {
        self.scheduler.tick(now, &mut self.outputs);
        self.collect_outputs(out);
    }

    /// Passes a load report or cache event of an endpoint to the scheduler.
    pub fn record_report(&mut self, now: Time, input: Input, out: &mut Vec<HomeOutput>) {
        self.handle(now, input, out);
    }

    /// Applies an input from an origin.
    ///
    /// Submissions, ends and releases of another origin's calls are ignored.
    pub fn apply(
        &mut self,
        now: Time,
        from: Incarnation,
        input: HomeInput,
        out: &mut Vec<HomeOutput>,
    ) {
        match input {
            HomeInput::Input { epoch, input } => self.apply_input(now, from, epoch, input, out),
            HomeInput::Release(call) if call.origin == from => self.release(now, call, out),
            HomeInput::Release(_) => {}
        }
    }

    fn apply_input(
        &mut self,
        now: Time,
        from: Incarnation,
        epoch: Epoch,
        input: Input,
        out: &mut Vec<HomeOutput>,
    ) {
        match input {
            Input::Submit(request) if request.call.origin == from => {
                self.release(now, request.call, out);
                self.insert(request.call, epoch, None);
                self.handle(now, Input::Submit(request), out);
            }
            Input::Adopt(running) if running.request.call.origin == from => {
                self.adopt(now, epoch, running, out);
            }
            Input::Ended(ended) if ended.call.origin == from => self.handle_end(now, ended, out),
            Input::Progress(progress) if self.calls.contains_key(&progress.call) => {
                self.handle(now, input, out);
            }
            Input::Cancel(call) if call.origin == from => self.release(now, call, out),
            _ => {}
        }
    }

    fn insert(&mut self, call: CallId, epoch: Epoch, running: Option<Attempt>) {
        let state = ScheduledCall {
            epoch,
            running,
            preempted: false,
            released: false,
        };
        self.calls.insert(call, state);
    }

    fn adopt(&mut self, now: Time, epoch: Epoch, running: Running, out: &mut Vec<HomeOutput>) {
        let call = running.request.call;
        self.release(now, call, out);
        self.insert(call, epoch, Some(running.attempt));
        self.handle(now, Input::Adopt(running), out);
    }

    fn handle_end(&mut self, now: Time, ended: Ended, out: &mut Vec<HomeOutput>) {
        let Some(state) = self.calls.get_mut(&ended.call) else {
            return;
        };
        if state.running != Some(ended.attempt) {
            // The scheduler does not know the dispatch, because its record of the call is newer than
            // the session. An answered call is over at its origin and is released.
            if matches!(ended.end, End::Answered { .. }) {
                self.release(now, ended.call, out);
            }
            return;
        }
        state.running = None;
        let preempted = core::mem::take(&mut state.preempted);
        let end = if preempted {
            ended.end
        } else {
            stop_as_failure(ended.end)
        };
        self.handle(now, Input::Ended(Ended { end, ..ended }), out);
        if matches!(end, End::Answered { .. }) {
            self.calls.remove(&ended.call);
        }
    }

    /// Removes a call from the scheduler.
    ///
    /// The scheduler handles its due time-outs before the cancellation and may dispatch the call
    /// then, so whether a dispatch has to be ended is known only after the cancellation.
    fn release(&mut self, now: Time, call: CallId, out: &mut Vec<HomeOutput>) {
        let Some(state) = self.calls.get_mut(&call) else {
            return;
        };
        state.released = true;
        self.handle(now, Input::Cancel(call), out);
        let state = self.calls.remove(&call);
        let Some(attempt) = state.and_then(|state| state.running) else {
            return;
        };
        let end = End::Stopped { emitted: 0 };
        let ended = Ended { call, attempt, end };
        self.handle(now, Input::Ended(ended), out);
    }

    /// Releases all calls of an origin and frees their slots.
    pub fn release_all(&mut self, now: Time, origin: Incarnation, out: &mut Vec<HomeOutput>) {
        let first = CallId { origin, seq: 0 };
        let last = CallId {
            origin,
            seq: u64::MAX,
        };
        let calls: Vec<CallId> = self.calls.range(first..=last).map(|(id, _)| *id).collect();
        for call in calls {
            self.release(now, call, out);
        }
    }

    fn handle(&mut self, now: Time, input: Input, out: &mut Vec<HomeOutput>) {
        self.scheduler.handle(now, input, &mut self.outputs);
        self.collect_outputs(out);
    }

    fn collect_outputs(&mut self, out: &mut Vec<HomeOutput>) {
        for output in self.outputs.drain(..) {
            let call = output.call();
            let Some(state) = self.calls.get_mut(&call) else {
                continue;
            };
            let (epoch, released) = (state.epoch, state.released);
            match output {
                Output::Dispatch(ref dispatch) => state.running = Some(dispatch.attempt),
                Output::Stop(Stop { reason, .. }) => {
                    state.preempted = reason == StopReason::Preempted;
                }
                Output::Refuse(_) | Output::Conclude(_) => {
                    self.calls.remove(&call);
                }
            }
            if !released {
                out.push(HomeOutput { epoch, output });
            }
        }
    }
}

/// Converts a stopped end into a failed one, for a scheduler that did not order the stop.
///
/// This happens when another home preempted the call, and the call was moved away from that home
/// before the dispatch ended.
const fn stop_as_failure(end: End) -> End {
    match end {
        End::Stopped { emitted } => {
            let fault = if emitted == 0 {
                Fault::Declined
            } else {
                Fault::Lost
            };
            End::Failed { fault, emitted }
        }
        End::Answered { .. } | End::Failed { .. } => end,
    }
}
