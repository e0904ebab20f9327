//! The platform's calls and replies.

use super::{
    FleetSim, ONE_WAY, Payload, START, Scenario, SimEvent, Task, index_of, ip, links::Link,
};
use core::{net::Ipv4Addr, time::Duration};
use poplarswitch_entity::{Time, VmName};
use poplarswitch_ingress::{Membership, Revision, VmEntry};
use std::collections::BTreeMap;

/// Rate of the platform's link, in bytes per second.
const LINK_RATE: f64 = 125e6;
/// Time that the platform takes for a call.
const SERVICE_TIME: Duration = Duration::from_millis(4);
/// Number of entries in a page of a listing.
const PAGE: usize = 50;
/// Size of the entry of a VM, and of an endpoint, in bytes.
const ENTRY_BYTES: usize = 300;
/// Size of an address in the entry of a VM, in bytes.
const ADDRESS_BYTES: usize = 16;
/// Number of VMs of each data centre that have entries when all start again.
const ENTRIES_PER_DATA_CENTRE: usize = 3;
/// Ratio of the size of a configuration in the platform to that in messages between VMs.
const JSON_RATIO: f64 = 1.4;

/// A call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Call {
    ReadSet,
    /// Wait for a configuration newer than this version.
    WatchSet(u64, Duration),
    /// A page of the endpoints.
    ListEndpoints(usize),
    WatchEndpoints(Duration),
    /// A page of the VMs.
    ListVms(usize),
    AddVm,
    RemoveVm,
}

impl Call {
    const fn name(self) -> &'static str {
        match self {
            Self::ReadSet => "read_set",
            Self::WatchSet(..) => "watch_set",
            Self::ListEndpoints(_) => "list_endpoints",
            Self::WatchEndpoints(_) => "watch_endpoints",
            Self::ListVms(_) => "list_vms",
            Self::AddVm => "add_vm",
            Self::RemoveVm => "remove_vm",
        }
    }
}

/// The platform's reply.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Reply {
    /// The version of the configuration.
    Set(u64),
    /// Endpoints, and the next page.
    Endpoints(Option<usize>),
    /// Entries of VMs of a page, and the next page.
    Vms(Vec<VmEntry>, Option<usize>),
    /// A write is done.
    Done(Call),
    Refused,
}

fn entry(scenario: &Scenario, vm: usize, peers: Vec<Ipv4Addr>) -> VmEntry {
    VmEntry {
        name: VmName::new(format!("vm-{vm}")),
        ip: ip(vm),
        data_centre: (vm % scenario.data_centres).to_string(),
        peers,
        start_ms: 1,
        revision: Revision::default(),
        held: Vec::new(),
        versions: Vec::new(),
    }
}

/// A watch that waits for a change.
#[derive(Clone, Debug)]
struct Watch {
    number: u64,
    vm: usize,
    task: Task,
    serial: u64,
    call: Call,
}

/// The platform.
#[derive(Debug)]
pub(super) struct Platform {
    pub(super) calls: BTreeMap<&'static str, usize>,
    pub(super) calls_by_second: Vec<usize>,
    pub(super) version: u64,
    link: Link<Payload>,
    entries: BTreeMap<usize, VmEntry>,
    watches: Vec<Watch>,
    endpoint_count: usize,
}

impl Platform {
    pub(super) fn new(scenario: &Scenario) -> Self {
        let data_centres = (0..scenario.data_centres).filter(|_| scenario.is_restart);
        let entries = data_centres.flat_map(|data_centre| {
            let local = (0..scenario.vms)
                .skip(data_centre)
                .step_by(scenario.data_centres);
            let mut vms = Membership::new(ip(data_centre), data_centre as u8, 1);
            local.for_each(|vm| vms.add_member(ip(vm), Some(data_centre as u8)));
            let order = vms.listed_local_vms(Time::ZERO);
            let first = order.clone().into_iter().take(ENTRIES_PER_DATA_CENTRE);
            first.map(move |own| {
                let peers = order.iter().copied().filter(|ip| *ip != own).collect();
                (index_of(own), entry(scenario, index_of(own), peers))
            })
        });
        Self {
            calls: BTreeMap::new(),
            calls_by_second: Vec::new(),
            version: 1,
            link: Link::new(LINK_RATE),
            entries: entries.collect(),
            watches: Vec::new(),
            endpoint_count: scenario.endpoints.len(),
        }
    }

    fn count(&mut self, passed: Duration, call: Call) {
        *self.calls.entry(call.name()).or_default() += 1;
        let second = passed.as_secs() as usize;
        if self.calls_by_second.len() <= second {
            self.calls_by_second.resize(second + 1, 0);
        }
        self.calls_by_second[second] += 1;
    }
}

