//! Streams and the versions of endpoints: VMs that begin streams and take them up, in virtual time.
//!
//! The first VMs read the platform, the others get their views. The platform shows each change, or only what
//! is left of them if it has lost its history. Messages between VMs arrive at once or are lost. The oracle knows
//! the version that sent the first event of each stream. An endpoint to which a stream is sent is checked for
//! its start time, as the relay does.

use crate::cluster_search::Simulation;
use core::{net::Ipv4Addr, time::Duration};
use poplarswitch_entity::{DataCentre, EndpointName, ServiceName, Time, VmName};
use poplarswitch_ingress::{
    EndpointEntry, EndpointState, EndpointTable, NoVersion, Revision, SoftwareVersion, StreamId,
    StreamOrigin, StreamOrigins, ToldVersions, VersionView, ViewEnd, VmEntry, asked_vms,
    copy_holders, stream_keepers,
};
use proptest::{prelude::*, sample::select};
use proptest_state_machine::ReferenceStateMachine;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;

const VM_COUNT: usize = 5;
const ENDPOINT_COUNT: usize = 3;
/// Interval of the periodic work of a VM.
const TICK: Duration = Duration::from_millis(100);
/// Share of the ticks at which a VM sees the present endpoints.
const VIEW_SHARE: f64 = 0.5;
/// Share of the ticks at which a VM reads the entries of all, and that while it may have missed versions.
const LIST_SHARE: f64 = 0.02;
const GAP_LIST_SHARE: f64 = 0.2;
/// Share of the views of the platform that don't show what was since the last one.
const GAP_SHARE: f64 = 0.03;
/// Time for which callers take a stream up, from its first event on.
const STREAM_TIME: Duration = Duration::from_secs(25);
/// Time before a loss of all VMs in which none may have written to the platform what it has seen, and number
/// of streams of that time that may go on at another version.
const UNWRITTEN_TIME: Duration = Duration::from_millis(100);
const MAX_UNWRITTEN: usize = 2;
/// VMs that read the platform for others, and write the versions that they have seen to it.
const READERS: usize = 2;
/// Unix time at the start of the clock, in milliseconds, and start of the clock in the simulation.
const UNIX_MS: u64 = 1_800_000_000_000;
const START: Time = Time::from_millis(1_000_000);
const SERVICE: &str = "chat";

/// One step of the simulation.
#[derive(Clone, Debug)]
pub enum Step {
    /// Lets time pass, in milliseconds.
    Run(u64),
    /// Replaces the process of an endpoint by one of a version; none if it names none.
    Upgrade {
        /// The endpoint.
        endpoint: usize,
        /// Its new version.
        version: Option<u8>,
    },
    /// A VM begins a stream.
    Begin(usize),
    /// A caller takes one of the latest streams up at a VM.
    Resume {
        /// The VM.
        vm: usize,
        /// Number of streams that began after it.
        back: usize,
        /// Whether the caller names the attempt that brought the first event.
        is_named: bool,
    },
    /// Kills a VM, or all if there is no such VM.
    Kill(usize),
    /// Starts the VMs that were killed.
    Start,
    /// A VM sees no changes of endpoints for a time in milliseconds.
    Blind {
        /// The VM.
        vm: usize,
        /// Duration in milliseconds.
        millis: u64,
    },
    /// Sets the share of lost messages, in per cent.
    Loss(u32),
}

/// A deliberate fault that the oracle has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Streams go on at any endpoint.
    AnyVersion,
    /// Streams without a record go on at the version that the VM sees first.
    AssumeFirst,
}

/// Generates the steps; the state is the seed of the simulation. Callers that don't name the attempt come
/// only with `UNNAMED`.
#[derive(Debug)]
pub struct Machine<const UNNAMED: bool>;

