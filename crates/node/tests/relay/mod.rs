//! Relay processes on loopback addresses, with stand-ins for the store, endpoints and callers.

#![allow(dead_code, reason = "each test target uses only some of the items")]

use core::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};
use poplarswitch_deployment::{
    CallError, CallRequest, CallResponse, Caller, Configuration, Deployment, Endpoint,
    EndpointKind, LinkMode, Proxy, Run, Store, StoreView, TakenUp, Vm,
};
use rustix::process::{Pid, Signal, kill_process};
use std::{
    fs::{self, File},
    net::TcpStream,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::Instant,
};
use tempfile::TempDir;

/// Longest wait for a condition; after it the test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of addresses in one response of the directory; from the operators' specification.
const MAX_ADDRESSES: usize = 64;

/// First port of each VM.
const FIRST_PORT: u16 = 8_400;
/// Port at which VMs reach each other.
const PEER_PORT: u16 = FIRST_PORT + 3;
/// Port at which a VM listens for others while it is cut off from them.
const CUT_OFF_PORT: u16 = FIRST_PORT + 13;
/// Time after a crash after which the entry of an endpoint lapses.
const LAPSE_TIME: Duration = Duration::from_secs(1);

/// Time after its start in which a VM may get entries of endpoints from VMs of other data centres.
const FEED_TIME: Duration = Duration::from_millis(3_500);

/// API keys of the only workspace.
pub const KEYS: [&str; 2] = ["k1", "k2"];

/// A VM and its relay process.
pub struct Process {
    pub vm: Vm,
    child: Option<Child>,
    /// When SIGTERM was sent to the process by [`Fleet::terminate_if_up`].
    term_sent: Option<Instant>,
    /// Whether the VM is cut off from the other VMs from its next start on.
    pub cut_off: bool,
    /// Program that its next start runs, if it is not the one under test.
    pub program: Option<PathBuf>,
}

/// The relay processes of several VMs, the store and the endpoints.
pub struct Fleet {
    pub store: Store,
    pub endpoints: Vec<Endpoint>,
    /// The proxy between the VMs and each endpoint.
    pub proxies: Vec<Proxy>,
    /// The proxy between each VM and the store.
    pub store_proxies: Vec<Proxy>,
    /// The links between each VM and each endpoint, if VMs have links of their own.
    pub links: Vec<Vec<Proxy>>,
    /// The store as each VM sees it, if VMs have links of their own.
    views: Vec<StoreView>,
    pub processes: Vec<Process>,
    pub caller: Caller,
    /// Name of the registered incarnation of each endpoint, empty while it is down.
    registered: Vec<Option<String>>,
    /// Entries that lapse, and when.
    lapsing: Vec<(Instant, String)>,
    pub deployment: Deployment,
    temp_dir: TempDir,
    call_count: AtomicU32,
}

impl Fleet {
    /// Starts VMs in the network `127.0.NET.0`, two engines and two endpoints of the service
    /// `booking`, and waits until the VMs are ready.
    pub fn start(net: u8, vms: u8) -> Self {
        let mut fleet = Self::new(net, vms);
        fleet.start_all();
        fleet.await_ready();
        fleet
    }

