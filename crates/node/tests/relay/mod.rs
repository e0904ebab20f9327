//! A fleet of relay processes on loopback addresses, with stand-ins around it.

#![allow(dead_code, reason = "each test program uses a part of it")]

use core::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};
use poplarswitch_deployment::{
    CallError, CallRequest, CallResponse, Caller, Configuration, Deployment, Endpoint,
    EndpointKind, Proxy, Run, Store, Vm,
};
use rustix::process::{Pid, Signal, kill_process};
use std::{
    fs::{self, File},
    net::TcpStream,
    process::{Child, Command, Stdio},
    thread,
    time::Instant,
};
use tempfile::TempDir;

/// How long anything may take before a test gives up on it.
const PATIENCE: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(20);
/// Addresses in one answer of the directory; from the operators' page.
const ADDRESSES_MOST: usize = 64;

pub const KEYS: [&str; 2] = ["k1", "k2"];

/// A relay process.
pub struct Process {
    pub vm: Vm,
    child: Option<Child>,
    /// It was told to leave.
    told: bool,
}

/// Relay processes, a store and endpoints.
pub struct Fleet {
    pub store: Store,
    pub endpoints: Vec<Endpoint>,
    pub proxies: Vec<Proxy>,
    /// The proxy between each VM and the store.
    pub store_links: Vec<Proxy>,
    pub processes: Vec<Process>,
    pub caller: Caller,
    deployment: Deployment,
    folder: TempDir,
    calls: AtomicU32,
}

impl Fleet {
    /// Starts VMs in the network `127.0.NET.0`, two engines and two booking services.
    pub fn start(net: u8, vms: u8) -> Self {
        let store = Store::start("127.0.0.1:0".parse().unwrap()).unwrap();
        store.configure(&Configuration::sample(1, &KEYS));
        let deployment = Deployment {
            store: store.address(),
            first_port: 8_400,
            data_centres: vec!["bole".to_owned(), "kality".to_owned()],
            seeds: vec![Ipv4Addr::new(127, 0, net, 1)],
        };
        let vms = (1..=vms).map(|n| Vm {
            name: format!("front-{n}"),
            ip: Ipv4Addr::new(127, 0, net, n),
            data_centre: deployment.data_centres[usize::from(n % 2)].clone(),
        });
        let store_links = (0..vms.len())
            .map(|_vm| Proxy::start(store.address()).unwrap())
            .collect();
        let processes = vms
            .map(|vm| Process {
                vm,
                child: None,
                told: false,
            })
            .collect();
        let mut fleet = Self {
            store,
            endpoints: Vec::new(),
            proxies: Vec::new(),
            store_links,
            processes,
            caller: Caller::new(Configuration::host()),
            deployment,
            folder: TempDir::new().unwrap(),
            calls: AtomicU32::new(0),
        };
        fleet.add_endpoint("engine-1", EndpointKind::Engine);
        fleet.add_endpoint("engine-2", EndpointKind::Engine);
        fleet.add_endpoint("booking-1", EndpointKind::Service);
        fleet.add_endpoint("booking-2", EndpointKind::Service);
        for index in 0..fleet.processes.len() {
            fleet.run(index);
        }
        fleet.await_ready();
        fleet
    }