impl<const UNNAMED: bool> ReferenceStateMachine for Machine<UNNAMED> {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        let vm = 0..VM_COUNT;
        let versions = select(vec![None, Some(1), Some(1), Some(2), Some(3)]);
        prop_oneof![
            8 => prop_oneof![100_u64..1_000, 1_000_u64..12_000].prop_map(Step::Run),
            4 => (0..ENDPOINT_COUNT, versions)
                .prop_map(|(endpoint, version)| Step::Upgrade { endpoint, version }),
            6 => vm.clone().prop_map(Step::Begin),
            8 => (vm.clone(), 0..4_usize, any::<bool>())
                .prop_map(|(vm, back, is_named)| Step::Resume {
                    vm,
                    back,
                    is_named: is_named || !UNNAMED,
                }),
            2 => (0..=VM_COUNT).prop_map(Step::Kill),
            2 => Just(Step::Start),
            1 => (vm, 100_u64..6_000).prop_map(|(vm, millis)| Step::Blind { vm, millis }),
            1 => (0_u32..50).prop_map(Step::Loss),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}

#[derive(Debug)]
struct Vm {
    origins: StreamOrigins,
    endpoints: EndpointTable,
    is_up: bool,
    started: Time,
    /// When it last saw the present endpoints.
    confirmed: Option<Time>,
    blind_until: Time,
    /// Its entry in the platform.
    entry: VmEntry,
}

impl Vm {
    fn view_end(&self) -> ViewEnd {
        ViewEnd {
            confirmed: self.confirmed,
            revision: self.endpoints.revision(),
        }
    }
}

#[derive(Debug)]
struct Stream {
    id: StreamId,
    /// Version that sent the first event; none if it names none.
    version: Option<u8>,
    began: Time,
    /// Whether all VMs were lost before they can have written what they had seen.
    is_unwritten: bool,
}

/// The VMs, the endpoints and the streams.
#[derive(Debug)]
pub struct StreamsSim {
    now: Time,
    rng: Pcg64Mcg,
    loss_percent: u32,
    vms: Vec<Vm>,
    /// The present endpoints, with their versions.
    endpoints: Vec<(EndpointEntry, Option<u8>)>,
    /// All entries that have been, in the order of their revisions.
    history: Vec<EndpointEntry>,
    revision: Revision,
    streams: Vec<Stream>,
    /// Number of streams that went on at another version because nothing can have been written of theirs.
    unwritten: usize,
    fault: Option<Fault>,
}

fn ip(vm: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, vm as u8)
}

fn vm_of(ip: Ipv4Addr) -> usize {
    usize::from(ip.octets()[3])
}

fn software(version: Option<u8>) -> SoftwareVersion {
    version.map_or_else(SoftwareVersion::default, |version| {
        SoftwareVersion::new(&format!("v{version}"))
    })
}

impl StreamsSim {
    /// Starts all VMs, and endpoints of one version, with a deliberate fault if one is given.
    pub fn new(seed: u64, fault: Option<Fault>) -> Self {
        let vm = |vm| Vm {
            origins: StreamOrigins::default(),
            endpoints: EndpointTable::default(),
            is_up: true,
            started: START,
            confirmed: None,
            blind_until: Time::ZERO,
            entry: VmEntry {
                name: VmName::new(format!("vm-{vm}")),
                ip: ip(vm),
                data_centre: "a".to_owned(),
                start_ms: UNIX_MS + START.0 / 1_000,
                revision: Revision { era: 0, number: 1 },
                held: Vec::new(),
                versions: Vec::new(),
                streams: Vec::new(),
            },
        };
        let mut sim = Self {
            now: START,
            rng: Pcg64Mcg::seed_from_u64(seed),
            loss_percent: 0,
            vms: (0..VM_COUNT).map(vm).collect(),
            endpoints: Vec::new(),
            history: Vec::new(),
            revision: Revision::default(),
            streams: Vec::new(),
            unwritten: 0,
            fault,
        };
        for endpoint in 0..ENDPOINT_COUNT {
            let entry = sim.new_entry(endpoint, Some(1));
            sim.endpoints.push((entry, Some(1)));
        }
        sim
    }

    fn unix_ms(&self) -> u64 {
        UNIX_MS + self.now.0 / 1_000
    }

    fn new_entry(&mut self, endpoint: usize, version: Option<u8>) -> EndpointEntry {
        self.revision.number += 1;
        let entry = EndpointEntry {
            name: EndpointName::new(format!("e{endpoint}")),
            service: ServiceName::new(SERVICE),
            address: (Ipv4Addr::LOCALHOST, 1 + endpoint as u16).into(),
            data_centre: DataCentre::new("a"),
            slots: 4,
            state: EndpointState::Ready,
            // Distinguishes processes of the same millisecond.
            start_ms: self.unix_ms() + self.revision.number,
            software: Some(software(version)),
            spot: false,
            revision: self.revision,
        };
        self.history.push(entry.clone());
        entry
    }

