//! The state machine of one VM: its local calls, its scheduler and its sessions with other VMs.
//!
//! A local call is a call whose caller is connected to this VM. Each local call is assigned to a
//! home, the VM whose scheduler decides on it. When the home changes, because members join or
//! leave or a home is suspected, the call is released at the old home and submitted to the new
//! one under a new epoch, together with its running dispatch if it has one.

use crate::{
    Counters, HomeInput, HomeOutput, Input, Mutation, Output, Status,
    local_call::{Applied, LocalCall, Phase},
    local_scheduler::LocalScheduler,
    ranking::Ranking,
    sessions::{Event, LEASE_DURATION, Sessions},
};
use core::time::Duration;
use poplarswitch_catalog::{Catalog, Route};
use poplarswitch_entity::{CallId, Incarnation, Time};
use poplarswitch_scheduler::{
    self as scheduler, End, Ended, Policy, Progress, Request, Stop, StopReason,
};
use std::{collections::BTreeMap, sync::Arc};

/// Shortest time between two progress reports of a call to a home on another VM.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(4);
/// Lateness of a wake-up above which this process is assumed to have been paused.
const STALL_THRESHOLD: Duration = Duration::from_millis(150);

/// One VM's part in scheduling the pools of its cell.
#[derive(Debug)]
pub struct Pool {
    me: Incarnation,
    scheduler: LocalScheduler,
    sessions: Sessions,
    ranking: Ranking,
    local: BTreeMap<CallId, LocalCall>,
    /// Outputs of the scheduler that have not been delivered to their origins yet.
    outputs: Vec<HomeOutput>,
    counters: Counters,
    /// When the next `tick` is due, as of the end of the last input or tick.
    expected_wake: Option<Time>,
    mutation: Option<Mutation>,
}

impl Pool {
    /// Creates the pool of a VM without peers, which is the home of every route.
    pub fn new(me: Incarnation, catalog: Arc<Catalog>, policy: Policy, seed: u64) -> Self {
        Self {
            me,
            scheduler: LocalScheduler::new(catalog, policy, seed),
            sessions: Sessions::default(),
            ranking: Ranking::default(),
            local: BTreeMap::new(),
            outputs: Vec::new(),
            counters: Counters::default(),
            expected_wake: None,
            mutation: None,
        }
    }

    /// Injects a deliberate fault.
    #[cfg(feature = "mutation")]
    pub const fn mutate(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
        self.sessions.mutation = Some(mutation);
    }