    fn service(kind: EndpointKind) -> &'static str {
        match kind {
            EndpointKind::Engine => "engines",
            EndpointKind::Service => "booking",
        }
    }

    /// Starts an endpoint behind a proxy and registers it.
    pub fn add_endpoint(&mut self, name: &str, kind: EndpointKind) {
        let endpoint = Endpoint::start(name, kind, "127.0.0.1:0".parse().unwrap()).unwrap();
        let proxy = Proxy::start(endpoint.address()).unwrap();
        self.endpoints.push(endpoint);
        self.proxies.push(proxy);
        self.register(self.endpoints.len() - 1, kind, 1, false);
    }

    /// Writes the entry of an endpoint in one of its lives.
    pub fn register(&self, index: usize, kind: EndpointKind, life: u64, draining: bool) {
        let endpoint = &self.endpoints[index];
        let address = self.proxies[index].address();
        let entry = endpoint.entry(address, Self::service(kind), "bole", life, draining);
        self.store.register(endpoint.name(), entry);
    }

    /// Starts the process of a VM.
    pub fn run(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let file = self.folder.path().join(format!("{}.yaml", process.vm.name));
        let deployment = Deployment {
            store: self.store_links[index].address(),
            ..self.deployment.clone()
        };
        fs::write(&file, deployment.settings(&process.vm)).unwrap();
        let log = self.folder.path().join(format!("{}.log", process.vm.name));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_poplarswitch"))
            .args(["relay", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .unwrap();
        process.child = Some(child);
        process.told = false;
    }

    /// Whether the process of a VM runs.
    pub fn is_up(&self, index: usize) -> bool {
        self.processes[index].child.is_some()
    }

    /// Tells a VM to leave, if it runs.
    pub fn tell_to_leave(&mut self, index: usize) {
        if self.is_up(index) {
            self.signal(index, Signal::TERM);
            self.processes[index].told = true;
        }
    }

    /// Whether a VM runs that was told to leave.
    pub fn is_leaving(&self, index: usize) -> bool {
        self.is_up(index) && self.processes[index].told
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

    /// Starts the process of a VM, if it doesn't run, and waits until it listens: a signal that
    /// comes before the program has begun ends it like any program (soak seed 13).
    pub fn run_if_down(&mut self, index: usize) {
        if !self.is_up(index) {
            self.run(index);
            let ready = self.deployment.ready_address(&self.processes[index].vm);
            await_that("the process listens", || TcpStream::connect(ready).is_ok());
        }
    }

    /// The system's id of the process of a VM.
    pub fn process_id(&self, index: usize) -> u32 {
        self.processes[index].child.as_ref().unwrap().id()
    }

    /// Sends a signal to the process of a VM.
    pub fn signal(&self, index: usize, signal: Signal) {
        let child = self.processes[index].child.as_ref().unwrap();
        kill_process(Pid::from_child(child), signal).unwrap();
    }

    /// Kills the process of a VM.
    pub fn kill(&mut self, index: usize) {
        let mut child = self.processes[index].child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Waits until the process of a VM has ended by itself; returns whether it ended well.
    pub fn await_end(&mut self, index: usize) -> bool {
        let mut child = self.processes[index].child.take().unwrap();
        await_that("the process ends", || child.try_wait().unwrap().is_some());
        child.wait().unwrap().success()
    }

    /// Waits until all VMs that run take calls and know each other.
    pub fn await_ready(&self) {
        let running: Vec<&Process> = self
            .processes
            .iter()
            .filter(|process| process.child.is_some())
            .collect();
        for process in &running {
            let ready = self.deployment.ready_address(&process.vm);
            await_that("the VM is ready", || self.caller.is_ready(ready));
            let directory = self.deployment.directory_address(&process.vm);
            await_that("the VM knows the others", || {
                self.caller
                    .resolve(directory, "none")
                    .is_ok_and(|all| all.len() == running.len().min(ADDRESSES_MOST))
            });
        }
    }

    /// Addresses that a VM tells callers.
    pub fn addresses(&self, index: usize) -> Vec<SocketAddr> {
        let directory = self.deployment.directory_address(&self.processes[index].vm);
        self.caller.resolve(directory, "none").unwrap()
    }

    /// Where a VM takes calls.
    pub fn address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(
            self.processes[index].vm.ip.into(),
            self.deployment.first_port,
        )
    }

    /// Makes a call with a name of its own; returns the name too.
    pub fn call(&self, index: usize, path: &str) -> (String, Result<CallResponse, CallError>) {
        self.call_with(index, path, KEYS[0])
    }

    /// Makes a call with a key.
    pub fn call_with(
        &self,
        index: usize,
        path: &str,
        key: &str,
    ) -> (String, Result<CallResponse, CallError>) {
        let call = format!("c{}", self.calls.fetch_add(1, Ordering::Relaxed));
        let ask = CallRequest {
            id: &call,
            path,
            key,
            deadline: Duration::from_secs(8),
        };
        let told = self.caller.call(self.address(index), &ask);
        (call, told)
    }

    /// How often a call was run, by all endpoints.
    pub fn runs(&self, call: &str) -> usize {
        self.runs_of(call).count()
    }

    /// The runs of a call at all endpoints.
    pub fn runs_of(&self, call: &str) -> impl Iterator<Item = Run> {
        let runs = self.endpoints.iter().flat_map(Endpoint::runs);
        runs.filter(move |run| run.call_id == call)
    }

    /// The log of a VM.
    pub fn log(&self, index: usize) -> String {
        let name = &self.processes[index].vm.name;
        fs::read_to_string(self.folder.path().join(format!("{name}.log"))).unwrap()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self
            .processes
            .iter_mut()
            .filter_map(|process| process.child.as_mut())
        {
            // It may have ended already.
            let _ended = child.kill();
            let _waited = child.wait();
        }
        if thread::panicking() {
            for index in 0..self.processes.len() {
                eprintln!("{}", self.log(index));
            }
        }
    }
}

/// Waits until something holds.
pub fn await_that(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "waited in vain: {what}");
        thread::sleep(LOOK);
    }
}

/// The events of a whole stream.
pub fn events(call: &str, count: u32) -> String {
    let events: Vec<String> = (1..=count)
        .map(|id| format!("id: {id}\ndata: {call} {id}\n\n"))
        .collect();
    events.concat()
}
