//! Simulation of brittle endpoints before many VMs, in virtual time.
//!
//! The VMs take their decisions by the code that the relay uses. The endpoints run calls in slots, let a few
//! wait, and crash when they reject too many in a second. Two figures come out: the crashes while the
//! endpoints say that they are brittle, and the share of what could run that was served.

mod calls;

use crate::cluster_env::{Environment, Event, NodeIndex};
use core::{net::Ipv4Addr, time::Duration};
use poplarswitch_entity::{DataCentre, EndpointName, ServiceName, Time};
use poplarswitch_ingress::{
    BoundRecord, EndpointEntry, EndpointKey, EndpointState, EndpointTable, GroupSplit, Health,
    PlacementDecision, PlacementRequest, Revision, SlotDecision, SlotFleet, SlotGrant, SlotMessage,
    SlotRequest,
};
use rand::RngExt as _;
use std::collections::{BTreeSet, VecDeque};

/// Interval of the periodic work of a VM, and number of VMs that each of its heartbeats reaches.
const TICK_INTERVAL: Duration = Duration::from_millis(300);
const FANOUT: usize = 5;
/// Time after which a VM that is gone is listed as alive no more, and after which a new one is.
const SILENCE: Duration = Duration::from_millis(2_200);
const DISCOVERY: Duration = Duration::from_millis(600);
/// Time in which a call reaches its endpoint, and an answer its VM.
const ONE_WAY: Duration = Duration::from_micros(1_500);
/// Time that the owner of slots has to reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which a call waits for a slot, and interval at which it looks for one.
const MAX_WAIT: Duration = Duration::from_millis(300);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which slots that were granted and not used are returned.
const UNUSED_TIME: Duration = Duration::from_millis(5);
/// Time for which an endpoint is down after a crash, and after which VMs know of its next incarnation.
const DOWN_TIME: Duration = Duration::from_secs(2);
const LISTING_DELAY: Duration = Duration::from_millis(300);
/// Window in which rejections count.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);
/// From when on endpoints say that they are brittle.
const BRITTLE_FROM: Time = Time::from_millis(4_000);
/// From when on fewer calls may wait, and rejections crash endpoints; the operators' rules leave the VMs
/// this time.
const SHRUNK_FROM: Time = Time::from_millis(7_000);
/// Number of kinds of [`SimEvent`]s.
const EVENTS: u64 = 9;

/// Disturbances of VMs while endpoints are brittle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// None.
    Calm,
    /// Every 300 ms a VM is killed, and starts again a second later.
    Restarts,
    /// A third of the VMs is killed at once, and starts again 3 s later.
    HerdKill,
    /// A tenth of the VMs is cut off from all others for 4 s.
    Cuts,
}

/// Rule by which VMs send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Slots are granted by their owners.
    Owners,
    /// Each VM keeps to an equal share of at least one call: a deliberate fault.
    RoundedShares,
    /// Every other VM is of an earlier build, which keeps to such a share and knows no owners.
    Mixed,
}

/// Sizes and demand of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Number of VMs.
    pub vms: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Slots of each endpoint.
    pub slots: u32,
    /// Calls that may wait at an endpoint at first, and in the end.
    pub queue: (u32, u32),
    /// Rejections in a second that an endpoint bears.
    pub bound: usize,
    /// Calls per second, as a multiple of what the endpoints can run.
    pub load: f64,
    /// Share of the calls that comes to the first tenth of the VMs.
    pub skew: f64,
    /// Mean time of a run.
    pub run_time: Duration,
    /// Disturbances of VMs.
    pub disturbance: Disturbance,
    /// Rule by which VMs send.
    pub rule: Rule,
}

/// Figures of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// Crashes after the endpoints have said that they are brittle.
    pub crashes: usize,
    /// Share of what could run that was served, from when on fewer calls could wait.
    pub usage: f64,
    /// Calls that were rejected by endpoints in that time.
    pub rejected: usize,
    /// Datagrams about slots that each VM sent in a second.
    pub datagrams: f64,
}

#[derive(Clone, Copy, Debug)]
enum SimEvent {
    Arrive,
    Finish,
    Answer,
    ReplyOver,
    WaitOver,
    Unused,
    Restart,
    Listed,
    Waits,
}

impl SimEvent {
    const ALL: [Self; EVENTS as usize] = [
        Self::Arrive,
        Self::Finish,
        Self::Answer,
        Self::ReplyOver,
        Self::WaitOver,
        Self::Unused,
        Self::Restart,
        Self::Listed,
        Self::Waits,
    ];
}

