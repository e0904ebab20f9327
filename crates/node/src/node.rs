//! Starts and ends the threads of one process.

use crate::{
    Setup,
    callers::{self, Door},
    decide::{Cluster, Decider},
    event::Event,
    platform::Platform,
    ports, reports,
    shared::{Shared, wall_ms},
};
use core::{net::SocketAddr, time::Duration};
use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use poplarswitch_catalog::{BuildError, Catalog};
use poplarswitch_discovery::{self as discovery, Drain};
use poplarswitch_entity::{DataCentre, Generation, Incarnation};
use poplarswitch_keys as keys;
use poplarswitch_members::{self as members, Identity};
use poplarswitch_objects::ObjectSet;
use poplarswitch_orders as orders;
use poplarswitch_peer::{Hub, HubSettings};
use poplarswitch_publish::{self as publish, Follower};
use poplarswitch_settings::{Addresses, SettingsError};
use poplarswitch_wire::{Phase, Status};
use snafu::{ResultExt, Snafu};
use std::{
    io,
    net::TcpListener,
    sync::Arc,
    thread::{self, JoinHandle},
};
use tokio::{
    runtime::{Builder, Runtime},
    sync::watch,
};

/// Threads that serve callers' connections.
const CALLER_THREADS: usize = 2;
/// Threads for short calls to engines, beside those of runs.
const SPARE_THREADS: usize = 64;
/// Time after which an idle run thread ends.
const THREAD_IDLE: Duration = Duration::from_secs(10);
/// Stack of a thread, in bytes.
const STACK_BYTES: usize = 512 * 1024;
/// Wait between two looks at the phase.
const PHASE_POLL: Duration = Duration::from_millis(10);
/// Time left to connections to close after the last call.
const CLOSE_WAIT: Duration = Duration::from_secs(2);
/// Longest wait for the decision thread.
const STATUS_WAIT: Duration = Duration::from_secs(5);

/// Why a node did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings are wrong.
    #[snafu(display("settings: {source}"))]
    Settings {
        /// The cause.
        source: SettingsError,
    },
    /// A port could not be opened.
    #[snafu(display("open the {port} port at {address}: {source}"))]
    Port {
        /// Which one.
        port: &'static str,
        /// Where.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A thread could not be started.
    #[snafu(display("start a thread: {source}"))]
    Thread {
        /// The cause.
        source: io::Error,
    },
    /// The set to start with could not be resolved.
    #[snafu(display("the set to start with: {source}"))]
    Set {
        /// The cause.
        source: BuildError,
    },
}

/// A running process, or one of several in a process.
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    addresses: Addresses,
    door: watch::Sender<Door>,
    decider: Option<JoinHandle<()>>,
    reports: Option<Sender<()>>,
    runtime: Option<Runtime>,
}

impl Node {
    /// Opens the ports and starts the threads.
    pub fn start(setup: Setup) -> Result<Self, StartError> {
        setup.settings.validate().context(SettingsSnafu)?;
        let catalog = first_catalog(setup.set.as_ref(), setup.generation, &setup.settings.reach)?;
        let runtime = runtime(setup.settings.limits.calls).context(ThreadSnafu)?;
        let (events, incoming) = unbounded();
        let (policy, orders) = (setup.policy, setup.orders.clone());
        let shared = Arc::new(Shared::new(
            setup,
            Incarnation(rand::random()),
            runtime.handle().clone(),
            events,
        ));
        let (door, opened) = watch::channel(Door::Open);
        let (addresses, peers) = open_ports(&shared, &runtime, opened)?;
        let (reports, ended) = bounded(0);
        reports::start(&shared, &ended).context(ThreadSnafu)?;
        let cluster = join_cluster(&shared, &addresses, peers, orders).context(ThreadSnafu)?;
        let decider = Decider::new(Arc::clone(&shared), incoming, cluster, policy);
        let decider = decide(decider, catalog).context(ThreadSnafu)?;
        Ok(Self {
            shared,
            addresses,
            door,
            decider: Some(decider),
            reports: Some(reports),
            runtime: Some(runtime),
        })
    }

    /// Where the process listens.
    pub const fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// The life of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.incarnation
    }

    /// Where the process is in its life.
    pub fn phase(&self) -> Phase {
        self.shared.phase()
    }

    /// The state that operators read.
    pub fn status(&self) -> Option<Status> {
        let (reply, replies): (_, Receiver<Status>) = bounded(1);
        self.shared.tell(Event::Status(reply));
        replies.recv_timeout(STATUS_WAIT).ok()
    }

    /// Puts a set into force by hand.
    pub fn activate(&self, set: &ObjectSet, generation: Generation) -> Result<(), BuildError> {
        let reach = &self.shared.settings.reach;
        let catalog = Catalog::build_within(set, generation, reach)?;
        self.shared.tell(Event::Activate(Arc::new(catalog)));
        Ok(())
    }

    /// Takes no more calls; those in flight go on.
    pub fn drain(&self) {
        self.shared.tell(Event::Drain);
    }

    /// Orders a drain from another thread; a second order bounds its time.
    pub fn drainer(&self) -> Drainer {
        Drainer {
            shared: Arc::clone(&self.shared),
        }
    }

    /// Waits until a drain has ended, then ends the process.
    pub fn join(mut self) {
        while self.phase() != Phase::Drained {
            thread::sleep(PHASE_POLL);
        }
        self.door.send_replace(Door::Closing);
        let since = self.shared.now();
        let open = || self.shared.counters.connections.get() > 0;
        while open() && self.shared.now().since(since) < CLOSE_WAIT {
            thread::sleep(PHASE_POLL);
        }
        self.end();
    }

    /// Ends at once, cutting off the calls in flight.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.door.send_replace(Door::Closed);
        self.reports = None;
        self.shared.tell(Event::Stop);
        if let Some(decider) = self.decider.take() {
            drop(decider.join());
        }
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Orders the drain of a node.
#[derive(Clone, Debug)]
pub struct Drainer {
    shared: Arc<Shared>,
}

