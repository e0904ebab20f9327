//! Simulation of a fleet of VMs that get the configuration, the endpoints and each other's addresses from
//! the platform and from one another, in virtual time.
//!
//! The VMs take their decisions by the code that the relay uses, and what they send each other has the
//! size of the relay's messages. Links have a rate that their transfers share. What comes out: when the VMs
//! are ready after their start, and how many calls the platform gets.

mod feed;
mod links;
mod platform;
mod tasks;

use core::{net::Ipv4Addr, time::Duration};
use links::Link;
use platform::{Call, Platform, Reply};
use poplarswitch_entity::Time;
use poplarswitch_ingress::{
    Config, EndpointEntry, EngineWork, Heartbeat, MemberRecord, Membership, Phase, ReadBackoff,
    Registrar, SourceSelector, VmEntry,
};
use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
};

/// Interval between the heartbeats of a VM.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Time in which a message reaches another VM, and a call the platform.
const ONE_WAY: Duration = Duration::from_millis(2);
/// Time after which an attempt to connect to a VM that is down fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after its start in which a VM that could not read what others hold serves without.
const HOLDS_WAIT: Duration = Duration::from_millis(300);
/// When the processes of the first VMs start.
const START: Time = Time::from_millis(1_000);
/// Time within which all VMs start.
const START_SPREAD: Duration = Duration::from_millis(300);

/// What the platform does to some VMs for a time.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Time from the start of the VMs to the beginning of the outage.
    pub from: Duration,
    /// Time from the start of the VMs to the end of the outage.
    pub to: Duration,
    /// Share of the VMs whose calls are refused.
    pub share: f64,
    /// Whether these VMs don't reach the others either.
    pub is_cut: bool,
}

/// Sizes and events of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of VMs.
    pub vms: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// Rate of the link of a VM, in bytes per second.
    pub link_rate: f64,
    /// The configuration.
    pub config: Config,
    /// Entries of the endpoints.
    pub endpoints: Vec<EndpointEntry>,
    /// Whether the VMs ran before, so that the platform knows them.
    pub is_restart: bool,
    /// Times from the start of the VMs at which the configuration changes.
    pub changes: Vec<Duration>,
    /// Outage of the platform.
    pub outage: Option<Outage>,
}

/// Figures of a run.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Time from the start of the last VM until each VM was ready, in ascending order; [`Duration::MAX`]
    /// for VMs that were not ready in time.
    pub ready: Vec<Duration>,
    /// For each change of the configuration, the time until all VMs had it that reach the platform or a
    /// VM that does; [`Duration::MAX`] if some didn't get it.
    pub applied: Vec<Duration>,
    /// Calls to the platform by their names.
    pub calls: BTreeMap<&'static str, usize>,
    /// Calls to the platform in each second from the start of the VMs.
    pub calls_by_second: Vec<usize>,
    /// Bytes that the busiest VM has sent in replies to others.
    pub most_sent: f64,
}

impl Figures {
    /// All calls to the platform.
    pub fn all_calls(&self) -> usize {
        self.calls.values().sum()
    }
}

/// What a VM does next with the platform or another VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Task {
    Registry,
    Set,
    Endpoints,
    Feed,
}

#[derive(Clone, Debug)]
enum SimEvent {
    Start,
    Beat,
    Datagram(Rc<Heartbeat>),
    /// A wait of a task is over.
    Timer(Task, u64),
    /// The platform's reply to a task.
    Reply(Task, u64, Reply),
    /// A call arrives at the platform.
    Call(Task, u64, Call),
    /// The wait of a watch is over.
    WatchOver(u64),
    /// A request of another VM arrives.
    Asked(feed::Request),
    /// The wait of a request of another VM is over.
    AskedOver(usize, u64),
    /// A reply of another VM arrives.
    Answered(u64, feed::Answer),
    /// No answer comes.
    Unanswered(u64),
    /// A transfer of this VM's link may have ended.
    LinkEnd(u64),
    /// The same, for the link of the platform.
    PlatformLinkEnd(u64),
    /// The configuration changes.
    Change,
}