impl FleetSim {
    /// Sends a call to the platform as an operation of a task.
    pub(super) fn call(&mut self, vm: usize, task: Task, call: Call) {
        let serial = self.begin(vm, task, false);
        let passed = self.now.since(START);
        self.platform.count(passed, call);
        self.push_in(ONE_WAY, vm, SimEvent::Call(task, serial, call));
    }

    pub(super) fn serve_call(&mut self, vm: usize, task: Task, serial: u64, call: Call) {
        if self.is_affected(vm) {
            return self.push_in(ONE_WAY, vm, SimEvent::Reply(task, serial, Reply::Refused));
        }
        let wait = match call {
            Call::WatchSet(known, wait) if known >= self.platform.version => wait,
            Call::WatchEndpoints(wait) => wait,
            _ => return self.reply(vm, task, serial, call),
        };
        self.serial += 1;
        let number = self.serial;
        self.platform.watches.push(Watch {
            number,
            vm,
            task,
            serial,
            call,
        });
        self.push_in(wait, vm, SimEvent::WatchOver(number));
    }

    pub(super) fn end_watch(&mut self, number: u64) {
        let watches = &mut self.platform.watches;
        if let Some(index) = watches.iter().position(|watch| watch.number == number) {
            let watch = watches.swap_remove(index);
            self.reply(watch.vm, watch.task, watch.serial, watch.call);
        }
    }

    pub(super) fn change_config(&mut self) {
        self.platform.version += 1;
        self.changed.push((self.now, None));
        let is_set = |watch: &mut Watch| matches!(watch.call, Call::WatchSet(..));
        let ended: Vec<Watch> = self.platform.watches.extract_if(.., is_set).collect();
        for watch in ended {
            self.reply(watch.vm, watch.task, watch.serial, watch.call);
        }
    }

    fn reply(&mut self, vm: usize, task: Task, serial: u64, call: Call) {
        let version = self.platform.version;
        let config_bytes = (self.sizes.plain_config as f64 * JSON_RATIO) as usize;
        let (reply, bytes) = match call {
            Call::ReadSet => (Reply::Set(version), config_bytes),
            Call::WatchSet(known, _) if known < version => (Reply::Set(version), config_bytes),
            Call::WatchSet(..) => (Reply::Set(version), ENTRY_BYTES),
            Call::ListEndpoints(from) => {
                let count = self.platform.endpoint_count.saturating_sub(from).min(PAGE);
                let more = (from + count < self.platform.endpoint_count).then_some(from + count);
                (Reply::Endpoints(more), count * ENTRY_BYTES)
            }
            Call::WatchEndpoints(_) => (Reply::Endpoints(None), ENTRY_BYTES),
            Call::ListVms(from) => {
                let entries = &self.platform.entries;
                let page = entries.range(from..).take(PAGE);
                let next = page.clone().last().map(|(vm, _)| vm + 1);
                let page: Vec<VmEntry> = page.map(|(_, entry)| entry.clone()).collect();
                let more = next.filter(|next| entries.range(next..).next().is_some());
                let peers: usize = page.iter().map(|entry| entry.peers.len()).sum();
                let bytes = page.len() * ENTRY_BYTES + peers * ADDRESS_BYTES;
                (Reply::Vms(page, more), bytes)
            }
            Call::AddVm => {
                let entry = entry(&self.scenario, vm, self.vms[vm].peers.clone());
                self.platform.entries.insert(vm, entry);
                (Reply::Done(call), ENTRY_BYTES)
            }
            Call::RemoveVm => {
                self.platform.entries.remove(&vm);
                (Reply::Done(call), ENTRY_BYTES)
            }
        };
        let rate = self.links[vm].rate();
        let payload = Payload::Reply(vm, task, serial, reply);
        self.platform.link.start(self.now, bytes, rate, payload);
        self.schedule_platform_link();
    }

    fn schedule_platform_link(&mut self) {
        let link = &self.platform.link;
        if let Some(at) = link.next_end() {
            let event = SimEvent::PlatformLinkEnd(link.changes);
            self.push(at, 0, event);
        }
    }

    pub(super) fn end_platform_transfers(&mut self, changes: u64) {
        if self.platform.link.changes != changes {
            return;
        }
        for payload in self.platform.link.take_finished(self.now) {
            self.deliver(payload, SERVICE_TIME + ONE_WAY);
        }
        self.schedule_platform_link();
    }

    /// Hands a payload that has left its sender to its receiver.
    pub(super) fn deliver(&mut self, payload: Payload, delay: Duration) {
        match payload {
            Payload::Reply(vm, task, serial, reply) => {
                self.push_in(delay, vm, SimEvent::Reply(task, serial, reply));
            }
            Payload::Answer(vm, serial, answer) => {
                self.push_in(delay, vm, SimEvent::Answered(serial, answer));
            }
        }
    }
}