#[derive(Clone, Debug)]
enum Message {
    Slots(SlotMessage),
    Bounds(Vec<BoundRecord>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    Asking(EndpointKey),
    Waiting(Option<EndpointKey>),
    Sent,
    Rejected,
    Failed,
    Served,
    Over,
}

#[derive(Clone, Debug)]
struct Call {
    vm: NodeIndex,
    epoch: u32,
    rank: u8,
    state: CallState,
    wait_end: Time,
    endpoint: usize,
    incarnation: u64,
    key: Option<EndpointKey>,
    tried: Vec<EndpointKey>,
    sent: Time,
}

#[derive(Debug)]
struct Vm {
    table: EndpointTable,
    is_up: bool,
    is_cut: bool,
    epoch: u32,
    started: Time,
    gone: Time,
    /// Calls that ask or wait.
    pending: BTreeSet<usize>,
    unused: Vec<EndpointKey>,
    /// Until when nothing is sent to an endpoint under [`Rule::RoundedShares`].
    crowded: Vec<Time>,
}

#[derive(Debug, Default)]
struct Endpoint {
    incarnation: u64,
    is_down: bool,
    running: BTreeSet<usize>,
    queued: VecDeque<usize>,
    rejections: VecDeque<Time>,
}

/// The VMs, the endpoints and the callers.
#[derive(Debug)]
pub struct BrittleSim {
    env: Environment<Message>,
    scenario: Scenario,
    vms: Vec<Vm>,
    endpoints: Vec<Endpoint>,
    calls: Vec<Call>,
    crashes: usize,
    rejected: usize,
    served: usize,
    offered: usize,
    datagrams: usize,
}

fn ip(vm: NodeIndex) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a00_0001 + vm as u32)
}

fn service() -> ServiceName {
    ServiceName::new("booking")
}

impl BrittleSim {
    /// Starts all VMs and endpoints.
    pub fn new(seed: u64, scenario: Scenario) -> Self {
        let vm = |_| Vm {
            table: EndpointTable::default(),
            is_up: true,
            is_cut: false,
            epoch: 1,
            started: Time::ZERO,
            gone: Time::ZERO,
            pending: BTreeSet::new(),
            unused: Vec::new(),
            crowded: vec![Time::ZERO; scenario.endpoints],
        };
        let mut sim = Self {
            env: Environment::new(seed),
            scenario,
            vms: (0..scenario.vms).map(vm).collect(),
            endpoints: (0..scenario.endpoints)
                .map(|_| Endpoint::default())
                .collect(),
            calls: Vec::new(),
            crashes: 0,
            rejected: 0,
            served: 0,
            offered: 0,
            datagrams: 0,
        };
        for vm in 0..scenario.vms {
            sim.list(vm);
            let first = TICK_INTERVAL.mul_f64(vm as f64 / scenario.vms as f64);
            sim.env.schedule_wake(vm, Some(Time::ZERO + first));
        }
        sim.env.schedule_wake(scenario.vms, Some(Time::ZERO));
        sim
    }

    /// Runs until `end` and returns the figures.
    pub fn run(mut self, end: Time) -> Figures {
        let mut disturbed = 0;
        while let Some(event) = self.env.next_event(end) {
            let step = self.env.now.since(SHRUNK_FROM).as_millis() as u64 / 300;
            while self.env.now >= SHRUNK_FROM && disturbed <= step {
                self.disturb(disturbed);
                disturbed += 1;
            }
            match event {
                Event::Wake(node) if node == self.scenario.vms => self.send_calls(),
                Event::Wake(node) => self.tick(node),
                Event::Deliver { from, to, message } => self.receive(from, to, message),
                Event::Custom { node, code } => {
                    let event = SimEvent::ALL[(code % EVENTS) as usize];
                    self.handle(node, (code / EVENTS) as usize, event);
                }
                Event::Request { .. } | Event::Reply { .. } => {}
            }
        }
        let seconds = end.since(SHRUNK_FROM).as_secs_f64();
        let runnable = (self.capacity() * seconds).min(self.offered as f64);
        Figures {
            crashes: self.crashes,
            usage: self.served as f64 / runnable,
            rejected: self.rejected,
            datagrams: self.datagrams as f64 / end.as_secs_f64() / self.scenario.vms as f64,
        }
    }