    /// Handles one input and appends the outputs that follow from it.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.handle_stall(now, out);
        match input {
            Input::Local(input) => self.handle_local(now, input, out),
            Input::Peer { from, message } => {
                self.counters.received += 1;
                let mut events = Vec::new();
                self.sessions.receive(now, from, message, &mut events);
                self.handle_events(now, events, out);
            }
            Input::Members(members) => {
                if self.ranking.replace(members) {
                    self.sessions.retain(now, self.ranking.members());
                    self.reassign_calls(now, out);
                }
            }
        }
        self.flush(now, out);
    }

    /// Handles the time-outs that are due and appends the outputs that follow from them.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.handle_stall(now, out);
        let mut events = Vec::new();
        self.sessions.tick(now, self.ranking.members(), &mut events);
        self.handle_events(now, events, out);
        self.scheduler.tick(now, &mut self.outputs);
        self.flush(now, out);
    }

    /// The time at which `tick` has to be called next.
    pub fn next_wake(&self) -> Option<Time> {
        let wakes = [
            self.sessions.next_wake(),
            self.scheduler.inner().next_wake(),
        ];
        wakes.into_iter().flatten().min()
    }

    /// Replaces the set; queued and running calls are kept.
    pub fn reload(&mut self, now: Time, catalog: Arc<Catalog>, out: &mut Vec<Output>) {
        self.scheduler.reload(now, catalog, &mut self.outputs);
        self.flush(now, out);
    }

    /// The home of a route as far as this VM knows.
    ///
    /// Only the home needs the load reports and cache events of the route's endpoints.
    pub fn home_of(&self, route: &Route) -> Incarnation {
        self.first_trusted(&self.ranking.rank(route))
    }

    /// The incarnation of this VM.
    pub const fn me(&self) -> Incarnation {
        self.me
    }

    /// Counts of events since the start of the process.
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The current state.
    pub fn status(&self) -> Status {
        let scheduled_here = |local: &&LocalCall| local.home == self.me;
        let is_fallback = |local: &&LocalCall| {
            let candidates = self.ranking.rank(&local.request.route);
            local.home == self.me && candidates.first().is_some_and(|first| *first != self.me)
        };
        let is_peer = |member: &&Incarnation| **member != self.me;
        let scheduler = self.scheduler.inner();
        Status {
            local: self.local.len(),
            remote: self.local.len() - self.local.values().filter(scheduled_here).count(),
            fallback: self.local.values().filter(is_fallback).count(),
            foreign: self.scheduler.foreign_calls(self.me),
            queued: scheduler.queued(),
            in_flight: scheduler.in_flight(),
            peers: self.ranking.members().iter().filter(is_peer).count(),
            suspects: self.sessions.suspects(),
        }
    }

    /// Resets the time-outs if this process was paused, so that no peer is suspected for silence
    /// during the pause.
    ///
    /// After a pause longer than the lease, the homes have released this VM's calls, so all of
    /// them are submitted again in new sessions.
    fn handle_stall(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(due) = self
            .expected_wake
            .take()
            .filter(|due| now > *due + STALL_THRESHOLD)
        else {
            return;
        };
        self.sessions.reset_timers(now);
        if now <= due + LEASE_DURATION {
            return;
        }
        for home in self.sessions.close_as_origin() {
            self.counters.resets += 1;
            self.resubmit_all(now, home, out);
        }
    }

    fn flush(&mut self, now: Time, out: &mut Vec<Output>) {
        self.deliver_outputs(out);
        self.sessions.flush(now, &mut self.counters, out);
        self.expected_wake = self.next_wake();
    }

    fn handle_local(&mut self, now: Time, input: scheduler::Input, out: &mut Vec<Output>) {
        match input {
            scheduler::Input::Submit(request) => self.submit(now, request, out),
            scheduler::Input::Adopt(_) => {}
            scheduler::Input::Cancel(call) => self.cancel(now, call, out),
            scheduler::Input::Progress(progress) => self.record_progress(now, progress),
            scheduler::Input::Ended(ended) => self.handle_end(now, ended),
            scheduler::Input::Load(_) | scheduler::Input::Cache(_) => {
                self.scheduler.record_report(now, input, &mut self.outputs);
            }
        }
    }

    fn submit(&mut self, now: Time, request: Request, out: &mut Vec<Output>) {
        let call = request.call;
        if call.origin != self.me || self.local.contains_key(&call) {
            return;
        }
        let home = self.select_home(&request.route);
        let local = LocalCall::new(request, now, home);
        let inputs = local.takeover_inputs(now);
        self.local.insert(call, local);
        self.sessions.assign(home);
        self.send_all(now, home, inputs, out);
    }

    fn cancel(&mut self, now: Time, call: CallId, out: &mut Vec<Output>) {
        let Some(local) = self.local.get_mut(&call) else {
            return;
        };
        let Phase::Running(run) = &mut local.phase else {
            let home = local.home;
            self.release(now, home, call);
            self.remove_call(call);
            return;
        };
        if run.stop.replace(StopReason::Cancelled).is_none() {
            out.push(Output::Local(scheduler::Output::Stop(Stop {
                call,
                attempt: run.attempt,
                reason: StopReason::Cancelled,
            })));
        }
    }

    fn record_progress(&mut self, now: Time, progress: Progress) {
        let Some(local) = self.local.get_mut(&progress.call) else {
            return;
        };
        let Phase::Running(run) = &mut local.phase else {
            return;
        };
        if run.attempt != progress.attempt {
            return;
        }
        run.tokens = run.tokens.max(progress.tokens);
        let recent = local
            .progress_sent
            .is_some_and(|sent| now < sent + PROGRESS_INTERVAL);
        if local.home != self.me && recent {
            return;
        }
        let first = local.progress_sent.replace(now).is_none();
        let (epoch, home) = (local.epoch, local.home);
        let input = scheduler::Input::Progress(progress);
        let input = HomeInput::Input { epoch, input };
        if first || home == self.me {
            self.send(now, home, input);
        } else {
            self.sessions.send_deferred(now, home, input);
        }
    }

    fn handle_end(&mut self, now: Time, ended: Ended) {
        let Some(local) = self.local.get_mut(&ended.call) else {
            return;
        };
        let Some(is_final) = local.record_end(&ended) else {
            return;
        };
        let (epoch, home) = (local.epoch, local.home);
        let cancelled = is_final && !matches!(ended.end, End::Answered { .. });
        if cancelled {
            self.release(now, home, ended.call);
        } else {
            let input = scheduler::Input::Ended(ended);
            self.send(now, home, HomeInput::Input { epoch, input });
        }
        if is_final {
            self.remove_call(ended.call);
        }
    }

    fn remove_call(&mut self, call: CallId) {
        if let Some(local) = self.local.remove(&call) {
            self.sessions.unassign(local.home);
        }
    }

    fn handle_events(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Output>) {
        for event in events {
            match event {
                Event::Inputs(from, inputs) => {
                    for input in inputs {
                        self.scheduler.apply(now, from, input, &mut self.outputs);
                    }
                }
                Event::Outputs(from, outputs) => {
                    for item in outputs {
                        self.accept_output(from, item, out);
                    }
                }
                Event::OriginReset(origin) => {
                    self.counters.expired += 1;
                    self.scheduler.release_all(now, origin, &mut self.outputs);
                }
                Event::SessionLost(home) => {
                    self.counters.resets += 1;
                    self.resubmit_all(now, home, out);
                }
                Event::Suspected => {
                    self.counters.suspected += 1;
                    self.reassign_calls(now, out);
                }
                Event::Trusted => self.reassign_calls(now, out),
            }
            self.deliver_outputs(out);
        }
    }

    /// Delivers the outputs of this VM's scheduler to local calls and to other origins.
    fn deliver_outputs(&mut self, out: &mut Vec<Output>) {
        for item in core::mem::take(&mut self.outputs) {
            let origin = item.output.call().origin;
            if origin == self.me {
                self.accept_output(origin, item, out);
            } else {
                self.sessions.reply(origin, item);
            }
        }
    }

    /// Applies an output for a local call unless it comes from an earlier home or epoch.
    fn accept_output(&mut self, from: Incarnation, item: HomeOutput, out: &mut Vec<Output>) {
        let call = item.output.call();
        let is_current = |local: &&mut LocalCall| local.home == from && local.epoch == item.epoch;
        let Some(local) = self.local.get_mut(&call).filter(is_current) else {
            self.counters.stale += 1;
            return;
        };
        let applied = local.apply(&item.output);
        let output = match self.mutation {
            Some(Mutation::IgnoreEarlierRuns) => item.output,
            _ => local.correct_refusal(item.output),
        };
        match applied {
            Applied::Continues => out.push(Output::Local(output)),
            Applied::Ended => {
                self.remove_call(call);
                out.push(Output::Local(output));
            }
            Applied::Stale => self.counters.stale += 1,
        }
    }

    /// The home to assign a call of the route to, chosen as in `first_trusted` from the cached
    /// candidates.
    fn select_home(&mut self, route: &Route) -> Incarnation {
        let candidates = self.ranking.candidates(route);
        let (me, sessions) = (self.me, &self.sessions);
        let usable = |member: &&Incarnation| **member == me || sessions.is_trusted(**member);
        candidates.iter().find(usable).copied().unwrap_or(me)
    }

    /// The first candidate that is this VM or not suspected; this VM if there is none.
    fn first_trusted(&self, candidates: &[Incarnation]) -> Incarnation {
        let usable =
            |member: &&Incarnation| **member == self.me || self.sessions.is_trusted(**member);
        candidates.iter().find(usable).copied().unwrap_or(self.me)
    }

    /// Moves each local call whose route has another home now.
    fn reassign_calls(&mut self, now: Time, out: &mut Vec<Output>) {
        let calls: Vec<CallId> = self.local.keys().copied().collect();
        for call in calls {
            let Some(local) = self.local.get(&call) else {
                continue;
            };
            let (old, route) = (local.home, local.request.route.clone());
            let new = self.select_home(&route);
            if new != old {
                self.move_call(now, call, new, out);
            }
        }
    }

    fn move_call(&mut self, now: Time, call: CallId, new: Incarnation, out: &mut Vec<Output>) {
        let Some(local) = self.local.get_mut(&call) else {
            return;
        };
        let old = core::mem::replace(&mut local.home, new);
        local.epoch = local.epoch.next();
        let inputs = local.takeover_inputs(now);
        self.counters.moved += 1;
        self.sessions.unassign(old);
        self.sessions.assign(new);
        if self.mutation != Some(Mutation::SkipRelease) {
            self.release(now, old, call);
        }
        self.send_all(now, new, inputs, out);
    }

    /// Submits all calls that are assigned to a home to it again, under new epochs.
    fn resubmit_all(&mut self, now: Time, home: Incarnation, out: &mut Vec<Output>) {
        let mut inputs = Vec::new();
        for local in self.local.values_mut().filter(|local| local.home == home) {
            local.epoch = local.epoch.next();
            inputs.extend(local.takeover_inputs(now));
        }
        self.send_all(now, home, inputs, out);
    }

    fn send_all(
        &mut self,
        now: Time,
        to: Incarnation,
        inputs: Vec<HomeInput>,
        out: &mut Vec<Output>,
    ) {
        for input in inputs {
            self.send(now, to, input);
        }
        self.deliver_outputs(out);
    }

    fn send(&mut self, now: Time, to: Incarnation, input: HomeInput) {
        if to == self.me {
            self.scheduler.apply(now, to, input, &mut self.outputs);
        } else {
            self.sessions.send(now, to, input);
        }
    }

    fn release(&mut self, now: Time, from: Incarnation, call: CallId) {
        let input = HomeInput::Release(call);
        if from == self.me {
            self.scheduler.apply(now, from, input, &mut self.outputs);
        } else {
            self.sessions.release(from, input);
        }
    }
}