/// Payload of a transfer.
#[derive(Clone, Debug)]
enum Payload {
    Reply(usize, Task, u64, Reply),
    Answer(usize, u64, feed::Answer),
}

#[derive(Debug)]
struct Vm {
    /// When the VM started; none before.
    started: Option<Time>,
    membership: Membership,
    sources: SourceSelector,
    registrar: Registrar,
    /// Entries of the pages that have been read.
    listed: Vec<VmEntry>,
    /// Other VMs of the data centre, as in the entry that is being written.
    peers: Vec<Ipv4Addr>,
    version: u64,
    config_confirmed: Option<Time>,
    endpoints_confirmed: Option<Time>,
    watches_endpoints: bool,
    /// Next page of a listing of endpoints that is under way.
    next_page: Option<usize>,
    /// When the last call of a task was sent.
    asked_at: HashMap<Task, Time>,
    platform_failed: bool,
    /// Number of the last operation of each task, and whether it is only a wait for a change.
    operations: HashMap<Task, (u64, bool)>,
    backoff: ReadBackoff,
    /// The VM that is asked for changes, and whether its reply has begun.
    asked: Option<(Ipv4Addr, bool)>,
    /// Requests of other VMs that wait for a change.
    pending: Vec<feed::Request>,
    ready_at: Option<Time>,
}

/// The VMs and the platform.
#[derive(Debug)]
pub struct FleetSim {
    scenario: Scenario,
    now: Time,
    rng: Pcg64Mcg,
    queue: BTreeMap<(Time, u64), (usize, SimEvent)>,
    serial: u64,
    vms: Vec<Vm>,
    links: Vec<Link<Payload>>,
    platform: Platform,
    sizes: feed::Sizes,
    /// Time of each change, and of the moment at which the last VM had it.
    changed: Vec<(Time, Option<Time>)>,
}

fn ip(vm: usize) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a00_0001 + vm as u32)
}

fn index_of(ip: Ipv4Addr) -> usize {
    (ip.to_bits() - 0x0a00_0001) as usize
}

impl FleetSim {
    /// Creates VMs that start within [`START_SPREAD`] of each other.
    pub fn new(seed: u64, scenario: Scenario) -> Self {
        let vm = |index: usize| Vm {
            started: None,
            membership: Membership::new(ip(index), (index % scenario.data_centres) as u8, 1),
            sources: SourceSelector::new(START),
            registrar: Registrar::new(START, ip(index), index as u64),
            listed: Vec::new(),
            peers: Vec::new(),
            version: 0,
            config_confirmed: None,
            endpoints_confirmed: None,
            watches_endpoints: false,
            next_page: None,
            asked_at: HashMap::new(),
            platform_failed: false,
            operations: HashMap::new(),
            backoff: ReadBackoff::default(),
            asked: None,
            pending: Vec::new(),
            ready_at: None,
        };
        let mut sim = Self {
            now: Time::ZERO,
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BTreeMap::new(),
            serial: 0,
            vms: (0..scenario.vms).map(vm).collect(),
            links: vec![Link::new(scenario.link_rate); scenario.vms],
            platform: Platform::new(&scenario),
            sizes: feed::Sizes::new(&scenario),
            changed: Vec::new(),
            scenario,
        };
        for index in 0..sim.vms.len() {
            let spread = sim.rng.random_range(0..=START_SPREAD.as_micros() as u64);
            sim.push(
                START + Duration::from_micros(spread),
                index,
                SimEvent::Start,
            );
        }
        for change in sim.scenario.changes.clone() {
            sim.push(START + change, 0, SimEvent::Change);
        }
        sim
    }