    /// Calls that the endpoints can run in a second.
    fn capacity(&self) -> f64 {
        let slots = f64::from(self.scenario.slots) * self.scenario.endpoints as f64;
        slots / self.scenario.run_time.as_secs_f64()
    }

    /// Whether a VM keeps to an equal share of at least one call.
    const fn rounds_share(&self, vm: NodeIndex) -> bool {
        match self.scenario.rule {
            Rule::Owners => false,
            Rule::RoundedShares => true,
            Rule::Mixed => vm % 2 == 1,
        }
    }

    fn push(&mut self, node: NodeIndex, index: usize, delay: Duration, event: SimEvent) {
        let code = index as u64 * EVENTS + event as u64;
        let at = self.env.now + delay;
        self.env.push(at, Event::Custom { node, code });
    }

    // VMs.

    fn entry(&self, endpoint: usize) -> EndpointEntry {
        let incarnation = self.endpoints[endpoint].incarnation;
        EndpointEntry {
            name: EndpointName::new(format!("booking-{endpoint}")),
            service: service(),
            address: "10.1.0.1:80".parse().expect("the address is valid"),
            data_centre: DataCentre::new("bole"),
            slots: self.scenario.slots,
            state: EndpointState::Ready,
            start_ms: incarnation + 1,
            software: None,
            spot: false,
            revision: Revision {
                era: 0,
                number: incarnation * 1_000 + endpoint as u64 + 1,
            },
        }
    }

    fn list(&mut self, vm: NodeIndex) {
        let entries: Vec<EndpointEntry> =
            (0..self.endpoints.len()).map(|e| self.entry(e)).collect();
        let newest = entries.iter().map(|entry| entry.revision).max();
        let table = &mut self.vms[vm].table;
        table.apply_listing(entries, newest.unwrap_or_default(), None);
    }

    /// Whether `viewer` takes `other` to be alive.
    fn hears(&self, viewer: NodeIndex, other: NodeIndex) -> bool {
        if viewer == other {
            return true;
        }
        let now = self.env.now;
        let [this, that] = [viewer, other].map(|vm| &self.vms[vm]);
        let is_lost = (this.is_cut || that.is_cut) && now.since(this.gone.max(that.gone)) > SILENCE;
        let is_dead = !that.is_up && now.since(that.gone) > SILENCE;
        let is_new = that.started > Time::ZERO && now.since(that.started) < DISCOVERY;
        !is_lost && !is_dead && !is_new
    }

    fn tick(&mut self, vm: NodeIndex) {
        let now = self.env.now;
        self.env.schedule_wake(vm, Some(now + TICK_INTERVAL));
        if !self.vms[vm].is_up || self.rounds_share(vm) {
            return;
        }
        for wait in [100, 200] {
            let delay = Duration::from_millis(wait);
            self.push(vm, vm, delay, SimEvent::Waits);
        }
        let (alive, silent) = (0..self.vms.len()).partition(|other| self.hears(vm, *other));
        let addresses = |vms: Vec<usize>| vms.into_iter().map(ip).collect();
        let fleet = SlotFleet {
            local: ip(vm),
            started: self.vms[vm].started,
            alive: addresses(alive),
            silent: addresses(silent),
        };
        let table = &mut self.vms[vm].table;
        table.set_slot_fleet(fleet);
        let news = table.bound_news(now);
        let outbox = table.refresh_slots(now);
        self.send_requests(vm, outbox.requests);
        self.send_grants(vm, outbox.grants);
        for _ in 0..FANOUT {
            let to = self.env.rng.random_range(0..self.vms.len());
            if to != vm && !news.is_empty() {
                self.env.send(vm, to, Message::Bounds(news.clone()));
            }
        }
    }

    fn send_requests(
        &mut self,
        vm: NodeIndex,
        requests: impl IntoIterator<Item = (Ipv4Addr, SlotRequest)>,
    ) {
        for (to, request) in requests {
            self.send(vm, to, SlotMessage::Requests(vec![request]));
        }
    }

    fn send_grants(&mut self, vm: NodeIndex, grants: Vec<(Ipv4Addr, SlotGrant)>) {
        for (to, grant) in grants {
            self.send(vm, to, SlotMessage::Grants(vec![grant]));
        }
    }

    fn send(&mut self, vm: NodeIndex, to: Ipv4Addr, message: SlotMessage) {
        let to = (to.to_bits() - ip(0).to_bits()) as usize;
        let message = Message::Slots(message);
        if to == vm {
            let (from, now) = (vm, self.env.now);
            self.env.push(now, Event::Deliver { from, to, message });
        } else {
            self.datagrams += 1;
            self.env.send(vm, to, message);
        }
    }