impl Drainer {
    /// Takes no more calls; the second time, bounds the time of those in flight.
    pub fn drain(&self) {
        self.shared.tell(Event::Drain);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}

fn first_catalog(
    set: Option<&ObjectSet>,
    generation: Generation,
    reach: &[DataCentre],
) -> Result<Option<Catalog>, StartError> {
    set.map(|set| Catalog::build_within(set, generation, reach))
        .transpose()
        .context(SetSnafu)
}

/// Every call that is dispatched finds a thread: its own calls, as many that it runs for other
/// VMs, and the short calls beside them. A thread is started only when it is needed.
fn runtime(calls: u32) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(CALLER_THREADS)
        .max_blocking_threads(2 * calls as usize + SPARE_THREADS)
        .thread_keep_alive(THREAD_IDLE)
        .thread_stack_size(STACK_BYTES)
        .thread_name("node")
        .enable_all()
        .build()
}

fn decide(decider: Decider, catalog: Option<Catalog>) -> io::Result<JoinHandle<()>> {
    thread::Builder::new()
        .name("decide".to_owned())
        .spawn(move || decider.run(catalog.map(Arc::new)))
}

fn open_ports(
    shared: &Arc<Shared>,
    runtime: &Runtime,
    opened: watch::Receiver<Door>,
) -> Result<(Addresses, TcpListener), StartError> {
    let wanted = &shared.settings.addresses;
    let (callers, callers_address) = listen("callers", wanted.callers)?;
    let (peers, peers_address) = listen("peers", wanted.peers)?;
    let addresses = Addresses {
        callers: callers_address,
        operators: ports::open_operators(wanted.operators, shared, opened.clone()).context(
            PortSnafu {
                port: "operators",
                address: wanted.operators,
            },
        )?,
        metrics: ports::open_metrics(wanted.metrics, shared, opened.clone()).context(
            PortSnafu {
                port: "metrics",
                address: wanted.metrics,
            },
        )?,
        peers: peers_address,
    };
    let held = Arc::clone(shared);
    runtime.spawn(async move {
        match tokio::net::TcpListener::from_std(callers) {
            Ok(listener) => callers::serve(held, listener, opened).await,
            Err(error) => tracing::error!(%error, "the callers' port can't be served"),
        }
    });
    Ok((addresses, peers))
}

fn listen(
    port: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), StartError> {
    let open = || {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let bound = listener.local_addr()?;
        Ok((listener, bound))
    };
    open().context(PortSnafu { port, address })
}

/// Milliseconds of a minute.
const MINUTE_MS: u64 = 60_000;

fn join_cluster(
    shared: &Arc<Shared>,
    addresses: &Addresses,
    peers: TcpListener,
    orders: orders::Settings,
) -> io::Result<Cluster> {
    let settings = &shared.settings;
    let (me, seed) = (shared.incarnation, shared.incarnation.0);
    let identity = identity(shared, addresses);
    let hub = HubSettings::builder()
        .identity(identity.clone())
        .secret(shared.secrets.peers.reveal().to_owned())
        .build();
    let told = Arc::clone(shared);
    let hub = Hub::start(peers, hub, move |event| told.tell(Event::Peer(event)))?;
    let members = members::Settings::builder()
        .seeds(settings.seeds.clone())
        .build();
    let drain = discovery::Settings::builder()
        .linger(settings.linger())
        .force_delay(settings.force_delay())
        .build();
    let minute = wall_ms() / MINUTE_MS;
    let keys = keys::Settings::builder().build();
    Ok(Cluster {
        members: members::Core::new(identity, members, seed),
        follower: Follower::new(publish::Settings::builder().build(), usable, seed),
        keys: keys::Core::new(shared.now(), me, minute, keys, seed),
        orders: orders::Core::new(me, orders, seed),
        drain: Drain::new(drain),
        hub,
        platform: Platform::start(shared)?,
    })
}

fn identity(shared: &Shared, addresses: &Addresses) -> Identity {
    Identity::builder()
        .vm(shared.settings.vm.clone())
        .incarnation(shared.incarnation)
        .started(wall_ms())
        .data_centre(shared.settings.data_centre.clone())
        .cell(shared.settings.cell.clone())
        .address(addresses.peers)
        .caller_address(addresses.callers)
        .build()
}

/// Whether this VM can use a set.
fn usable(set: &ObjectSet) -> Result<(), String> {
    match Catalog::build(set, Generation::default()) {
        Ok(_) => Ok(()),
        Err(error) => Err(error.to_string()),
    }
}
