//! Simulation of requests that crash endpoints: VMs with a quarantine each, endpoints of one service,
//! and calls.
//!
//! A few known requests come again and again, beside others that come once. Messages between VMs may be
//! lost, repeated, delayed and reordered; VMs are killed, frozen and cut off.

use crate::{
    cluster_env::{Environment, Event, NodeIndex},
    cluster_search::Simulation,
    quarantine_oracle::QuarantineOracle,
    quarantine_steps::{Fault, Step},
};
use core::time::Duration;
use poplarswitch_entity::Time;
use poplarswitch_ingress::{
    CutCall, HeldSubject, Passage, Quarantine, QuarantineDigest, RequestId, SURVIVAL_TIME, Subject,
    SubjectRecords, TRIAL_REPLY_TIMEOUT, TRIAL_WAIT, TrialAsk, TrialEnded, TrialHome, TrialId,
    TrialMessage, TrialOutcome, TrialTarget, TrialVerdict, hash_pair,
};
use rand::RngExt as _;
use std::collections::BTreeMap;

/// Number of VMs.
pub const VM_COUNT: usize = 5;
/// Number of endpoints.
pub const ENDPOINT_COUNT: usize = 3;
/// Number of requests that come again and again.
pub const REQUEST_COUNT: usize = 4;
/// Node of the endpoints and the callers, which are never disturbed.
const WORLD: NodeIndex = VM_COUNT;
/// Interval at which callers send calls.
const CALLER_INTERVAL: Duration = Duration::from_millis(25);
/// Calls per second with requests that come once.
const OTHER_RATE: u32 = 10;
/// Identifier of the first request that comes once.
const FIRST_OTHER: u64 = 1_000;
/// Interval between digests of a VM.
const DIGEST_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which a silent VM is listed as alive no more.
const SILENCE: Duration = Duration::from_millis(1_100);
/// Calls that an endpoint runs at a time.
const SLOTS: usize = 6;
/// Time from the beginning of a bad call to the crash of its endpoint.
const CRASH_DELAY: Duration = Duration::from_millis(50);
/// Range of the time that an endpoint is down after a crash.
const DOWN_TIME: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(4));
/// Range of the time that a sound call runs.
const RUN_TIME: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(200));
/// Time for which a call waits for an endpoint, and the interval at which it looks for one.
const ENDPOINT_WAIT: Duration = Duration::from_secs(2);
const ENDPOINT_INTERVAL: Duration = Duration::from_millis(50);
/// Attempts of a call.
const MAX_ATTEMPTS: u8 = 2;
/// Copies of the end of a trial.
const END_COPIES: usize = 3;
/// VMs that write their holds to the platform.
const WRITERS: usize = 2;
/// Unix time of the simulation's start, in milliseconds.
const START_UNIX_MS: u64 = 1_000_000_000;
/// Time without faults after which sound requests must be free again.
const CALM_TIME: Duration = Duration::from_secs(25);
/// Rate of the sound requests meanwhile, in calls per second.
const CALM_RATE: u32 = 4;
/// Age of an answer before that time up to which it counts as recent.
const RECENT: Duration = Duration::from_secs(20);
/// Number of attempts that events of a call tell apart.
const ATTEMPT_NUMBERS: u64 = MAX_ATTEMPTS as u64 + 1;
/// Number of kinds of [`CallEvent`]s.
const CALL_EVENTS: u64 = 8;

/// A message between VMs.
#[derive(Clone, Debug)]
enum Message {
    Digest(QuarantineDigest),
    Trial(TrialMessage),
}

/// An event of a call at its VM or, for the crash, at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallEvent {
    /// The call asks for passage.
    Admit,
    /// The reply of the home is not awaited longer.
    AskOver,
    /// The VM sees that the answer has begun.
    Begun,
    /// The answer has survived.
    Survived,
    /// The answer is complete.
    Ended,
    /// The connection is cut.
    Cut,
    /// The call crashes its endpoint.
    Crash,
}

