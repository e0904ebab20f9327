//! The home's side: the scheduler and the calls that it orders, own and of other VMs.

use crate::{Epoch, HomeInput, HomeOutput};
use poplarswitch_catalog::Catalog;
use poplarswitch_entity::{Attempt, CallId, Incarnation, Time};
use poplarswitch_scheduler::{
    End, Ended, Fault, Input, Output, Policy, Running, Scheduler, Stop, StopReason,
};
use std::{collections::BTreeMap, sync::Arc};

/// A call that the scheduler orders.
#[derive(Clone, Copy, Debug)]
struct Guest {
    epoch: Epoch,
    running: Option<Attempt>,
    preempted: bool,
    /// Whether its origin wants to hear no more of it.
    released: bool,
}

/// The scheduler and the asks behind its calls.
#[derive(Debug)]
pub struct Desk {
    scheduler: Scheduler,
    guests: BTreeMap<CallId, Guest>,
    orders: Vec<Output>,
}

impl Desk {
    /// Starts without calls.
    pub fn new(catalog: Arc<Catalog>, policy: Policy, seed: u64) -> Self {
        Self {
            scheduler: Scheduler::new(catalog, policy, seed),
            guests: BTreeMap::new(),
            orders: Vec::new(),
        }
    }

    /// The scheduler.
    pub const fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Calls of other VMs.
    pub fn guests(&self, me: Incarnation) -> usize {
        self.guests.keys().filter(|call| call.origin != me).count()
    }

    /// Puts a new set into force.
    pub fn reload(&mut self, now: Time, catalog: Arc<Catalog>, out: &mut Vec<HomeOutput>) {
        self.scheduler.reload(now, catalog, &mut self.orders);
        self.answer(out);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time, out: &mut Vec<HomeOutput>) {
        self.scheduler.tick(now, &mut self.orders);
        self.answer(out);
    }

    /// Takes a report on an endpoint.
    pub fn report(&mut self, now: Time, input: Input, out: &mut Vec<HomeOutput>) {
        self.feed(now, input, out);
    }

    /// Does what an origin asks; a call of another origin is left alone.
    pub fn apply(
        &mut self,
        now: Time,
        from: Incarnation,
        input: HomeInput,
        out: &mut Vec<HomeOutput>,
    ) {
        match input {
            HomeInput::Input { epoch, input } => self.input(now, from, epoch, input, out),
            HomeInput::Release(call) if call.origin == from => self.release(now, call, out),
            HomeInput::Release(_) => {}
        }
    }

    fn input(
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
                self.admit(request.call, epoch, None);
                self.feed(now, Input::Submit(request), out);
            }
            Input::Adopt(running) if running.request.call.origin == from => {
                self.adopt(now, epoch, running, out);
            }
            Input::Ended(ended) if ended.call.origin == from => self.ended(now, ended, out),
            Input::Progress(progress) if self.guests.contains_key(&progress.call) => {
                self.feed(now, input, out);
            }
            Input::Cancel(call) if call.origin == from => self.release(now, call, out),
            _ => {}
        }
    }

    fn admit(&mut self, call: CallId, epoch: Epoch, running: Option<Attempt>) {
        let guest = Guest {
            epoch,
            running,
            preempted: false,
            released: false,
        };
        self.guests.insert(call, guest);
    }

    fn adopt(&mut self, now: Time, epoch: Epoch, running: Running, out: &mut Vec<HomeOutput>) {
        let call = running.request.call;
        self.release(now, call, out);
        self.admit(call, epoch, Some(running.attempt));
        self.feed(now, Input::Adopt(running), out);
    }

    fn ended(&mut self, now: Time, ended: Ended, out: &mut Vec<HomeOutput>) {
        let Some(guest) = self.guests.get_mut(&ended.call) else {
            return;
        };
        if guest.running != Some(ended.attempt) {
            // The session is older than this desk's memory; the origin knows that it is over.
            if matches!(ended.end, End::Answered { .. }) {
                self.release(now, ended.call, out);
            }
            return;
        }
        guest.running = None;
        let preempted = core::mem::take(&mut guest.preempted);
        let end = if preempted {
            ended.end
        } else {
            told_anew(ended.end)
        };
        self.feed(now, Input::Ended(Ended { end, ..ended }), out);
        if matches!(end, End::Answered { .. }) {
            self.guests.remove(&ended.call);
        }
    }

    /// Takes a call out of the scheduler.
    ///
    /// The passing of time alone may dispatch it before the scheduler hears of the release,
    /// so whether it runs is known only afterwards.
    fn release(&mut self, now: Time, call: CallId, out: &mut Vec<HomeOutput>) {
        let Some(guest) = self.guests.get_mut(&call) else {
            return;
        };
        guest.released = true;
        self.feed(now, Input::Cancel(call), out);
        let guest = self.guests.remove(&call);
        let Some(attempt) = guest.and_then(|guest| guest.running) else {
            return;
        };
        let end = End::Stopped { emitted: 0 };
        let ended = Ended { call, attempt, end };
        self.feed(now, Input::Ended(ended), out);
    }

    /// Forgets every call of an origin and frees their slots.
    pub fn release_all(&mut self, now: Time, origin: Incarnation, out: &mut Vec<HomeOutput>) {
        let first = CallId { origin, seq: 0 };
        let last = CallId {
            origin,
            seq: u64::MAX,
        };
        let calls: Vec<CallId> = self.guests.range(first..=last).map(|(id, _)| *id).collect();
        for call in calls {
            self.release(now, call, out);
        }
    }

    fn feed(&mut self, now: Time, input: Input, out: &mut Vec<HomeOutput>) {
        self.scheduler.handle(now, input, &mut self.orders);
        self.answer(out);
    }

    fn answer(&mut self, out: &mut Vec<HomeOutput>) {
        for output in self.orders.drain(..) {
            let call = output.call();
            let Some(guest) = self.guests.get_mut(&call) else {
                continue;
            };
            let (epoch, released) = (guest.epoch, guest.released);
            match output {
                Output::Dispatch(ref dispatch) => guest.running = Some(dispatch.attempt),
                Output::Stop(Stop { reason, .. }) => {
                    guest.preempted = reason == StopReason::Preempted;
                }
                Output::Refuse(_) | Output::Conclude(_) => {
                    self.guests.remove(&call);
                }
            }
            if !released {
                out.push(HomeOutput { epoch, output });
            }
        }
    }
}

/// The end as a scheduler must hear it that did not order the stop itself.
///
/// Another home preempted the call and lost it before the dispatch ended.
const fn told_anew(end: End) -> End {
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
