//! The machines of the system: settings files, processes, and the platform's limit on their memory.

use crate::record::Record;
use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
};

/// Program of the deploy file.
const PROGRAM: &str = "target/release/poplarswitch";
/// Ports of a VM.
pub const FRONTEND_PORT: u16 = 8227;
pub const READY_PORT: u16 = 8220;
const CONTROL_PORT: u16 = 8229;
const DIRECTORY_PORT: u16 = 8224;
/// First of the ports for traffic between VMs.
const PEER_PORT: u16 = 7340;
/// Port of the deploy file for metrics.
const METRICS_PORT: u16 = 9464;

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Processes that were started and have not been awaited.
static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn kill_all() {
    for (_, child) in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A network of machines on loopback addresses.
#[derive(Clone, Debug)]
pub struct Network {
    prefix: (u8, u8),
    directory: Arc<Directory>,
    pub store: SocketAddr,
}

impl Network {
    /// Takes a network on whose addresses the ports of VMs are free.
    pub fn new(store: SocketAddr) -> Result<Self, String> {
        let pid = std::process::id();
        let directory = std::env::temp_dir().join(format!("poplarswitch-review-{pid}"));
        fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
        let mut network = Self {
            prefix: (0, 0),
            directory: Arc::new(Directory(directory)),
            store,
        };
        for number in 0..100 {
            network.prefix = (100 + ((pid + number) % 100) as u8, (pid / 100 % 250) as u8);
            if (1..=3).all(|vm| network.is_free(vm)) {
                return Ok(network);
            }
        }
        Err("no free ports".to_owned())
    }

    fn is_free(&self, number: u8) -> bool {
        let mut ports = [
            FRONTEND_PORT,
            READY_PORT,
            DIRECTORY_PORT,
            PEER_PORT,
            METRICS_PORT,
        ]
        .into_iter();
        ports.all(|port| TcpListener::bind(self.address(number, port)).is_ok())
    }

    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.prefix.0, self.prefix.1, number)
    }

    /// Address of the VM with a number at one of its ports.
    pub fn address(&self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(number).into(), port)
    }

    /// Starts the process of a VM in a zone, with the settings that the platform writes.
    pub fn start(
        &self,
        number: u8,
        zone: &str,
        memory_mb: u64,
        record: &Record,
    ) -> Result<(), String> {
        let ip = self.ip(number);
        let settings = format!(
            r#"node_name: "front-{number}"
role: "relay"
machine_class: "front"
serves: ["front", "directory"]
ip: "{ip}"
zone: "{zone}"
region: "atlas"
zones:
  ifrane: "atlas"
  azrou: "atlas"
  michlifen: "atlas"
listen:
  frontend: "{ip}:{FRONTEND_PORT}"
  ready: "{ip}:{READY_PORT}"
  control: "{ip}:{CONTROL_PORT}"
  directory: "{ip}:{DIRECTORY_PORT}"
internal_ports: [{PEER_PORT}, 7355]
seeds: []
bootstrap: true
counts_as_loss: false
limits: {{cpu_share: 0.25, cores: 1, memory_mb: {memory_mb}, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}}
data_dir: null
discovery: "platform"
entry: "directory"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
fault_tolerance: {{machines: 1, zones: 0, regions: 0}}
bounds: {{seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, outer_bound_ms: 5000, revoke_strict: true, revoke_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 58, recovery_s: 12, pass_ms: 120, reuse_window_s: 10, ttl_max_s: 5}}
platform: {{address: "{}", form: "objects", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}}
"#,
            self.store
        );
        let file = self.directory.0.join(format!("front-{number}.yaml"));
        fs::write(&file, settings).map_err(|error| error.to_string())?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.directory.0.join(format!("front-{number}.log")))
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new(PROGRAM);
        command
            .arg("relay")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        let kept = ["PATH", "HOME", "LANG"].into_iter();
        let kept = kept.filter_map(|name| Some((name, std::env::var_os(name)?)));
        command
            .env_clear()
            .envs(kept)
            .env("POPLARSWITCH_NODE_FILE", &file);
        let child = command
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        record.line(
            &format!("front-{number}"),
            &format!("process {} starts", child.id()),
        );
        CHILDREN
            .lock()
            .unwrap()
            .push((format!("front-{number}"), child));
        Ok(())
    }

    /// Text that the process of a VM has written.
    pub fn log(&self, number: u8) -> String {
        let file = self.directory.0.join(format!("front-{number}.log"));
        fs::read(file).map_or_else(
            |_| String::new(),
            |bytes| String::from_utf8_lossy(&bytes).into(),
        )
    }
}

/// A temporary folder.
#[derive(Debug)]
struct Directory(PathBuf);

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Sends a signal to the latest process of a VM, if it runs.
pub fn signal(number: u8, signal: i32, record: &Record) {
    let name = format!("front-{number}");
    let mut children = CHILDREN.lock().unwrap();
    let Some((_, child)) = children.iter_mut().rev().find(|(other, _)| *other == name) else {
        return;
    };
    if matches!(child.try_wait(), Ok(None)) {
        record.line(&name, &format!("signal {signal} to process {}", child.id()));
        // SAFETY: the process is a child that has not been awaited, so its number is its own.
        let _ = unsafe { kill(child.id() as i32, signal) };
    }
}

/// Exit of the latest process of a VM; none while it runs.
pub fn exit_status(number: u8) -> Option<String> {
    let name = format!("front-{number}");
    let mut children = CHILDREN.lock().unwrap();
    let (_, child) = children
        .iter_mut()
        .rev()
        .find(|(other, _)| *other == name)?;
    child.try_wait().ok()?.map(|status| status.to_string())
}

/// Memory of the latest process of a VM in bytes.
pub fn memory(number: u8) -> u64 {
    let name = format!("front-{number}");
    let children = CHILDREN.lock().unwrap();
    let Some((_, child)) = children.iter().rev().find(|(other, _)| *other == name) else {
        return 0;
    };
    let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes.unwrap_or(0) << 10
}