impl CallEvent {
    const ALL: [Self; 7] = [
        Self::Admit,
        Self::AskOver,
        Self::Begun,
        Self::Survived,
        Self::Ended,
        Self::Cut,
        Self::Crash,
    ];
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VmState {
    Up,
    Dead,
    Frozen(Time),
    Cut,
}

#[derive(Debug)]
struct Vm {
    quarantine: Quarantine,
    state: VmState,
    /// Since when others don't hear of it.
    gone: Option<Time>,
    /// Holds that it has written to the platform.
    written: Vec<HeldSubject>,
}

#[derive(Debug)]
struct Endpoint {
    /// Changes with each process.
    name: u32,
    down_until: Time,
    running: Vec<u64>,
}

#[derive(Debug)]
struct Call {
    vm: NodeIndex,
    /// Index of a request that comes again.
    known: Option<usize>,
    request: RequestId,
    arrived: Time,
    attempts: u8,
    /// When it first waited for the outcome of a trial.
    waits_since: Option<Time>,
    trial: Option<(TrialId, NodeIndex)>,
    /// Until when the reply of the home is awaited.
    asks_until: Option<Time>,
    /// Name of the endpoint that it was sent to.
    endpoint: u32,
    began: Option<Time>,
    is_recorded: bool,
}

impl Call {
    const fn subject(&self) -> Subject {
        Subject::Request(self.request)
    }
}

/// The VMs, the endpoints, the calls and the oracle.
#[derive(Debug)]
pub struct QuarantineSim {
    env: Environment<Message>,
    vms: Vec<Vm>,
    endpoints: Vec<Endpoint>,
    calls: BTreeMap<u64, Call>,
    /// Calls per second with each request that comes again.
    rates: [u32; REQUEST_COUNT],
    has_come: [bool; REQUEST_COUNT],
    serial: u64,
    fault: Option<Fault>,
    oracle: QuarantineOracle,
}

const fn request_id(request: usize) -> RequestId {
    RequestId(request as u64)
}

impl QuarantineSim {
    /// Starts all VMs and endpoints, with a deliberate fault if one is given.
    pub fn new(seed: u64, fault: Option<Fault>) -> Self {
        let vm = |node| Vm {
            quarantine: Quarantine::default().with_process(node as u32),
            state: VmState::Up,
            gone: None,
            written: Vec::new(),
        };
        let endpoint = |name| Endpoint {
            name,
            down_until: Time::ZERO,
            running: Vec::new(),
        };
        let mut sim = Self {
            env: Environment::new(seed),
            vms: (0..VM_COUNT).map(vm).collect(),
            endpoints: (0..ENDPOINT_COUNT as u32).map(endpoint).collect(),
            calls: BTreeMap::new(),
            rates: [0; REQUEST_COUNT],
            has_come: [false; REQUEST_COUNT],
            serial: FIRST_OTHER,
            fault,
            oracle: QuarantineOracle::new(REQUEST_COUNT, VM_COUNT),
        };
        for node in 0..VM_COUNT {
            let first = Duration::from_millis(50 * node as u64);
            sim.env.schedule_wake(node, Some(Time::ZERO + first));
        }
        sim.env.schedule_wake(WORLD, Some(Time::ZERO));
        sim
    }

    fn run(&mut self, duration: Duration) {
        let until = self.env.now + duration;
        while self.oracle.violation.is_none()
            && let Some(event) = self.env.next_event(until)
        {
            match event {
                Event::Wake(WORLD) => self.send_calls(),
                Event::Wake(node) => self.tick(node),
                Event::Deliver { from, to, message } => self.receive(from, to, message),
                Event::Custom { code, .. } => {
                    let event = CallEvent::ALL[(code % CALL_EVENTS) as usize];
                    let (code, attempt) =
                        (code / CALL_EVENTS, code / CALL_EVENTS % ATTEMPT_NUMBERS);
                    let id = code / ATTEMPT_NUMBERS;
                    let call = self.calls.get(&id);
                    if call.is_some_and(|call| u64::from(call.attempts) == attempt) {
                        self.handle_call(id, event);
                    }
                }
                Event::Request { .. } | Event::Reply { .. } => {}
            }
        }
    }

    /// Schedules an event of a call's present attempt.
    fn push_call(&mut self, node: NodeIndex, id: u64, delay: Duration, event: CallEvent) {
        let attempt = self.calls.get(&id).map_or(0, |call| call.attempts);
        let code = (id * ATTEMPT_NUMBERS + u64::from(attempt)) * CALL_EVENTS + event as u64;
        let at = self.env.now + delay;
        self.env.push(at, Event::Custom { node, code });
    }

