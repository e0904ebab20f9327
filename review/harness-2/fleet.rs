//! Relay processes of the program under test, started as deploy/system.toml says, and their clients.

use crate::{
    http::{self, Message},
    store::{Store, View},
};
use std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const ZONES: [&str; 3] = ["bole", "kality", "piassa"];
/// The client's deadline.
pub const DEADLINE: Duration = Duration::from_millis(2_000);
/// First port of a VM's listeners.
const PORT: u16 = 8_220;
pub const INTERNAL_PORT: u16 = 7_340;
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Processes that run.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Ends this process and those that it has started, if they still run after a time.
pub fn end_after(time: Duration) {
    thread::spawn(move || {
        thread::sleep(time);
        for pid in RUNNING.lock().unwrap().iter() {
            // SAFETY: plain call of the C library; the processes are this one's children and not reaped.
            unsafe { kill(*pid, 9) };
        }
        process::exit(2);
    });
}

/// An entry VM and its process.
pub struct Vm {
    pub ip: Ipv4Addr,
    pub store: View,
    child: Child,
}

impl Drop for Vm {
    fn drop(&mut self) {
        let pid = self.child.id() as i32;
        RUNNING.lock().unwrap().retain(|running| *running != pid);
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// The VMs of a deployment.
pub struct Fleet {
    pub store: Store,
    pub vms: Vec<Vm>,
    /// Address of everything but the VMs.
    pub ip: Ipv4Addr,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.vms.clear();
        let _removed = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// A deployment without VMs, in a loopback network of its own.
    pub fn new() -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", process::id()));
        fs::create_dir_all(&folder)?;
        let ip = free_network()?;
        Ok(Self {
            store: Store::default(),
            vms: Vec::new(),
            ip,
            folder,
        })
    }

    /// Starts a VM in a zone.
    pub fn add_vm(&mut self, zone: &str) -> io::Result<()> {
        self.add_vm_at(zone, INTERNAL_PORT)
    }

    /// Starts a VM whose port for other VMs is `internal_port`; VMs with other ports don't reach it.
    pub fn add_vm_at(&mut self, zone: &str, internal_port: u16) -> io::Result<()> {
        let number = self.vms.len() as u8 + 1;
        let [a, b, c, _] = self.ip.octets();
        let ip = Ipv4Addr::new(a, b, c, number);
        let store = self.store.view(self.ip)?;
        let file = self.folder.join(format!("vm-{number}.yaml"));
        fs::write(
            &file,
            settings(number, ip, zone, store.address, internal_port),
        )?;
        let log = File::create(self.folder.join(format!("vm-{number}.log")))?;
        // The `run` of deploy/system.toml.
        let child = Command::new("target/release/poplarswitch")
            .arg("relay")
            .env_clear()
            .env("POPLARSWITCH_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        RUNNING.lock().unwrap().push(child.id() as i32);
        self.vms.push(Vm { ip, store, child });
        Ok(())
    }

    /// Waits until all VMs are ready; fails after a time limit.
    pub fn await_ready(&self) -> io::Result<()> {
        let end = Instant::now() + READY_LIMIT;
        for vm in &self.vms {
            let ready = SocketAddr::new(vm.ip.into(), PORT);
            let request = Message {
                method: "GET".into(),
                target: "/poplarswitch/ready".into(),
                headers: vec![("Host".into(), HOST.into())],
                body: Vec::new(),
            };
            let limit = Duration::from_secs(1);
            while !http::exchange(ready, &request, limit).is_ok_and(|a| a.status() == 200) {
                if Instant::now() > end {
                    return Err(io::Error::other("a VM is not ready in time"));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Kills the process of a VM.
    pub fn kill(&mut self, vm: usize) {
        let _ended = self.vms[vm].child.kill();
    }

    /// Address at which a VM takes requests of clients.
    pub fn frontend(&self, vm: usize) -> SocketAddr {
        SocketAddr::new(self.vms[vm].ip.into(), PORT + 7)
    }

    /// Sends a client's request to a VM.
    pub fn call(&self, vm: usize, method: &str, path: &str, id: &str) -> io::Result<Message> {
        let address = self.frontend(vm);
        let pairs = [
            ("Host", HOST.to_owned()),
            ("X-Attempt-Id", id.to_owned()),
            ("X-Deadline-Ms", DEADLINE.as_millis().to_string()),
            ("Authorization", format!("Bearer {KEY}")),
        ];
        let headers = pairs.map(|(name, value)| (name.to_owned(), value));
        let body = if method == "POST" {
            format!("order {id}")
        } else {
            String::new()
        };
        let request = Message {
            method: method.into(),
            target: path.into(),
            headers: headers.to_vec(),
            body: body.into_bytes(),
        };
        http::exchange(address, &request, DEADLINE)
    }
}

/// An address 127.A.B.200 of a network in which the VMs' ports are free.
fn free_network() -> io::Result<Ipv4Addr> {
    let start = process::id();
    for n in 0..200 {
        let seed = start.wrapping_add(n * 7);
        let net = [(seed % 120) as u8 + 100, (seed / 120 % 250) as u8 + 1];
        let ip = |last| Ipv4Addr::new(127, net[0], net[1], last);
        let ports = [PORT, PORT + 4, PORT + 7, INTERNAL_PORT, 9_464];
        let is_free = |last| {
            ports
                .iter()
                .all(|port| TcpListener::bind((ip(last), *port)).is_ok())
        };
        if (1..=6).all(is_free) {
            return Ok(ip(200));
        }
    }
    Err(io::Error::other("no free network"))
}

/// The settings file of a VM, as on page DEPLOY.md.
fn settings(number: u8, ip: Ipv4Addr, zone: &str, store: SocketAddr, internal_port: u16) -> String {
    let zones: String = ZONES
        .iter()
        .map(|zone| format!("  {zone}: \"addis\"\n"))
        .collect();
    format!(
        "node_name: \"front-{zone}-{number}\"\nrole: \"relay\"\nmachine_class: \"front\"\n\
         serves:\n  - \"front\"\n  - \"directory\"\nip: \"{ip}\"\nzone: \"{zone}\"\n\
         region: \"addis\"\nzones:\n{zones}listen:\n  frontend: \"{ip}:{frontend}\"\n  \
         ready: \"{ip}:{PORT}\"\n  directory: \"{ip}:{directory}\"\n\
         internal_ports:\n  - {internal_port}\n  - {last_port}\nseeds: []\nbootstrap: true\n\
         counts_as_loss: false\nlimits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n  \
         max_fds: 4200\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\n\
         discovery: \"platform\"\nentry: \"directory\"\nheartbeat_ms: 1200\n\
         contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  \
         - \"recover\"\n  - \"tenants\"\n  - \"platform\"\n\
         fault_tolerance:\n  machines: 1\n  zones: 0\n  regions: 0\n\
         bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  \
         catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 8\n  loss_slack_ms: 200\n  \
         config_apply_ms: 2000\n  rollback_slack_ms: 250\n  outer_bound_ms: 5000\n  \
         revoke_strict: true\n  revoke_ms: 5000\n  retry_budget_ratio: 0.2\n  \
         budget_window_s: 10\n  budget_slack: 52\n  recovery_s: 12\n  pass_ms: 120\n  \
         reuse_window_s: 10\n  ttl_max_s: 5\n\
         platform:\n  address: \"{store}\"\n  form: \"objects\"\n  writes_per_s: 400\n  \
         reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  ttl_min_ms: 1000\n",
        frontend = PORT + 7,
        directory = PORT + 4,
        last_port = internal_port + 15,
    )
}

/// A route of a configuration.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
}

/// The operator's configuration.
pub fn configuration(version: u64, routes: &[Route]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(
            |Route {
                 name,
                 kind,
                 service,
             }| {
                format!(
                    "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
                 \"route_type\":\"{kind}\",\"service\":\"{service}\",\"timeout_ms\":2000,\
                 \"target_latency_ms\":100,\"priority\":1,\"max_attempts\":2,\"public\":false,\
                 \"sticky\":false,\"resume_streams\":false}}"
                )
            },
        )
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\
         \"services\":[{{\"name\":\"booking\"}},{{\"name\":\"notes\"}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}