    fn receive(&mut self, from: NodeIndex, to: NodeIndex, message: Message) {
        let now = self.env.now;
        if !self.vms[to].is_up || self.rounds_share(to) {
            return;
        }
        let table = &mut self.vms[to].table;
        match message {
            Message::Bounds(records) => table.merge_bounds(now, &records),
            Message::Slots(SlotMessage::Requests(requests)) => {
                let grants = table.receive_slot_requests(now, ip(from), &requests);
                self.send_grants(to, grants);
            }
            Message::Slots(SlotMessage::Grants(grants)) => {
                let keys = table.receive_slot_grants(now, ip(from), &grants);
                for key in &keys {
                    self.release(to, *key);
                }
                if !keys.is_empty() {
                    self.vms[to].unused.extend(keys);
                    self.push(to, to, UNUSED_TIME, SimEvent::Unused);
                }
                self.wake_calls(to);
            }
        }
    }

    fn wake_calls(&mut self, vm: NodeIndex) {
        let pending: Vec<usize> = self.vms[vm].pending.iter().copied().collect();
        for index in pending {
            let table = &self.vms[vm].table;
            let rank = self.calls[index].rank;
            match self.calls[index].state {
                CallState::Asking(key) if !table.awaits_slot(key) => self.take_again(index, key),
                CallState::Waiting(Some(key)) if table.has_free_slot(self.env.now, key, rank) => {
                    self.end_wait(index);
                    self.place(index);
                }
                _ => {}
            }
        }
    }

    fn release(&mut self, vm: NodeIndex, key: EndpointKey) {
        let now = self.env.now;
        let request = self.vms[vm].table.release_slots(now, key);
        self.send_requests(vm, request);
    }

    // Disturbances.

    fn disturb(&mut self, step: u64) {
        let count = self.vms.len();
        match (self.scenario.disturbance, step) {
            (Disturbance::Restarts, _) => {
                let step = step as usize;
                self.kill(step % count);
                if step >= 3 {
                    self.start((step - 3) % count);
                }
            }
            (Disturbance::HerdKill, 2) => (0..count).step_by(3).for_each(|vm| self.kill(vm)),
            (Disturbance::HerdKill, 12) => (0..count).step_by(3).for_each(|vm| self.start(vm)),
            (Disturbance::Cuts, 2 | 16) => {
                let now = self.env.now;
                for vm in (0..count).step_by(10) {
                    self.vms[vm].is_cut = step == 2;
                    self.vms[vm].gone = now;
                    for other in (0..count).filter(|other| *other != vm) {
                        let links = [(vm, other), (other, vm)];
                        for link in links {
                            if step == 2 {
                                self.env.cut_links.insert(link);
                            } else {
                                self.env.cut_links.remove(&link);
                            }
                        }
                    }
                }
            }
            _ => {}
        }
    }

    fn kill(&mut self, vm: NodeIndex) {
        let now = self.env.now;
        self.vms[vm].is_up = false;
        self.vms[vm].gone = now;
        self.vms[vm].pending.clear();
        for endpoint in 0..self.endpoints.len() {
            let calls = &self.calls;
            let is_gone = |call: &usize| calls[*call].vm == vm;
            let running: Vec<usize> = self.endpoints[endpoint].running.iter().copied().collect();
            self.endpoints[endpoint]
                .queued
                .retain(|call| !is_gone(call));
            for call in running.into_iter().filter(is_gone) {
                self.endpoints[endpoint].running.remove(&call);
            }
            self.run_next(endpoint);
        }
        for call in self.calls.iter_mut().filter(|call| call.vm == vm) {
            call.state = CallState::Over;
        }
    }

    fn start(&mut self, vm: NodeIndex) {
        let now = self.env.now;
        let state = &mut self.vms[vm];
        if state.is_up {
            return;
        }
        state.is_up = true;
        state.started = now;
        state.epoch += 1;
        state.table = EndpointTable::default();
        state.table.set_slot_epoch(state.epoch);
        self.list(vm);
        self.tick(vm);
    }
}

/// Number of an endpoint; none if it has been removed.
fn endpoint_of(table: &EndpointTable, key: EndpointKey) -> Option<usize> {
    let name = table.get(key)?.entry.name.as_str();
    name.rsplit('-').next()?.parse().ok()
}