    fn others(&self, vm: usize) -> Vec<Ipv4Addr> {
        let up = (0..VM_COUNT).filter(|other| *other != vm && self.vms[*other].is_up);
        up.map(ip).collect()
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_range(0..100) < self.loss_percent
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        let (now, unix_ms) = (self.now, self.unix_ms());
        for vm in 0..VM_COUNT {
            let sees = self.rng.random_bool(VIEW_SHARE);
            if !self.vms[vm].is_up {
                continue;
            }
            if sees && now >= self.vms[vm].blind_until {
                match self.readers().first() {
                    Some(reader) if !self.is_reader(vm) => self.feed(*reader, vm),
                    _ => self.see(vm),
                }
            }
            let has_gap = self.vms[vm].origins.has_open_gap();
            let share = if has_gap { GAP_LIST_SHARE } else { LIST_SHARE };
            if self.rng.random_bool(share) && now >= self.vms[vm].blind_until {
                let entries = self.entries();
                let origins = &mut self.vms[vm].origins;
                origins.read_entries(now, now, unix_ms, &entries);
            }
            let Vm {
                origins, endpoints, ..
            } = &mut self.vms[vm];
            origins.note_versions(now, endpoints);
            for (stream, origin) in origins.take_retold(VM_COUNT) {
                self.tell_keepers(vm, stream, &origin);
            }
            let Vm { origins, entry, .. } = &mut self.vms[vm];
            if origins.streams_due().is_some_and(|at| at <= now) {
                entry.streams = origins.write_streams(now);
            }
        }
        self.write_versions();
    }

    /// The VMs that read the platform.
    fn readers(&self) -> Vec<usize> {
        let is_reader = |vm: &usize| self.vms[*vm].is_up && self.now >= self.vms[*vm].blind_until;
        (0..VM_COUNT).filter(is_reader).take(READERS).collect()
    }

    fn is_reader(&self, vm: usize) -> bool {
        self.readers().contains(&vm)
    }

    fn write_versions(&mut self) {
        let (now, unix_ms) = (self.now, self.unix_ms());
        for reader in self.readers() {
            let vm = &mut self.vms[reader];
            vm.entry.versions = vm.origins.kept_versions(now, unix_ms);
        }
    }

    /// The entries of all VMs in the platform.
    fn entries(&self) -> Vec<VmEntry> {
        self.vms.iter().map(|vm| vm.entry.clone()).collect()
    }

    /// Lets a VM see the present endpoints, and the readers, whose watches are open.
    fn see(&mut self, vm: usize) {
        for reader in self.readers() {
            self.read(reader);
        }
        if !self.is_reader(vm) {
            self.read(vm);
        }
        self.write_versions();
    }

    /// Lets a VM read the platform.
    fn read(&mut self, vm: usize) {
        let entries = self.endpoints.iter().map(|(entry, _)| entry.clone());
        let entries: Vec<EndpointEntry> = entries.collect();
        let Vm {
            origins, endpoints, ..
        } = &mut self.vms[vm];
        let seen = endpoints.revision();
        if seen == Revision::default() || self.rng.random_bool(GAP_SHARE) {
            if seen != self.revision {
                origins.record_gap(self.now, self.revision);
            }
            origins.add_versions(self.now, entries.iter().map(EndpointEntry::service_version));
        } else {
            let passed = self.history.iter().filter(|entry| entry.revision > seen);
            origins.add_versions(self.now, passed.map(EndpointEntry::service_version));
        }
        endpoints.apply_listing(entries, self.revision, None);
        self.vms[vm].confirmed = Some(self.now);
    }

    /// Lets a VM have the view of another one.
    fn feed(&mut self, from: usize, to: usize) {
        let now = self.now;
        let Vm {
            origins,
            endpoints,
            confirmed: until,
            ..
        } = &mut self.vms[from];
        let (entries, revision, until) = (endpoints.entries(), endpoints.revision(), *until);
        let Some(history) = origins.sent_history(now, endpoints) else {
            return;
        };
        let vm = &mut self.vms[to];
        if revision < vm.endpoints.revision() {
            return;
        }
        let seen = entries.iter().map(EndpointEntry::service_version);
        vm.origins.add_versions(now, seen);
        let end = ViewEnd {
            confirmed: until,
            revision,
        };
        let own_end = vm.view_end();
        vm.origins.merge_history(now, now, &history, &end, &own_end);
        vm.endpoints.apply_listing(entries, revision, None);
        vm.confirmed = vm.confirmed.max(until);
    }