    // VMs.

    /// Whether `viewer` takes `other` to be alive.
    fn is_alive(&self, viewer: NodeIndex, other: NodeIndex) -> bool {
        let gone = [self.vms[viewer].gone, self.vms[other].gone];
        let lost = gone.into_iter().flatten().min();
        viewer == other || lost.is_none_or(|lost| self.env.now < lost + SILENCE)
    }

    /// The VM that grants trials, as seen by `viewer`; none without a majority.
    fn home(&self, viewer: NodeIndex) -> Option<NodeIndex> {
        if self.fault == Some(Fault::ManyHomes) {
            return Some(viewer);
        }
        let alive = (0..VM_COUNT).filter(|vm| self.is_alive(viewer, *vm));
        let has_majority = alive.clone().count() * 2 > VM_COUNT;
        let vms = alive.filter(|_| has_majority);
        vms.max_by_key(|vm| hash_pair(*vm as u64, 0))
    }

    fn trial_home(&self, viewer: NodeIndex) -> TrialHome {
        let mut others = (0..VM_COUNT).filter(|vm| *vm != viewer);
        match self.home(viewer) {
            None if others.all(|vm| !self.is_alive(viewer, vm)) => TrialHome::Alone,
            None => TrialHome::Nobody,
            Some(home) if home == viewer => TrialHome::Local,
            Some(_) => TrialHome::Other,
        }
    }

    fn unix_ms(&self) -> u64 {
        START_UNIX_MS + self.env.now.0 / 1_000
    }

    fn restore(&mut self, node: NodeIndex) {
        let held: Vec<HeldSubject> = self.vms.iter().flat_map(|vm| vm.written.clone()).collect();
        let (now, unix_ms) = (self.env.now, self.unix_ms());
        self.vms[node].quarantine.restore(now, unix_ms, &held);
    }

    /// The periodic work of a VM.
    fn tick(&mut self, node: NodeIndex) {
        let now = self.env.now;
        self.env.schedule_wake(node, Some(now + DIGEST_INTERVAL));
        self.vms[node].quarantine.expire(now);
        self.tell(node);
        let mut writers = (0..VM_COUNT).filter(|vm| self.is_alive(node, *vm));
        if writers.by_ref().take(WRITERS).any(|writer| writer == node) {
            let unix_ms = self.unix_ms();
            let vm = &mut self.vms[node];
            vm.written = vm.quarantine.held_subjects(now, unix_ms);
        }
        if self.trial_home(node) == TrialHome::Alone {
            self.restore(node);
        }
        let quarantine = &self.vms[node].quarantine;
        let is_held = |request: &usize| {
            let subject = Subject::Request(request_id(*request));
            quarantine.is_held([subject].into_iter()).is_some()
        };
        let held = (0..REQUEST_COUNT).filter(is_held);
        self.oracle.check_held(now, node, held);
    }

    /// Tells all other VMs the news of a VM.
    fn tell(&mut self, node: NodeIndex) {
        let now = self.env.now;
        let digest = self.vms[node].quarantine.digest(now);
        if digest.is_empty() {
            return;
        }
        for other in (0..VM_COUNT).filter(|other| *other != node) {
            self.env.send(node, other, Message::Digest(digest.clone()));
        }
    }

    /// Lets all other VMs answer the first heartbeat of a VM that starts or comes back.
    fn greet(&mut self, node: NodeIndex) {
        for other in 0..VM_COUNT {
            if other != node && self.vms[other].state == VmState::Up {
                let digest = self.vms[other].quarantine.digest(self.env.now);
                self.env.send(other, node, Message::Digest(digest));
            }
        }
    }

