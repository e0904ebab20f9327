//! Simulation of limits that endpoints name: VMs that share them, in virtual time.
//!
//! The oracle counts what arrives at each endpoint. A window counts if it begins 3 s after the last
//! disturbance of a VM, and 3 s after the first answer that names the present limit.

use crate::{
    cluster_env::{Environment, Event, LinkFaults, NodeIndex},
    cluster_search::Simulation,
    limits_steps::{Fault, Step},
};
use core::time::Duration;
use poplarswitch_entity::Time;
use poplarswitch_ingress::{
    LimitId, LimitMessage, LimitShare, NamedLimit, Permit, RateLimits, TokenReply, hash_pair,
};
use rand::RngExt as _;
use std::collections::VecDeque;

/// Number of VMs.
pub const VM_COUNT: usize = 5;
/// Number of endpoints.
pub const ENDPOINT_COUNT: usize = 2;
/// Node of the endpoints and the callers, which are never disturbed.
const WORLD: NodeIndex = VM_COUNT;
/// Interval at which callers send calls.
const CALLER_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the periodic work of a VM.
const TICK_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which a silent VM is listed as alive no more.
const SILENCE: Duration = Duration::from_millis(1_100);
/// Time for which a VM waits for the owner's reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Time that an endpoint takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(40);
/// Time within which VMs in touch know of a limit; from the operators' rules.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Length of a window, and what may arrive in it, from the operators' rules: this multiple of the
/// limit, and a constant.
const WINDOW: Duration = Duration::from_secs(4);
const RATE_FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Number of kinds of [`VmEvent`]s.
const VM_EVENTS: u64 = 4;
/// Time without faults at the end.
const CALM_TIME: Duration = Duration::from_secs(12);

/// An event at a VM or, for an arrival, at an endpoint.
#[derive(Clone, Copy, Debug)]
enum VmEvent {
    /// The reply of the owner is not awaited longer.
    AskOver,
    /// An answer arrives.
    Answer,
    /// A request arrives at its endpoint.
    Arrival,
}

impl VmEvent {
    const ALL: [Self; 3] = [Self::AskOver, Self::Answer, Self::Arrival];
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
    limits: RateLimits,
    state: VmState,
    started: Time,
    /// Since when others don't hear of it.
    gone: Option<Time>,
}

/// A request of a VM to an endpoint.
#[derive(Clone, Copy, Debug)]
struct Request {
    vm: NodeIndex,
    endpoint: usize,
    rank: u8,
    /// Number of the request for a token, while its reply is awaited.
    asks: Option<u32>,
    sent: Time,
    named: NamedLimit,
}

#[derive(Debug, Default)]
struct Endpoint {
    rate: Option<f64>,
    /// When a VM first learned of the rate, if others may know it.
    told: Option<Time>,
    arrivals: VecDeque<Time>,
}

/// The VMs, the endpoints and the environment.
#[derive(Debug)]
pub struct LimitsSim {
    env: Environment<LimitMessage>,
    vms: Vec<Vm>,
    endpoints: Vec<Endpoint>,
    requests: Vec<Request>,
    /// Calls per second, and the share of them that comes to the first VM, in per cent.
    calls: u32,
    first_percent: u32,
    disturbed: Time,
    fault: Option<Fault>,
    violation: Option<String>,
}

const fn limit_id(endpoint: usize) -> LimitId {
    LimitId(endpoint as u64)
}

