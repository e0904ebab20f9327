//! The state machine: own calls, the home's desk and the links between VMs.

use crate::{
    Counters, HomeInput, HomeOutput, Input, Mutation, Output, Status,
    desk::Desk,
    links::{Event, LEASE, Links},
    own::{Own, Phase, Taken},
    ranking::Ranking,
};
use core::time::Duration;
use poplarswitch_catalog::{Catalog, Route};
use poplarswitch_entity::{CallId, Incarnation, Time};
use poplarswitch_scheduler::{
    self as scheduler, End, Ended, Policy, Progress, Request, Stop, StopReason,
};
use std::{collections::BTreeMap, sync::Arc};

/// Shortest time between two reports of one call's progress to another VM.
const PROGRESS_EVERY: Duration = Duration::from_secs(4);
/// Lateness of a wake-up from which on this process is taken to have stood still.
const STALL: Duration = Duration::from_millis(150);

/// The part of one VM in sharing the pools of its cell.
#[derive(Debug)]
pub struct Pool {
    me: Incarnation,
    desk: Desk,
    links: Links,
    ranking: Ranking,
    own: BTreeMap<CallId, Own>,
    answers: Vec<HomeOutput>,
    counters: Counters,
    due: Option<Time>,
    mutation: Option<Mutation>,
}

impl Pool {
    /// Starts alone, as the home of every route.
    pub fn new(me: Incarnation, catalog: Arc<Catalog>, policy: Policy, seed: u64) -> Self {
        Self {
            me,
            desk: Desk::new(catalog, policy, seed),
            links: Links::default(),
            ranking: Ranking::default(),
            own: BTreeMap::new(),
            answers: Vec::new(),
            counters: Counters::default(),
            due: None,
            mutation: None,
        }
    }

    /// Puts a deliberate fault in.
    #[cfg(feature = "mutation")]
    pub const fn mutate(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
        self.links.mutation = Some(mutation);
    }