    fn receive(&mut self, from: NodeIndex, to: NodeIndex, message: Message) {
        let now = self.env.now;
        if self.vms[to].state == VmState::Dead {
            return;
        }
        match message {
            Message::Digest(digest) => {
                let digest = self.changed(digest);
                self.vms[to].quarantine.merge(now, &digest);
            }
            Message::Trial(TrialMessage::TrialAsk(ask)) => {
                let home = self.trial_home(to);
                let quarantine = &mut self.vms[to].quarantine;
                let (reply, change) = quarantine.answer_ask(now, from as u32, &ask, home);
                self.send_trial(to, from, TrialMessage::TrialReply(reply));
                if change.is_some() {
                    self.tell(to);
                }
            }
            Message::Trial(TrialMessage::TrialReply(mut reply)) => {
                let is_answered = matches!(reply.verdict, TrialVerdict::Answered(_));
                if is_answered && self.fault == Some(Fault::IgnoreAnswers) {
                    reply.verdict = TrialVerdict::Running;
                }
                let TrialId { subject, serial } = TrialId {
                    subject: reply.subject,
                    serial: reply.serial,
                };
                let asking = self.calls.iter().find(|(_, call)| {
                    let is_asked = call
                        .trial
                        .is_some_and(|(id, _)| id == TrialId { subject, serial });
                    call.vm == to && call.asks_until.is_some() && is_asked
                });
                if let Some(id) = asking.map(|(id, _)| *id) {
                    self.finish_ask(id, Some(reply.verdict));
                }
            }
            Message::Trial(TrialMessage::TrialEnded(mut ended)) => {
                if self.fault == Some(Fault::IgnoreAnswers) {
                    ended.outcome = TrialOutcome::Cut;
                }
                let quarantine = &mut self.vms[to].quarantine;
                if !quarantine
                    .end_trial(now, Some(from as u32), &ended)
                    .is_empty()
                {
                    self.tell(to);
                }
            }
        }
    }

    /// The digest as a VM with the deliberate fault reads it.
    fn changed(&self, mut digest: QuarantineDigest) -> QuarantineDigest {
        match self.fault {
            Some(Fault::CountAlone) => {
                let answers = digest.requests.answers;
                digest.requests = SubjectRecords {
                    answers,
                    ..SubjectRecords::default()
                };
            }
            Some(Fault::IgnoreAnswers) => digest.requests.answers.clear(),
            Some(Fault::ManyHomes) | None => {}
        }
        digest
    }

    fn send_trial(&mut self, from: NodeIndex, to: NodeIndex, message: TrialMessage) {
        self.env.send(from, to, Message::Trial(message));
    }

    fn set_state(&mut self, node: NodeIndex, state: VmState) {
        if self.vms[node].state != VmState::Up {
            return;
        }
        let now = self.env.now;
        self.vms[node].state = state;
        self.vms[node].gone = Some(now);
        let until = match state {
            VmState::Up | VmState::Dead => now,
            VmState::Frozen(until) => until,
            VmState::Cut => Time::MAX,
        };
        self.oracle.disturb(node, until);
        match state {
            VmState::Up => {}
            VmState::Dead => self.end_process(node),
            VmState::Frozen(until) => self.env.pause(node, until),
            VmState::Cut => {
                for other in (0..VM_COUNT).filter(|other| *other != node) {
                    self.env.cut_links.insert((node, other));
                    self.env.cut_links.insert((other, node));
                }
            }
        }
    }