    /// Like [`Self::start`], but starts no VM.
    ///
    /// The settings of the VMs name no seeds, so that VMs can find each other in the platform only.
    pub fn new(net: u8, vms: u8) -> Self {
        let store = Store::start("127.0.0.1:0".parse().unwrap()).unwrap();
        store.configure(&Configuration::sample(1, &KEYS));
        let deployment = Deployment {
            store: store.address(),
            first_port: FIRST_PORT,
            peer_port: PEER_PORT,
            data_centres: vec!["bole".to_owned(), "kality".to_owned()],
            seeds: Vec::new(),
            duties: None,
        };
        let vms = (1..=vms).map(|n| Vm {
            name: format!("front-{n}"),
            ip: Ipv4Addr::new(127, 0, net, n),
            data_centre: deployment.data_centres[usize::from(n % 2)].clone(),
        });
        let store_proxies = (0..vms.len())
            .map(|_vm| Proxy::start(store.address()).unwrap())
            .collect();
        let processes = vms
            .map(|vm| Process {
                vm,
                child: None,
                term_sent: None,
                cut_off: false,
                program: None,
            })
            .collect();
        let mut fleet = Self {
            store,
            endpoints: Vec::new(),
            proxies: Vec::new(),
            store_proxies,
            links: Vec::new(),
            views: Vec::new(),
            processes,
            caller: Caller::new(Configuration::host()),
            registered: Vec::new(),
            lapsing: Vec::new(),
            deployment,
            temp_dir: TempDir::new().unwrap(),
            call_count: AtomicU32::new(0),
        };
        fleet.add_endpoint("engine-1", EndpointKind::Engine);
        fleet.add_endpoint("engine-2", EndpointKind::Engine);
        fleet.add_endpoint("booking-1", EndpointKind::Service);
        fleet.add_endpoint("booking-2", EndpointKind::Service);
        fleet
    }

    /// Starts VMs as [`Self::start`] does, each with links of its own to the endpoints and in a data
    /// centre of its own, so that it reads the addresses of its links from the platform.
    pub fn start_linked(net: u8, vms: u8) -> Self {
        let mut fleet = Self::new(net, vms);
        fleet.deployment.data_centres = (1..=vms).map(|n| format!("dc-{n}")).collect();
        for (index, process) in fleet.processes.iter_mut().enumerate() {
            process
                .vm
                .data_centre
                .clone_from(&fleet.deployment.data_centres[index]);
            let view = fleet.store.view().unwrap();
            fleet.store_proxies[index] = Proxy::start(view.address()).unwrap();
            let links = fleet.proxies.iter().map(|proxy| {
                let link = Proxy::start(proxy.address()).unwrap();
                view.replace(proxy.address(), link.address());
                link
            });
            fleet.links.push(links.collect());
            fleet.views.push(view);
        }
        fleet.start_all();
        fleet.await_ready();
        // A VM that has just started gets entries, with other links, from other VMs.
        thread::sleep(FEED_TIME);
        let before: Vec<Vec<u32>> = (0..fleet.links.len())
            .map(|vm| fleet.accepted(vm))
            .collect();
        for index in 0..fleet.endpoints.len() {
            let kind = fleet.endpoints[index].kind();
            fleet.register(index, kind, 2, false);
        }
        for (vm, before) in before.iter().enumerate() {
            for (path, kind) in [("/brief/1", 0..2), ("/seats/1", 2..4)] {
                wait_until("the VM uses its links", || {
                    let response = fleet.call(vm, path).1;
                    response.is_ok_and(|response| response.status == 200)
                        && fleet.accepted(vm)[kind.clone()] != before[kind.clone()]
                });
            }
        }
        fleet
    }

    /// Number of connections that each link of a VM has accepted.
    pub fn accepted(&self, vm: usize) -> Vec<u32> {
        self.links[vm].iter().map(Proxy::accepted).collect()
    }

    /// Changes the links between a VM and all endpoints.
    pub fn set_links(&self, vm: usize, mode: LinkMode) {
        if mode == LinkMode::Resets {
            // No link may accept connections when the first connection is reset.
            self.set_links(vm, LinkMode::RefusesNew);
        }
        for link in &self.links[vm] {
            link.set_mode(mode);
        }
    }

    /// Starts the processes of all VMs at once; does not wait until they are ready.
    pub fn start_all(&mut self) {
        for index in 0..self.processes.len() {
            self.start_process(index);
        }
    }

    /// Starts an endpoint of the service of its kind behind a proxy and registers it.
    pub fn add_endpoint(&mut self, name: &str, kind: EndpointKind) {
        self.add_endpoint_of(Self::service_name(kind), name, kind);
    }