    fn kill(&mut self, vm: usize) {
        self.vms[vm].is_up = false;
    }

    fn kill_all(&mut self) {
        let now = self.now;
        let latest = self.streams.iter_mut();
        for stream in latest.filter(|stream| now.since(stream.began) < UNWRITTEN_TIME) {
            stream.is_unwritten = true;
        }
        (0..VM_COUNT).for_each(|vm| self.kill(vm));
    }

    fn start(&mut self, vm: usize) {
        if self.vms[vm].is_up {
            return;
        }
        let (now, unix_ms) = (self.now, self.unix_ms());
        let entries = self.entries();
        let started = &mut self.vms[vm];
        started.is_up = true;
        started.started = now;
        started.confirmed = None;
        started.blind_until = Time::ZERO;
        started.endpoints = EndpointTable::default();
        started.origins = StreamOrigins::default();
        let name = started.entry.name.clone();
        started.origins.restore(now, unix_ms, &name, &entries);
        started.entry.start_ms = unix_ms;
        self.see(vm);
        let started = &mut self.vms[vm];
        started.origins.note_versions(now, &started.endpoints);
        started.entry.versions = started.origins.kept_versions(now, unix_ms);
        started.entry.streams = started.origins.write_streams(now);
    }

    /// The endpoint that a VM takes for the `choice`-th one of those that `fits`, its version as its entry
    /// tells, and whether the process that runs is that of the entry.
    fn choose(
        &mut self,
        vm: usize,
        fits: impl Fn(&SoftwareVersion) -> bool,
    ) -> Option<(usize, SoftwareVersion, bool)> {
        let entries = self.vms[vm].endpoints.entries();
        let fitting = entries.iter().filter_map(|entry| {
            let software = entry.software.clone().filter(|software| fits(software))?;
            let index = self.endpoints.iter();
            let index = index
                .clone()
                .position(|(real, _)| real.name == entry.name)?;
            let is_same = self.endpoints[index].0.start_ms == entry.start_ms;
            Some((index, software, is_same))
        });
        let fitting: Vec<(usize, SoftwareVersion, bool)> = fitting.collect();
        if fitting.is_empty() {
            return None;
        }
        let choice = self.rng.random_range(0..fitting.len());
        fitting.into_iter().nth(choice)
    }

    fn tell_keepers(&mut self, vm: usize, stream: StreamId, origin: &StreamOrigin) {
        let mut up = self.others(vm);
        up.push(ip(vm));
        for keeper in stream_keepers(&up) {
            if vm_of(keeper) == vm || !self.is_lost() {
                let origins = &mut self.vms[vm_of(keeper)].origins;
                origins.remember(self.now, stream, origin);
            }
        }
    }

    fn record(&mut self, vm: usize, stream: StreamId, software: SoftwareVersion) {
        let now = self.now;
        let origin = StreamOrigin {
            service: ServiceName::new(SERVICE),
            software,
        };
        self.vms[vm].origins.record(now, stream, &origin);
        self.tell_keepers(vm, stream, &origin);
        for holder in copy_holders(stream, &self.others(vm)) {
            if !self.is_lost() {
                let told = [(origin.clone(), vec![stream])];
                self.vms[vm_of(holder)].origins.merge(now, &told);
            }
        }
    }

    fn begin(&mut self, vm: usize) {
        if !self.vms[vm].is_up {
            return;
        }
        let Some((endpoint, software, is_same)) = self.choose(vm, |_| true) else {
            return;
        };
        let id = StreamId::new(&format!("c{}", self.streams.len()));
        self.streams.push(Stream {
            id,
            version: self.endpoints[endpoint].1,
            began: self.now,
            is_unwritten: false,
        });
        let software = if is_same {
            software
        } else {
            SoftwareVersion::default()
        };
        self.record(vm, id, software);
    }

    /// The only version that a VM knows for a service, once the platform has shown it the endpoints
    /// if only that is missing.
    fn confirmed_version(&mut self, vm: usize, told: &[ToldVersions]) -> Option<SoftwareVersion> {
        let found = self.only_version(vm, told);
        if found != Err(NoVersion::Unconfirmed) || self.now < self.vms[vm].blind_until {
            return found.ok();
        }
        self.see(vm);
        self.only_version(vm, told).ok()
    }