    fn end_process(&mut self, node: NodeIndex) {
        self.env.reset_node(node);
        let ended: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| call.vm == node)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.remove_call(id, false);
        }
        self.vms[node].quarantine = Quarantine::default().with_process(node as u32);
    }

    /// Ends the disturbance of a VM.
    fn recover(&mut self, node: NodeIndex) {
        let now = self.env.now;
        let state = core::mem::replace(&mut self.vms[node].state, VmState::Up);
        self.vms[node].gone = None;
        match state {
            VmState::Up => return,
            VmState::Dead => {
                self.restore(node);
                self.env.schedule_wake(node, Some(now + DIGEST_INTERVAL));
            }
            VmState::Frozen(_) => {}
            VmState::Cut => {
                let cuts = &mut self.env.cut_links;
                cuts.retain(|(from, to)| *from != node && *to != node);
                // Others may still be cut.
                for other in (0..VM_COUNT).filter(|vm| self.vms[*vm].state == VmState::Cut) {
                    cuts.insert((node, other));
                    cuts.insert((other, node));
                }
            }
        }
        self.oracle.disturb(node, now);
        self.greet(node);
    }

    fn recover_frozen(&mut self) {
        for node in 0..VM_COUNT {
            if let VmState::Frozen(until) = self.vms[node].state
                && until <= self.env.now
            {
                self.recover(node);
            }
        }
    }

    // Endpoints.

    fn choose_endpoint(&self) -> Option<usize> {
        let now = self.env.now;
        let is_free =
            |endpoint: &&Endpoint| endpoint.down_until <= now && endpoint.running.len() < SLOTS;
        let free = self.endpoints.iter().enumerate();
        let free = free.filter(|(_, endpoint)| is_free(endpoint));
        free.min_by_key(|(_, endpoint)| (endpoint.running.len(), endpoint.name))
            .map(|(index, _)| index)
    }

    /// Crashes an endpoint, which comes back under another name.
    fn crash(&mut self, index: usize) {
        let now = self.env.now;
        if self.endpoints[index].down_until > now {
            return;
        }
        self.serial += 1;
        let down = self.env.random_duration(DOWN_TIME.0, DOWN_TIME.1);
        let endpoint = &mut self.endpoints[index];
        endpoint.name = self.serial as u32;
        endpoint.down_until = now + down;
        for id in core::mem::take(&mut endpoint.running) {
            if let Some(call) = self.calls.get(&id) {
                let vm = call.vm;
                self.push_call(vm, id, Duration::ZERO, CallEvent::Cut);
            }
        }
    }

    fn remove_call(&mut self, id: u64, is_cut: bool) {
        self.oracle.end_trial(id, is_cut);
        self.calls.remove(&id);
        for endpoint in &mut self.endpoints {
            endpoint.running.retain(|running| *running != id);
        }
    }

    // Calls.

    fn send_calls(&mut self) {
        let now = self.env.now;
        self.recover_frozen();
        self.env.schedule_wake(WORLD, Some(now + CALLER_INTERVAL));
        let per_second = CALLER_INTERVAL.as_secs_f64();
        let rates = self.rates;
        let known = rates
            .iter()
            .enumerate()
            .map(|(known, rate)| (Some(known), *rate));
        for (known, rate) in known.chain([(None, OTHER_RATE)]) {
            if self
                .env
                .rng
                .random_bool((f64::from(rate) * per_second).min(1.0))
            {
                let vm = self.env.rng.random_range(0..VM_COUNT);
                self.arrive(vm, known);
            }
        }
    }

    fn arrive(&mut self, vm: NodeIndex, known: Option<usize>) {
        self.serial += 1;
        let id = self.serial;
        if self.vms[vm].state == VmState::Dead {
            return;
        }
        if let Some(known) = known {
            self.has_come[known] = true;
        }
        let call = Call {
            vm,
            known,
            request: known.map_or(RequestId(id), request_id),
            arrived: self.env.now,
            attempts: 0,
            waits_since: None,
            trial: None,
            asks_until: None,
            endpoint: 0,
            began: None,
            is_recorded: false,
        };
        self.calls.insert(id, call);
        self.push_call(vm, id, Duration::ZERO, CallEvent::Admit);
    }

    fn handle_call(&mut self, id: u64, event: CallEvent) {
        let now = self.env.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        match event {
            CallEvent::Admit => self.admit(id),
            CallEvent::AskOver if call.asks_until.is_some_and(|until| until <= now) => {
                self.finish_ask(id, None);
            }
            CallEvent::AskOver => {}
            CallEvent::Begun => call.began = Some(now),
            CallEvent::Survived => self.record_answer(id),
            CallEvent::Ended => {
                self.record_answer(id);
                self.remove_call(id, false);
            }
            CallEvent::Cut => self.cut(id),
            CallEvent::Crash => {
                let known = call.known;
                let running = self.endpoints.iter();
                let mut running = running.enumerate();
                let index = running.find(|(_, endpoint)| endpoint.running.contains(&id));
                if let (Some((index, _)), Some(known)) = (index, known) {
                    self.oracle.crash(now, known);
                    self.crash(index);
                }
            }
        }
    }

    fn admit(&mut self, id: u64) {
        let now = self.env.now;
        let call = &self.calls[&id];
        let (vm, subject, arrived) = (call.vm, call.subject(), call.arrived);
        if self.choose_endpoint().is_none() {
            if now < arrived + ENDPOINT_WAIT {
                self.push_call(vm, id, ENDPOINT_INTERVAL, CallEvent::Admit);
            } else {
                self.calls.remove(&id);
            }
            return;
        }
        let home = self.trial_home(vm);
        let up = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.down_until <= now);
        let target = TrialTarget {
            service: 1,
            endpoints: up.count() as u16,
            version: 1,
        };
        let quarantine = &mut self.vms[vm].quarantine;
        let passage = quarantine.check(now, [subject].into_iter(), home, target);
        self.follow(id, passage);
    }

    fn follow(&mut self, id: u64, passage: Passage) {
        let now = self.env.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let vm = call.vm;
        match passage {
            Passage::Free => {
                call.trial = None;
                self.dispatch(id);
            }
            Passage::Trial(trial) => {
                let home = call.trial.map_or(vm, |(_, home)| home);
                call.trial = Some((trial, home));
                if let Some(known) = call.known {
                    self.oracle.begin_trial(now, id, known, home);
                }
                self.dispatch(id);
            }
            Passage::Ask(ask) => self.ask(id, ask),
            Passage::Wait { until, .. } => {
                call.trial = None;
                let since = *call.waits_since.get_or_insert(now);
                if now < since + TRIAL_WAIT {
                    self.push_call(vm, id, until.since(now), CallEvent::Admit);
                } else {
                    self.calls.remove(&id);
                }
            }
            Passage::Held { .. } => {
                self.calls.remove(&id);
            }
        }
    }

    fn ask(&mut self, id: u64, ask: TrialAsk) {
        let vm = self.calls[&id].vm;
        let home = self.home(vm).unwrap_or(vm);
        let until = self.env.now + TRIAL_REPLY_TIMEOUT;
        if let Some(call) = self.calls.get_mut(&id) {
            call.trial = Some((ask.id(), home));
            call.asks_until = Some(until);
        }
        self.send_trial(vm, home, TrialMessage::TrialAsk(ask));
        self.push_call(vm, id, TRIAL_REPLY_TIMEOUT, CallEvent::AskOver);
    }

    fn finish_ask(&mut self, id: u64, verdict: Option<TrialVerdict>) {
        let now = self.env.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.asks_until = None;
        let vm = call.vm;
        let Some((trial, home)) = call.trial else {
            return;
        };
        let quarantine = &mut self.vms[vm].quarantine;
        let (passage, change) = quarantine.finish_ask(now, trial, verdict);
        if change.is_some() {
            self.tell(vm);
        }
        if verdict.is_none() {
            self.end_trial(vm, trial, home, TrialOutcome::Unsent);
        }
        if self.choose_endpoint().is_some() {
            return self.follow(id, passage);
        }
        if matches!(passage, Passage::Trial(_)) {
            self.end_trial(vm, trial, home, TrialOutcome::Unsent);
        }
        self.push_call(vm, id, ENDPOINT_INTERVAL, CallEvent::Admit);
    }

    fn end_trial(&mut self, vm: NodeIndex, trial: TrialId, home: NodeIndex, outcome: TrialOutcome) {
        let ended = TrialEnded {
            serial: trial.serial,
            subject: trial.subject,
            outcome,
        };
        let changes = self.vms[vm]
            .quarantine
            .end_trial(self.env.now, None, &ended);
        if !changes.is_empty() {
            self.tell(vm);
        }
        if home != vm {
            for _ in 0..END_COPIES {
                self.send_trial(vm, home, TrialMessage::TrialEnded(ended));
            }
        }
    }

    fn dispatch(&mut self, id: u64) {
        let now = self.env.now;
        let Some(index) = self.choose_endpoint() else {
            return;
        };
        let run_time = self.env.random_duration(RUN_TIME.0, RUN_TIME.1);
        let endpoint = &mut self.endpoints[index];
        endpoint.running.push(id);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.attempts += 1;
        call.endpoint = endpoint.name;
        call.began = None;
        call.is_recorded = false;
        let (vm, known) = (call.vm, call.known);
        let is_bad = known.is_some_and(|known| self.oracle.is_bad(known));
        if let Some(known) = known {
            self.oracle.send(now, known, vm);
        }
        self.push_call(vm, id, Duration::from_millis(1), CallEvent::Begun);
        if is_bad {
            return self.push_call(WORLD, id, CRASH_DELAY, CallEvent::Crash);
        }
        if run_time > SURVIVAL_TIME {
            self.push_call(vm, id, SURVIVAL_TIME, CallEvent::Survived);
        }
        self.push_call(vm, id, run_time, CallEvent::Ended);
    }

    fn record_answer(&mut self, id: u64) {
        let now = self.env.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if core::mem::replace(&mut call.is_recorded, true) {
            return;
        }
        let (vm, known, subject) = (call.vm, call.known, call.subject());
        let (began, trial) = (call.began.unwrap_or(now), call.trial.take());
        if let Some(known) = known {
            self.oracle.answer(now, known, vm);
        }
        let quarantine = &mut self.vms[vm].quarantine;
        let changes = quarantine.record_answer(now, began, [subject].into_iter());
        if let Some((trial, home)) = trial {
            self.oracle.end_trial(id, false);
            self.end_trial(vm, trial, home, TrialOutcome::Answered);
        }
        if !changes.is_empty() {
            self.tell(vm);
        }
    }

    fn cut(&mut self, id: u64) {
        let now = self.env.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let trial = call.trial.take();
        let vm = call.vm;
        let is_last = trial.is_some() || call.attempts >= MAX_ATTEMPTS;
        if !call.is_recorded {
            let cut = CutCall {
                endpoint: call.endpoint,
                at: now,
                begun: call.began.is_some(),
                request: Some(call.request),
                sections: Vec::new(),
            };
            if let Some(known) = call.known {
                self.oracle.cut(now, known);
            }
            self.vms[vm].quarantine.record_crash(now, &cut);
            self.tell(vm);
        }
        if let Some((trial, home)) = trial {
            self.end_trial(vm, trial, home, TrialOutcome::Cut);
        }
        if is_last {
            self.remove_call(id, trial.is_some());
        } else {
            self.oracle.end_trial(id, true);
            self.push_call(vm, id, Duration::ZERO, CallEvent::Admit);
        }
    }

    fn verdict(&self) -> Result<(), String> {
        self.oracle.violation.clone().map_or(Ok(()), Err)
    }
}