impl LimitsSim {
    /// Starts all VMs and endpoints, with a deliberate fault if one is given.
    pub fn new(seed: u64, fault: Option<Fault>) -> Self {
        let vm = |_| Vm {
            limits: RateLimits::default(),
            state: VmState::Up,
            started: Time::ZERO,
            gone: None,
        };
        let mut sim = Self {
            env: Environment::new(seed),
            vms: (0..VM_COUNT).map(vm).collect(),
            endpoints: (0..ENDPOINT_COUNT).map(|_| Endpoint::default()).collect(),
            requests: Vec::new(),
            calls: 40,
            first_percent: 20,
            disturbed: Time::ZERO,
            fault,
            violation: None,
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
        while self.violation.is_none()
            && let Some(event) = self.env.next_event(until)
        {
            match event {
                Event::Wake(WORLD) => self.send_calls(),
                Event::Wake(node) => self.tick(node),
                Event::Deliver { from, to, message } => self.receive(from, to, message),
                Event::Custom { code, .. } => {
                    let index = (code / VM_EVENTS) as usize;
                    self.handle(index, VmEvent::ALL[(code % VM_EVENTS) as usize]);
                }
                Event::Request { .. } | Event::Reply { .. } => {}
            }
        }
    }

    fn push(&mut self, node: NodeIndex, index: usize, delay: Duration, event: VmEvent) {
        let code = index as u64 * VM_EVENTS + event as u64;
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

    fn owner(&self, viewer: NodeIndex, id: LimitId) -> NodeIndex {
        if self.fault == Some(Fault::ManyOwners) {
            return viewer;
        }
        let alive = (0..VM_COUNT).filter(|vm| self.is_alive(viewer, *vm));
        let owner = alive.max_by_key(|vm| hash_pair(*vm as u64, id.0));
        owner.unwrap_or(viewer)
    }

    fn share(&self, vm: NodeIndex, id: LimitId) -> LimitShare {
        let alive = (0..VM_COUNT).filter(|other| self.is_alive(vm, *other));
        let alive = alive.count();
        LimitShare {
            is_owner: self.owner(vm, id) == vm,
            uptime: self.env.now.since(self.vms[vm].started),
            fraction: if alive * 2 < VM_COUNT {
                alive as f64 / VM_COUNT as f64
            } else {
                1.0
            },
        }
    }

    fn tick(&mut self, node: NodeIndex) {
        let now = self.env.now;
        self.env.schedule_wake(node, Some(now + TICK_INTERVAL));
        let shares = [0, 1].map(|endpoint| self.share(node, limit_id(endpoint)));
        let limits = &mut self.vms[node].limits;
        limits.refresh(now, |id| shares[id.0 as usize], |_| true);
        self.tell(node);
    }

    fn tell(&mut self, node: NodeIndex) {
        let news = self.vms[node].limits.news(self.env.now);
        if news.is_empty() || self.fault == Some(Fault::NoNews) {
            return;
        }
        for other in (0..VM_COUNT).filter(|other| *other != node) {
            self.env.send(node, other, LimitMessage::News(news.clone()));
        }
    }

    /// Lets all other VMs answer the first heartbeat of a VM that starts or comes back.
    fn greet(&mut self, node: NodeIndex) {
        for other in 0..VM_COUNT {
            if other != node && self.vms[other].state == VmState::Up {
                for records in self.vms[other].limits.all(self.env.now) {
                    self.env.send(other, node, LimitMessage::News(records));
                }
            }
        }
    }

    fn receive(&mut self, from: NodeIndex, to: NodeIndex, message: LimitMessage) {
        let now = self.env.now;
        if self.vms[to].state == VmState::Dead {
            return;
        }
        match message {
            LimitMessage::News(records) => {
                self.vms[to].limits.merge(now, &records);
            }
            LimitMessage::Ask(request) => {
                let share = self.share(to, LimitId(request.limit.0));
                let reply = self.vms[to].limits.answer(now, request, share);
                self.env.send(to, from, LimitMessage::Grant(reply));
            }
            LimitMessage::Grant(reply) => {
                let serial = Some(reply.serial);
                let requests = self.requests.iter();
                let asking = requests.rev().take(MAX_OPEN);
                let mut asking = asking.zip((0..self.requests.len()).rev());
                let index = asking
                    .find(|(request, _)| request.vm == to && request.asks == serial)
                    .map(|(_, index)| index);
                if let Some(index) = index {
                    self.finish(index, Some(reply));
                }
            }
        }
    }

    fn set_state(&mut self, node: NodeIndex, state: VmState) {
        if self.vms[node].state != VmState::Up {
            return;
        }
        let now = self.env.now;
        self.vms[node].state = state;
        self.vms[node].gone = Some(now);
        self.disturb(now);
        match state {
            VmState::Up => {}
            VmState::Dead => {
                self.env.reset_node(node);
                self.vms[node].limits = RateLimits::default();
                self.requests
                    .iter_mut()
                    .filter(|request| request.vm == node)
                    .for_each(|request| request.asks = None);
            }
            VmState::Frozen(until) => {
                self.env.pause(node, until);
                self.disturb(until);
            }
            VmState::Cut => {
                for other in (0..VM_COUNT).filter(|other| *other != node) {
                    self.env.cut_links.insert((node, other));
                    self.env.cut_links.insert((other, node));
                }
            }
        }
    }

    /// Records a disturbance that lasts until a time.
    fn disturb(&mut self, until: Time) {
        let now = self.env.now;
        self.disturbed = self.disturbed.max(until);
        let is_known_elsewhere = self.vms.iter().any(|vm| vm.state == VmState::Up);
        for endpoint in &mut self.endpoints {
            let is_known = |told: &Time| now > *told + CONTACT_TIME && is_known_elsewhere;
            endpoint.told = endpoint.told.filter(is_known);
        }
    }

    /// Ends the disturbance of a VM.
    fn recover(&mut self, node: NodeIndex) {
        let now = self.env.now;
        let state = core::mem::replace(&mut self.vms[node].state, VmState::Up);
        self.vms[node].gone = None;
        match state {
            VmState::Up => return,
            VmState::Dead => {
                self.vms[node].started = now;
                self.env.schedule_wake(node, Some(now + TICK_INTERVAL));
            }
            VmState::Frozen(_) => {}
            VmState::Cut => {
                let cuts = &mut self.env.cut_links;
                cuts.retain(|(from, to)| *from != node && *to != node);
                for other in (0..VM_COUNT).filter(|vm| self.vms[*vm].state == VmState::Cut) {
                    cuts.insert((node, other));
                    cuts.insert((other, node));
                }
            }
        }
        self.disturb(now);
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

    // Calls.

    fn send_calls(&mut self) {
        self.recover_frozen();
        let now = self.env.now;
        self.env.schedule_wake(WORLD, Some(now + CALLER_INTERVAL));
        let mean = f64::from(self.calls) * CALLER_INTERVAL.as_secs_f64();
        let rest = self.env.rng.random_bool(mean.fract());
        for _ in 0..mean as usize + usize::from(rest) {
            let is_first = self.env.rng.random_range(0..100) < self.first_percent;
            let vm = if is_first {
                0
            } else {
                self.env.rng.random_range(0..VM_COUNT)
            };
            if matches!(self.vms[vm].state, VmState::Up | VmState::Cut) {
                self.request(vm);
            }
        }
    }

    fn request(&mut self, vm: NodeIndex) {
        let now = self.env.now;
        let endpoint = self.env.rng.random_range(0..ENDPOINT_COUNT);
        let rank = self.env.rng.random_range(0..2);
        let id = limit_id(endpoint);
        let share = self.share(vm, id);
        let permit = self.vms[vm].limits.request(now, id, rank, share);
        self.requests.push(Request {
            vm,
            endpoint,
            rank,
            asks: None,
            sent: now,
            named: NamedLimit::Free,
        });
        self.decide(self.requests.len() - 1, permit);
    }

    fn decide(&mut self, index: usize, permit: Permit) {
        let Request { vm, endpoint, .. } = self.requests[index];
        match permit {
            Permit::Granted => {
                self.requests[index].sent = self.env.now;
                self.push(WORLD, index, Duration::from_millis(1), VmEvent::Arrival);
            }
            Permit::Denied(_) => {}
            Permit::Ask(request) => {
                self.requests[index].asks = Some(request.serial);
                let owner = self.owner(vm, limit_id(endpoint));
                self.env.send(vm, owner, LimitMessage::Ask(request));
                self.push(vm, index, REPLY_TIMEOUT, VmEvent::AskOver);
            }
        }
    }

    fn finish(&mut self, index: usize, reply: Option<TokenReply>) {
        let now = self.env.now;
        let Request {
            vm, endpoint, rank, ..
        } = self.requests[index];
        if self.requests[index].asks.take().is_none() {
            return;
        }
        let id = limit_id(endpoint);
        let permit = self.vms[vm].limits.finish(now, id, rank, reply);
        self.decide(index, permit);
    }

    fn handle(&mut self, index: usize, event: VmEvent) {
        let now = self.env.now;
        let Request {
            vm,
            endpoint,
            sent,
            named,
            ..
        } = self.requests[index];
        match event {
            VmEvent::AskOver => self.finish(index, None),
            VmEvent::Answer => {
                let id = limit_id(endpoint);
                let change = self.vms[vm].limits.observe(now, id, sent, named);
                let rate = self.endpoints[endpoint].rate;
                if rate.is_some_and(|rate| named == NamedLimit::Rate(rate)) {
                    self.endpoints[endpoint].told.get_or_insert(now);
                }
                if change.is_some() {
                    self.tell(vm);
                }
            }
            VmEvent::Arrival => {
                let rate = self.endpoints[endpoint].rate;
                self.requests[index].named = rate.map_or(NamedLimit::Free, NamedLimit::Rate);
                self.push(vm, index, ANSWER_TIME, VmEvent::Answer);
                self.arrive(endpoint);
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let now = self.env.now;
        let disturbed = self.disturbed;
        let endpoint = &mut self.endpoints[index];
        endpoint.arrivals.push_back(now);
        while let Some(first) = endpoint.arrivals.front()
            && now.since(*first) >= WINDOW
        {
            endpoint.arrivals.pop_front();
        }
        let (Some(rate), Some(told)) = (endpoint.rate, endpoint.told) else {
            return;
        };
        let from = told.max(disturbed) + CONTACT_TIME;
        let in_window = endpoint.arrivals.iter().filter(|at| **at >= from);
        let (count, allowed) = (in_window.count(), RATE_FACTOR * rate * 4.0 + SLACK);
        if count as f64 > allowed {
            self.violation.get_or_insert(format!(
                "{count} requests came to endpoint {index} in 4 s at {now:?}, {allowed:.0} are allowed"
            ));
        }
    }

    fn verdict(&self) -> Result<(), String> {
        self.violation.clone().map_or(Ok(()), Err)
    }
}

/// Number of the latest requests among which the one that a reply belongs to is sought.
const MAX_OPEN: usize = 200;

impl Simulation<Step> for LimitsSim {
    fn step(&mut self, step: &Step) -> Result<(), String> {
        self.recover_frozen();
        match *step {
            Step::Run { millis } => self.run(Duration::from_millis(millis)),
            Step::Calls {
                per_second,
                first_percent,
            } => {
                self.calls = per_second;
                self.first_percent = first_percent;
            }
            Step::Name { endpoint, rate } => {
                let endpoint = &mut self.endpoints[endpoint];
                if endpoint.rate != rate {
                    endpoint.rate = rate;
                    endpoint.told = None;
                }
            }
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
                self.env.faults = LinkFaults {
                    loss_percent,
                    duplicate_percent,
                    max_delay: Duration::from_millis(delay_ms),
                };
            }
        }
        self.verdict()
    }

    fn settle(&mut self) -> Result<(), String> {
        self.env.faults = LinkFaults::default();
        for node in 0..VM_COUNT {
            if matches!(self.vms[node].state, VmState::Dead | VmState::Cut) {
                self.recover(node);
            }
        }
        self.run(CALM_TIME);
        self.verdict()
    }
}