    /// Reacts to one input.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.notice_stall(now, out);
        match input {
            Input::Local(input) => self.local(now, input, out),
            Input::Peer { from, message } => {
                self.counters.received += 1;
                let mut events = Vec::new();
                self.links.receive(now, from, message, &mut events);
                self.react(now, events, out);
            }
            Input::Members(members) => {
                if self.ranking.replace(members) {
                    self.links.retain(now, self.ranking.members());
                    self.regroup(now, out);
                }
            }
        }
        self.finish(now, out);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.notice_stall(now, out);
        let mut events = Vec::new();
        self.links.tick(now, self.ranking.members(), &mut events);
        self.react(now, events, out);
        self.desk.tick(now, &mut self.answers);
        self.finish(now, out);
    }

    /// When `tick` is next worth calling.
    pub fn next_wake(&self) -> Option<Time> {
        let wakes = [self.links.next_wake(), self.desk.scheduler().next_wake()];
        wakes.into_iter().flatten().min()
    }

    /// Puts a new set into force; calls that wait or run stay.
    pub fn reload(&mut self, now: Time, catalog: Arc<Catalog>, out: &mut Vec<Output>) {
        self.desk.reload(now, catalog, &mut self.answers);
        self.finish(now, out);
    }

    /// The VM whose scheduler orders a route, as far as this VM knows.
    ///
    /// The home alone needs the load reports and cache events of the route's endpoints.
    pub fn home_of(&self, route: &Route) -> Incarnation {
        self.first_trusted(&self.ranking.rank(route))
    }

    /// The VM's incarnation.
    pub const fn me(&self) -> Incarnation {
        self.me
    }

    /// Events since the start.
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The present state.
    pub fn status(&self) -> Status {
        let local = |own: &&Own| own.home == self.me;
        let astray = |own: &&Own| {
            let choices = self.ranking.rank(&own.request.route);
            own.home == self.me && choices.first().is_some_and(|first| *first != self.me)
        };
        let peer = |member: &&Incarnation| **member != self.me;
        let scheduler = self.desk.scheduler();
        Status {
            local: self.own.len(),
            remote: self.own.len() - self.own.values().filter(local).count(),
            fallback: self.own.values().filter(astray).count(),
            foreign: self.desk.guests(self.me),
            queued: scheduler.queued(),
            in_flight: scheduler.in_flight(),
            peers: self.ranking.members().iter().filter(peer).count(),
            suspects: self.links.suspects(),
        }
    }

    /// Forgives others for this VM's own absence; after a lease, homes have forgotten it.
    fn notice_stall(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(due) = self.due.take().filter(|due| now > *due + STALL) else {
            return;
        };
        self.links.forgive(now);
        if now <= due + LEASE {
            return;
        }
        for home in self.links.give_up() {
            self.counters.resets += 1;
            self.ask_again(now, home, out);
        }
    }

    fn finish(&mut self, now: Time, out: &mut Vec<Output>) {
        self.deliver(out);
        self.links.flush(now, &mut self.counters, out);
        self.due = self.next_wake();
    }

    fn local(&mut self, now: Time, input: scheduler::Input, out: &mut Vec<Output>) {
        match input {
            scheduler::Input::Submit(request) => self.submit(now, request, out),
            scheduler::Input::Adopt(_) => {}
            scheduler::Input::Cancel(call) => self.cancel(now, call, out),
            scheduler::Input::Progress(progress) => self.progress(now, progress),
            scheduler::Input::Ended(ended) => self.ended(now, ended),
            scheduler::Input::Load(_) | scheduler::Input::Cache(_) => {
                self.desk.report(now, input, &mut self.answers);
            }
        }
    }

    fn submit(&mut self, now: Time, request: Request, out: &mut Vec<Output>) {
        let call = request.call;
        if call.origin != self.me || self.own.contains_key(&call) {
            return;
        }
        let home = self.choose(&request.route);
        let own = Own::new(request, now, home);
        let asks = own.asks(now);
        self.own.insert(call, own);
        self.links.follow(home);
        self.ask(now, home, asks, out);
    }

    fn cancel(&mut self, now: Time, call: CallId, out: &mut Vec<Output>) {
        let Some(own) = self.own.get_mut(&call) else {
            return;
        };
        let Phase::Running(run) = &mut own.phase else {
            let home = own.home;
            self.release(now, home, call);
            self.forget(call);
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

    fn progress(&mut self, now: Time, progress: Progress) {
        let Some(own) = self.own.get_mut(&progress.call) else {
            return;
        };
        let Phase::Running(run) = &mut own.phase else {
            return;
        };
        if run.attempt != progress.attempt {
            return;
        }
        run.tokens = run.tokens.max(progress.tokens);
        let recent = own.told.is_some_and(|told| now < told + PROGRESS_EVERY);
        if own.home != self.me && recent {
            return;
        }
        let first = own.told.replace(now).is_none();
        let (epoch, home) = (own.epoch, own.home);
        let input = scheduler::Input::Progress(progress);
        let ask = HomeInput::Input { epoch, input };
        if first || home == self.me {
            self.tell(now, home, ask);
        } else {
            self.links.mention(now, home, ask);
        }
    }

    fn ended(&mut self, now: Time, ended: Ended) {
        let Some(own) = self.own.get_mut(&ended.call) else {
            return;
        };
        let Some(over) = own.ended(&ended) else {
            return;
        };
        let (epoch, home) = (own.epoch, own.home);
        let cancelled = over && !matches!(ended.end, End::Answered { .. });
        if cancelled {
            self.release(now, home, ended.call);
        } else {
            let input = scheduler::Input::Ended(ended);
            self.tell(now, home, HomeInput::Input { epoch, input });
        }
        if over {
            self.forget(ended.call);
        }
    }

    fn forget(&mut self, call: CallId) {
        if let Some(own) = self.own.remove(&call) {
            self.links.unfollow(own.home);
        }
    }

    fn react(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Output>) {
        for event in events {
            match event {
                Event::Asked(from, asks) => {
                    for ask in asks {
                        self.desk.apply(now, from, ask, &mut self.answers);
                    }
                }
                Event::Answered(from, answers) => {
                    for answer in answers {
                        self.accept(from, answer, out);
                    }
                }
                Event::Voided(origin) => {
                    self.counters.expired += 1;
                    self.desk.release_all(now, origin, &mut self.answers);
                }
                Event::Forgotten(home) => {
                    self.counters.resets += 1;
                    self.ask_again(now, home, out);
                }
                Event::Suspected => {
                    self.counters.suspected += 1;
                    self.regroup(now, out);
                }
                Event::Trusted => self.regroup(now, out),
            }
            self.deliver(out);
        }
    }

    /// Passes the desk's answers on, to own calls and to other VMs.
    fn deliver(&mut self, out: &mut Vec<Output>) {
        for answer in core::mem::take(&mut self.answers) {
            let origin = answer.output.call().origin;
            if origin == self.me {
                self.accept(origin, answer, out);
            } else {
                self.links.answer(origin, answer);
            }
        }
    }

    fn accept(&mut self, from: Incarnation, answer: HomeOutput, out: &mut Vec<Output>) {
        let call = answer.output.call();
        let fits = |own: &&mut Own| own.home == from && own.epoch == answer.epoch;
        let Some(own) = self.own.get_mut(&call).filter(fits) else {
            self.counters.stale += 1;
            return;
        };
        let taken = own.take(&answer.output);
        let order = match self.mutation {
            Some(Mutation::IgnoreEarlierRuns) => answer.output,
            _ => own.truthful(answer.output),
        };
        match taken {
            Taken::Ordered => out.push(Output::Local(order)),
            Taken::Over => {
                self.forget(call);
                out.push(Output::Local(order));
            }
            Taken::Stale => self.counters.stale += 1,
        }
    }

    fn choose(&mut self, route: &Route) -> Incarnation {
        let choices = self.ranking.choices(route);
        let (me, links) = (self.me, &self.links);
        let usable = |member: &&Incarnation| **member == me || links.trusts(**member);
        choices.iter().find(usable).copied().unwrap_or(me)
    }

    fn first_trusted(&self, choices: &[Incarnation]) -> Incarnation {
        let usable = |member: &&Incarnation| **member == self.me || self.links.trusts(**member);
        choices.iter().find(usable).copied().unwrap_or(self.me)
    }

    /// Moves each call whose home is no longer the best one.
    fn regroup(&mut self, now: Time, out: &mut Vec<Output>) {
        let calls: Vec<CallId> = self.own.keys().copied().collect();
        for call in calls {
            let Some(own) = self.own.get(&call) else {
                continue;
            };
            let (old, route) = (own.home, own.request.route.clone());
            let new = self.choose(&route);
            if new != old {
                self.move_call(now, call, new, out);
            }
        }
    }

    fn move_call(&mut self, now: Time, call: CallId, new: Incarnation, out: &mut Vec<Output>) {
        let Some(own) = self.own.get_mut(&call) else {
            return;
        };
        let old = core::mem::replace(&mut own.home, new);
        own.epoch = own.epoch.next();
        let asks = own.asks(now);
        self.counters.moved += 1;
        self.links.unfollow(old);
        self.links.follow(new);
        if self.mutation != Some(Mutation::SkipRelease) {
            self.release(now, old, call);
        }
        self.ask(now, new, asks, out);
    }

    fn ask_again(&mut self, now: Time, home: Incarnation, out: &mut Vec<Output>) {
        let mut asks = Vec::new();
        for own in self.own.values_mut().filter(|own| own.home == home) {
            own.epoch = own.epoch.next();
            asks.extend(own.asks(now));
        }
        self.ask(now, home, asks, out);
    }

    fn ask(&mut self, now: Time, to: Incarnation, asks: Vec<HomeInput>, out: &mut Vec<Output>) {
        for ask in asks {
            self.tell(now, to, ask);
        }
        self.deliver(out);
    }

    fn tell(&mut self, now: Time, to: Incarnation, ask: HomeInput) {
        if to == self.me {
            self.desk.apply(now, to, ask, &mut self.answers);
        } else {
            self.links.ask(now, to, ask);
        }
    }

    fn release(&mut self, now: Time, from: Incarnation, call: CallId) {
        let ask = HomeInput::Release(call);
        if from == self.me {
            self.desk.apply(now, from, ask, &mut self.answers);
        } else {
            self.links.release(from, ask);
        }
    }
}