    /// The version at which a VM lets a stream go on.
    fn find(&mut self, vm: usize, stream: Option<StreamId>) -> Option<SoftwareVersion> {
        let now = self.now;
        let service = ServiceName::new(SERVICE);
        let own = stream.and_then(|stream| self.vms[vm].origins.get(now, stream).cloned());
        if let Some(origin) = own {
            return Some(origin.software).filter(SoftwareVersion::is_known);
        }
        let mut told = Vec::new();
        if stream.is_none()
            && let Some(only) = self.confirmed_version(vm, &told)
        {
            return Some(only);
        }
        let known: Vec<Ipv4Addr> = (0..VM_COUNT).filter(|other| *other != vm).map(ip).collect();
        for other in asked_vms(stream.unwrap_or(StreamId(0)), &self.others(vm), &known) {
            if !self.vms[vm_of(other)].is_up || self.is_lost() || self.is_lost() {
                continue;
            }
            let other = &self.vms[vm_of(other)];
            let found = stream.and_then(|stream| other.origins.get(now, stream));
            if let Some(origin) = found {
                return Some(origin.software.clone()).filter(SoftwareVersion::is_known);
            }
            let versions = other.origins.history(now, other.started, &service);
            told.extend(versions.map(|versions| ToldVersions {
                versions,
                until: Some(other.view_end()),
            }));
        }
        self.confirmed_version(vm, &told)
    }

    fn only_version(&self, vm: usize, told: &[ToldVersions]) -> Result<SoftwareVersion, NoVersion> {
        let (now, unix_ms) = (self.now, self.unix_ms());
        let vm = &self.vms[vm];
        if self.fault == Some(Fault::AssumeFirst) {
            let mut entries = vm.endpoints.entries().into_iter();
            let first = entries.next().and_then(|entry| entry.software);
            return first.ok_or(NoVersion::SeveralVersions);
        }
        let view = VersionView {
            now,
            asked: now,
            confirmed: vm.confirmed,
            started: vm.started,
            unix_ms,
            endpoints: &vm.endpoints,
            told,
        };
        vm.origins.only_version(&ServiceName::new(SERVICE), &view)
    }

    fn resume(&mut self, vm: usize, back: usize, is_named: bool) -> Result<(), String> {
        // What has happened at the same moment came before.
        self.now = self.now + Duration::from_micros(1);
        let Some(index) = self.streams.len().checked_sub(back + 1) else {
            return Ok(());
        };
        let Stream {
            id,
            version,
            began,
            is_unwritten,
        } = self.streams[index];
        if !self.vms[vm].is_up || self.now.since(began) >= STREAM_TIME {
            return Ok(());
        }
        let Some(pin) = self.find(vm, is_named.then_some(id)) else {
            return Ok(());
        };
        let is_any = self.fault == Some(Fault::AnyVersion);
        let chosen = self.choose(vm, |software| is_any || *software == pin);
        let Some((endpoint, software, true)) = chosen else {
            return Ok(());
        };
        let other = self.endpoints[endpoint].1;
        let is_other = version.is_none() || other != version;
        if is_other && is_unwritten && self.unwritten < MAX_UNWRITTEN {
            self.unwritten += 1;
            return Ok(());
        }
        if is_other {
            return Err(format!(
                "stream {index} of version {version:?} went on at version {other:?} by VM {vm} at {:?}",
                self.now
            ));
        }
        if is_named {
            self.record(vm, id, software);
        }
        Ok(())
    }
}

impl Simulation<Step> for StreamsSim {
    fn step(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Run(millis) => {
                let ticks = u128::from(millis) / TICK.as_millis();
                (0..ticks).for_each(|_| self.tick());
            }
            Step::Upgrade { endpoint, version } => {
                let entry = self.new_entry(endpoint, version);
                self.endpoints[endpoint] = (entry, version);
            }
            Step::Begin(vm) => self.begin(vm),
            Step::Resume { vm, back, is_named } => return self.resume(vm, back, is_named),
            Step::Kill(vm) if vm < VM_COUNT => self.kill(vm),
            Step::Kill(_) => self.kill_all(),
            Step::Start => (0..VM_COUNT).for_each(|vm| self.start(vm)),
            Step::Blind { vm, millis } => {
                self.vms[vm].blind_until = self.now + Duration::from_millis(millis);
            }
            Step::Loss(loss_percent) => self.loss_percent = loss_percent,
        }
        Ok(())
    }

    fn settle(&mut self) -> Result<(), String> {
        Ok(())
    }
}