impl Simulation<Step> for QuarantineSim {
    fn step(&mut self, step: &Step) -> Result<(), String> {
        self.recover_frozen();
        match *step {
            Step::Run { millis } => self.run(Duration::from_millis(millis)),
            Step::Rate {
                request,
                per_second,
            } => self.rates[request] = per_second,
            Step::Burst { request, copies } => {
                (0..copies).for_each(|vm| self.arrive(vm, Some(request)));
            }
            Step::BeginBad(request) if self.has_come[request] => {}
            Step::BeginBad(request) | Step::TurnBad(request) => self.oracle.turn_bad(request),
            Step::CrashEndpoint(index) => self.crash(index),
            Step::Kill(node) => self.set_state(node, VmState::Dead),
            Step::Start(node) if self.vms[node].state == VmState::Dead => self.recover(node),
            Step::Start(_) => {}
            Step::Freeze { node, millis } => {
                let until = self.env.now + Duration::from_millis(millis);
                self.set_state(node, VmState::Frozen(until));
            }
            Step::Cut(node) => self.set_state(node, VmState::Cut),
            Step::Restore => {
                for node in 0..VM_COUNT {
                    if self.vms[node].state == VmState::Cut {
                        self.recover(node);
                    }
                }
            }
            Step::Links {
                loss_percent,
                duplicate_percent,
                delay_ms,
            } => {
                let faults = &mut self.env.faults;
                faults.loss_percent = loss_percent;
                faults.duplicate_percent = duplicate_percent;
                faults.max_delay = Duration::from_millis(delay_ms);
            }
        }
        self.verdict()
    }

    fn settle(&mut self) -> Result<(), String> {
        let since = self.env.now - RECENT;
        let sound: Vec<usize> = self.oracle.sound(since).collect();
        self.env.faults = crate::cluster_event::LinkFaults::default();
        for request in 0..REQUEST_COUNT {
            self.rates[request] = if self.oracle.is_bad(request) {
                0
            } else {
                CALM_RATE
            };
        }
        for node in 0..VM_COUNT {
            if matches!(self.vms[node].state, VmState::Dead | VmState::Cut) {
                self.recover(node);
            }
        }
        self.run(CALM_TIME);
        self.verdict()?;
        for node in 0..VM_COUNT {
            for request in &sound {
                let subject = Subject::Request(request_id(*request));
                let quarantine = &self.vms[node].quarantine;
                if quarantine.is_held([subject].into_iter()).is_some() {
                    return Err(format!(
                        "VM {node} holds request {request} after a long calm"
                    ));
                }
            }
        }
        Ok(())
    }
}