    /// Runs for a time from the start of the VMs and returns the figures.
    pub fn run(mut self, length: Duration) -> Figures {
        let end = START + length;
        while let Some(((at, _), (vm, event))) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(vm, event);
        }
        self.figures()
    }

    fn figures(self) -> Figures {
        let all_started = START + START_SPREAD;
        let mut ready: Vec<Duration> = self
            .vms
            .iter()
            .map(|vm| {
                vm.ready_at
                    .map_or(Duration::MAX, |at| at.since(all_started))
            })
            .collect();
        ready.sort_unstable();
        let applied = self
            .changed
            .iter()
            .map(|(at, last)| last.map_or(Duration::MAX, |last| last.since(*at)));
        let sent = self.links.iter().map(|link| link.sent);
        Figures {
            ready,
            applied: applied.collect(),
            calls: self.platform.calls,
            calls_by_second: self.platform.calls_by_second,
            most_sent: sent.max_by(f64::total_cmp).unwrap_or(0.0),
        }
    }

    fn push(&mut self, at: Time, vm: usize, event: SimEvent) {
        self.serial += 1;
        let key = (at.max(self.now), self.serial);
        self.queue.insert(key, (vm, event));
    }

    fn push_in(&mut self, delay: Duration, vm: usize, event: SimEvent) {
        self.push(self.now + delay, vm, event);
    }

    fn handle(&mut self, vm: usize, event: SimEvent) {
        match event {
            SimEvent::Start => self.start(vm),
            SimEvent::Change => self.change_config(),
            SimEvent::Call(task, serial, call) => self.serve_call(vm, task, serial, call),
            SimEvent::WatchOver(watch) => self.end_watch(watch),
            SimEvent::PlatformLinkEnd(changes) => self.end_platform_transfers(changes),
            _ if self.vms[vm].started.is_none() => {}
            SimEvent::Beat => self.beat(vm),
            SimEvent::Datagram(heartbeat) => self.receive(vm, &heartbeat),
            SimEvent::Timer(task, serial) => {
                if self.is_current(vm, task, serial) {
                    self.step(vm, task);
                }
            }
            SimEvent::Reply(task, serial, reply) => {
                if self.is_current(vm, task, serial) {
                    self.take_reply(vm, task, reply);
                }
            }
            SimEvent::Asked(request) => self.take_request(vm, request),
            SimEvent::AskedOver(child, serial) => self.answer_pending(vm, Some((child, serial))),
            SimEvent::Answered(serial, answer) => {
                if self.is_current(vm, Task::Feed, serial) {
                    self.take_answer(vm, answer);
                }
            }
            SimEvent::Unanswered(serial) => {
                let is_begun = self.vms[vm].asked.is_some_and(|(_, is_begun)| is_begun);
                if self.is_current(vm, Task::Feed, serial) && !is_begun {
                    self.fail_feed(vm);
                }
            }
            SimEvent::LinkEnd(changes) => self.end_transfers(vm, changes),
        }
    }

    fn start(&mut self, vm: usize) {
        let now = self.now;
        let state = &mut self.vms[vm];
        state.started = Some(now);
        state.sources = SourceSelector::new(now);
        state.registrar = Registrar::new(now, ip(vm), self.rng.next_u64());
        state.membership = Membership::new(ip(vm), (vm % self.scenario.data_centres) as u8, 1);
        self.beat(vm);
        for task in [Task::Registry, Task::Set, Task::Endpoints, Task::Feed] {
            self.step(vm, task);
        }
        // The wait for what others hold may be the last thing that keeps the VM from being ready.
        self.push_in(HOLDS_WAIT, vm, SimEvent::Timer(Task::Set, 0));
    }

    fn phase(&self, vm: usize) -> Phase {
        let state = &self.vms[vm];
        let started = state.started.unwrap_or(self.now);
        let has_holds = state.sources.is_listed() || self.now.since(started) > HOLDS_WAIT;
        if state.version > 0 && state.endpoints_confirmed.is_some() && has_holds {
            Phase::Ready
        } else {
            Phase::Starting
        }
    }

    fn beat(&mut self, vm: usize) {
        let (now, phase) = (self.now, self.phase(vm));
        if phase == Phase::Ready && self.vms[vm].ready_at.is_none() {
            self.vms[vm].ready_at = Some(now);
        }
        let rng = &mut self.rng;
        let membership = &mut self.vms[vm].membership;
        let receivers = membership.receivers(now, || rng.next_u64());
        let work = EngineWork::default();
        let heartbeats = membership.next_heartbeats(now, phase, work, receivers.len());
        let heartbeats: Vec<Rc<Heartbeat>> = heartbeats.into_iter().map(Rc::new).collect();
        for (receiver, heartbeat) in receivers.into_iter().zip(heartbeats.iter().cycle()) {
            self.send_datagram(vm, index_of(receiver), Rc::clone(heartbeat));
        }
        self.push_in(HEARTBEAT_INTERVAL, vm, SimEvent::Beat);
    }

    fn receive(&mut self, vm: usize, heartbeat: &Heartbeat) {
        let (now, phase) = (self.now, self.phase(vm));
        let members = &mut self.vms[vm].membership;
        let introduction = if members.knows_more(now, heartbeat) {
            members.introduction(now, phase, EngineWork::default())
        } else {
            Vec::new()
        };
        members.receive(now, heartbeat);
        let MemberRecord(sender, ..) = heartbeat.own;
        for heartbeat in introduction {
            self.send_datagram(vm, index_of(sender), Rc::new(heartbeat));
        }
    }

    fn send_datagram(&mut self, from: usize, to: usize, heartbeat: Rc<Heartbeat>) {
        if !self.is_parted(from, to) {
            self.push_in(ONE_WAY, to, SimEvent::Datagram(heartbeat));
        }
    }

    /// Whether an outage affects a VM now.
    fn is_affected(&self, vm: usize) -> bool {
        let Some(outage) = &self.scenario.outage else {
            return false;
        };
        let passed = self.now.since(START);
        let period = (1.0 / outage.share.max(0.01)).round() as usize;
        passed >= outage.from && passed < outage.to && vm.is_multiple_of(period.max(1))
    }

    /// Whether nothing passes between two VMs now.
    fn is_parted(&self, one: usize, other: usize) -> bool {
        self.scenario.outage.is_some_and(|outage| outage.is_cut)
            && self.is_affected(one) != self.is_affected(other)
    }

    /// Whether an operation is the last one of its task.
    fn is_current(&self, vm: usize, task: Task, serial: u64) -> bool {
        serial == 0 || self.vms[vm].operations.get(&task).map(|(last, _)| *last) == Some(serial)
    }

    fn view_age(&self, vm: usize) -> Option<Duration> {
        let state = &self.vms[vm];
        let endpoints = self.now.since(state.endpoints_confirmed?);
        let config = self.now.since(state.config_confirmed?);
        Some(config.max(endpoints))
    }

    fn reads_platform(&self, vm: usize) -> bool {
        let state = &self.vms[vm];
        let age = self.view_age(vm);
        state
            .sources
            .reads_platform(self.now, &state.membership, age)
    }

    /// Wakes the tasks of a VM that wait for a change.
    fn notify(&mut self, vm: usize) {
        if self.vms[vm].ready_at.is_none() && self.phase(vm) == Phase::Ready {
            self.vms[vm].ready_at = Some(self.now);
        }
        self.answer_pending(vm, None);
        for task in [Task::Set, Task::Endpoints, Task::Feed] {
            if let Some((_, true)) = self.vms[vm].operations.get(&task).copied() {
                self.step(vm, task);
            }
        }
    }

    /// Begins an operation of a task; returns its number.
    fn begin(&mut self, vm: usize, task: Task, is_wait: bool) -> u64 {
        self.serial += 1;
        let serial = self.serial;
        self.vms[vm].operations.insert(task, (serial, is_wait));
        serial
    }

    /// Lets a task wait; a change ends the wait if `is_wait`.
    fn wait(&mut self, vm: usize, task: Task, delay: Duration, is_wait: bool) {
        let serial = self.begin(vm, task, is_wait);
        self.push_in(delay, vm, SimEvent::Timer(task, serial));
    }

    /// Records that a VM may have got a newer configuration.
    fn apply_version(&mut self, vm: usize, version: u64) {
        let state = &mut self.vms[vm];
        if version <= state.version {
            return;
        }
        state.version = version;
        let now = self.now;
        let newest = self.changed.len() as u64 + 1;
        for (index, (_, last)) in self.changed.iter_mut().enumerate() {
            let needed = index as u64 + 2;
            let is_everywhere = self.vms.iter().all(|vm| vm.version >= needed);
            if is_everywhere && last.is_none() && needed <= newest {
                *last = Some(now);
            }
        }
    }
}