    fn service_name(kind: EndpointKind) -> &'static str {
        match kind {
            EndpointKind::Engine => "engines",
            EndpointKind::Service => "booking",
        }
    }

    /// Starts an endpoint of a service behind a proxy and registers it.
    pub fn add_endpoint_of(&mut self, service: &str, name: &str, kind: EndpointKind) {
        let endpoint = Endpoint::start(name, kind, "127.0.0.1:0".parse().unwrap()).unwrap();
        let proxy = Proxy::start(endpoint.address()).unwrap();
        self.endpoints.push(endpoint);
        self.proxies.push(proxy);
        self.register_of(service, self.endpoints.len() - 1, 1, false);
    }

    /// Writes the entry of one incarnation of an endpoint of the service of its kind to the store.
    pub fn register(&self, index: usize, kind: EndpointKind, incarnation: u64, draining: bool) {
        self.register_of(Self::service_name(kind), index, incarnation, draining);
    }

    /// Writes the entry of one incarnation of an endpoint of a service to the store.
    pub fn register_of(&self, service: &str, index: usize, incarnation: u64, draining: bool) {
        let endpoint = &self.endpoints[index];
        let address = self.proxies[index].address();
        let entry = endpoint.entry(address, service, "bole", incarnation, draining);
        self.store.register(&endpoint.name(), entry);
    }

    /// Sets the slots of an endpoint, also in its entry.
    pub fn set_slots(&self, index: usize, count: u16) {
        let endpoint = &self.endpoints[index];
        endpoint.set_slots(count);
        self.register(index, endpoint.kind(), 1, false);
    }

    /// Endpoints that have come back under a new name, whose entries are to be written now; lets the
    /// entries of the incarnations before lapse.
    pub fn returned_endpoints(&mut self) -> Vec<usize> {
        let now = Instant::now();
        self.registered.resize_with(self.endpoints.len(), || None);
        let mut returned = Vec::new();
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            let name = endpoint.name();
            let known = self.registered[index].get_or_insert_with(|| name.clone());
            if *known != name && !known.is_empty() {
                let ended = core::mem::take(known);
                self.lapsing.push((now + LAPSE_TIME, ended));
            }
            if known.is_empty() && !endpoint.is_down() {
                *known = name;
                returned.push(index);
            }
        }
        for (_, name) in self.lapsing.extract_if(.., |(at, _)| *at <= now) {
            self.store.unregister(&name);
        }
        returned
    }

    /// Waits until a condition holds, and meanwhile registers endpoints that come back.
    pub fn register_until(&mut self, mut holds: impl FnMut(&Self) -> bool) {
        while !holds(self) {
            for index in self.returned_endpoints() {
                let incarnation = self.endpoints[index].crashes().len() as u64 + 1;
                self.register(index, self.endpoints[index].kind(), incarnation, false);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits for a time, and meanwhile registers endpoints that come back.
    pub fn register_for(&mut self, length: Duration) {
        let start = Instant::now();
        self.register_until(|_| start.elapsed() >= length);
    }

    /// Starts the process of a VM; does not wait until it is ready.
    pub fn start_process(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let file = self
            .temp_dir
            .path()
            .join(format!("{}.yaml", process.vm.name));
        let deployment = Deployment {
            store: self.store_proxies[index].address(),
            // VMs send to each other's addresses at the port at which they listen themselves.
            peer_port: if process.cut_off {
                CUT_OFF_PORT
            } else {
                PEER_PORT
            },
            ..self.deployment.clone()
        };
        fs::write(&file, deployment.settings(&process.vm)).unwrap();
        let log = self
            .temp_dir
            .path()
            .join(format!("{}.log", process.vm.name));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let current = Path::new(env!("CARGO_BIN_EXE_poplarswitch"));
        let child = Command::new(process.program.as_deref().unwrap_or(current))
            .args(["relay", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .unwrap();
        process.child = Some(child);
        process.term_sent = None;
    }

    /// Whether the process of a VM has been started and neither killed nor awaited.
    pub fn is_up(&self, index: usize) -> bool {
        self.processes[index].child.is_some()
    }

    /// Sends SIGTERM to the process of a VM, if it runs.
    pub fn terminate_if_up(&mut self, index: usize) {
        if self.is_up(index) {
            self.signal(index, Signal::TERM);
            self.processes[index].term_sent = Some(Instant::now());
        }
    }

    /// Whether the process of a VM runs and [`Self::terminate_if_up`] has sent SIGTERM to it.
    pub fn is_terminating(&self, index: usize) -> bool {
        self.is_up(index) && self.processes[index].term_sent.is_some()
    }

    /// Sends a signal to the process of a VM, if it runs.
    pub fn signal_if_up(&self, index: usize, signal: Signal) {
        if self.is_up(index) {
            self.signal(index, signal);
        }
    }

    /// Kills the process of a VM, if it runs.
    pub fn kill_if_up(&mut self, index: usize) {
        if self.is_up(index) {
            self.kill(index);
        }
    }

    /// Starts the process of a VM, if it doesn't run, and waits until it listens.
    ///
    /// Before that, the program may not have installed its signal handlers, and SIGTERM would kill
    /// it (soak seed 13).
    pub fn start_if_down(&mut self, index: usize) {
        if !self.is_up(index) {
            self.start_process(index);
            let ready = self.deployment.ready_address(&self.processes[index].vm);
            wait_until("the process listens", || TcpStream::connect(ready).is_ok());
        }
    }

    /// Process ID of a VM's process.
    pub fn pid(&self, index: usize) -> u32 {
        self.processes[index].child.as_ref().unwrap().id()
    }

    /// Sends a signal to the process of a VM.
    pub fn signal(&self, index: usize, signal: Signal) {
        let child = self.processes[index].child.as_ref().unwrap();
        kill_process(Pid::from_child(child), signal).unwrap();
    }

    /// Kills the process of a VM and waits for its end.
    pub fn kill(&mut self, index: usize) {
        let mut child = self.processes[index].child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Whether the process of a VM has exited.
    ///
    /// # Panics
    ///
    /// Panics if the process has been told to leave and is still there after [`WAIT_TIMEOUT`].
    pub fn has_exited(&mut self, index: usize) -> bool {
        let process = &mut self.processes[index];
        let child = process.child.as_mut().unwrap();
        let has_exited = child.try_wait().unwrap().is_some();
        let waited = process.term_sent.map(|sent| sent.elapsed());
        assert!(
            has_exited || waited.is_none_or(|waited| waited < WAIT_TIMEOUT),
            "timed out waiting until the process exits"
        );
        has_exited
    }

    /// Waits until the process of a VM exits; returns whether its exit status is success. A process that
    /// doesn't exit in time stays with the fleet, which ends it.
    pub fn await_exit(&mut self, index: usize) -> bool {
        let child = self.processes[index].child.as_mut().unwrap();
        wait_until("the process exits", || child.try_wait().unwrap().is_some());
        let mut child = self.processes[index].child.take().unwrap();
        child.wait().unwrap().success()
    }

    /// Whether a VM accepts calls.
    pub fn is_ready(&self, index: usize) -> bool {
        let ready = self.deployment.ready_address(&self.processes[index].vm);
        self.caller.is_ready(ready)
    }

    /// Waits until all VMs that run accept calls and list each other.
    pub fn await_ready(&self) {
        let running: Vec<&Process> = self
            .processes
            .iter()
            .filter(|process| process.child.is_some())
            .collect();
        for process in &running {
            let ready = self.deployment.ready_address(&process.vm);
            wait_until("the VM is ready", || self.caller.is_ready(ready));
            let directory = self.deployment.directory_address(&process.vm);
            wait_until("the VM lists the others", || {
                self.caller
                    .resolve(directory, "none")
                    .is_ok_and(|addresses| addresses.len() == running.len().min(MAX_ADDRESSES))
            });
        }
    }

    /// Addresses that the directory of a VM gives to callers.
    pub fn addresses(&self, index: usize) -> Vec<SocketAddr> {
        let directory = self.deployment.directory_address(&self.processes[index].vm);
        self.caller.resolve(directory, "none").unwrap()
    }

    /// Address at which a VM accepts calls.
    pub fn address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(
            self.processes[index].vm.ip.into(),
            self.deployment.first_port,
        )
    }

    /// Makes a call with the first key; returns its new identifier and its result.
    pub fn call(&self, index: usize, path: &str) -> (String, Result<CallResponse, CallError>) {
        self.call_with_key(index, path, KEYS[0])
    }

    /// Makes a call with the given key; returns its new identifier and its result.
    pub fn call_with_key(
        &self,
        index: usize,
        path: &str,
        key: &str,
    ) -> (String, Result<CallResponse, CallError>) {
        self.request(index, &CallRequest::new("", path, key))
    }

    /// Makes a call as given, but with a new identifier; returns that and the result.
    pub fn request(
        &self,
        index: usize,
        request: &CallRequest<'_>,
    ) -> (String, Result<CallResponse, CallError>) {
        let id = self.next_id();
        let request = CallRequest {
            id: &id,
            ..request.clone()
        };
        let response = self.caller.call(self.address(index), &request);
        (id, response)
    }

    /// Makes a call with the given sections of a prompt; returns its new identifier and its result.
    pub fn call_with_prompt(
        &self,
        index: usize,
        path: &str,
        prompt: &str,
    ) -> (String, Result<CallResponse, CallError>) {
        self.call_for(index, path, prompt, Duration::from_secs(3))
    }

    /// Makes a call with the given sections of a prompt that waits for `deadline`; returns its new
    /// identifier and its result.
    pub fn call_for(
        &self,
        index: usize,
        path: &str,
        prompt: &str,
        deadline: Duration,
    ) -> (String, Result<CallResponse, CallError>) {
        let request = CallRequest {
            deadline,
            prompt,
            ..CallRequest::new("", path, KEYS[0])
        };
        self.request(index, &request)
    }

    /// Makes a call that takes a stream up again; returns its new identifier and its result.
    pub fn take_up(
        &self,
        index: usize,
        path: &str,
        stream: TakenUp<'_>,
    ) -> (String, Result<CallResponse, CallError>) {
        let request = CallRequest {
            continues: Some(stream),
            ..CallRequest::new("", path, KEYS[0])
        };
        self.request(index, &request)
    }

    fn next_id(&self) -> String {
        format!("c{}", self.call_count.fetch_add(1, Ordering::Relaxed))
    }

    /// Number of runs of a call at all endpoints.
    pub fn run_count(&self, id: &str) -> usize {
        self.runs_of(id).count()
    }

    /// The runs of a call at all endpoints.
    pub fn runs_of(&self, id: &str) -> impl Iterator<Item = Run> {
        let runs = self.endpoints.iter().flat_map(Endpoint::runs);
        runs.filter(move |run| run.call_id == id)
    }

    /// Log of all processes of a VM so far.
    pub fn log(&self, index: usize) -> String {
        let name = &self.processes[index].vm.name;
        fs::read_to_string(self.temp_dir.path().join(format!("{name}.log"))).unwrap()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self
            .processes
            .iter_mut()
            .filter_map(|process| process.child.as_mut())
        {
            // The process may have exited already.
            let _killed = child.kill();
            let _waited = child.wait();
        }
        if thread::panicking() {
            for index in 0..self.processes.len() {
                eprintln!("{}", self.log(index));
            }
        }
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if the condition does not hold within [`WAIT_TIMEOUT`].
pub fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {condition}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Times at which requests arrived at an endpoint.
pub fn arrival_times(fleet: &Fleet, endpoint: usize) -> Vec<Instant> {
    let arrivals = fleet.endpoints[endpoint].arrivals();
    arrivals.into_iter().map(|arrival| arrival.at).collect()
}

/// Body of the complete stream that answers a call.
pub fn stream_body(call_id: &str, count: u32) -> String {
    let events: Vec<String> = (1..=count)
        .map(|id| format!("id: {id}\ndata: {call_id} {id}\n\n"))
        .collect();
    events.concat()
}

/// The last complete event in a part of a stream.
pub fn last_event(body: &str) -> Option<String> {
    let complete = &body[..body.rfind("\n\n")?];
    let id = complete.lines().rfind(|line| line.starts_with("id: "))?;
    Some(id["id: ".len()..].to_owned())
}
