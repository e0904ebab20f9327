//! Starts and stops the threads and ports of one node.

use crate::{
    Setup,
    callers::{self, PortState},
    event::Event,
    event_loop::{Cluster, EventLoop},
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
    task,
};

/// Threads that serve the callers' connections.
const CALLER_THREADS: usize = 2;
/// Blocking threads for short requests to engines, in addition to those for runs.
const EXTRA_THREADS: usize = 64;
/// Time after which an idle blocking thread ends.
const THREAD_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Stack size of a runtime thread.
const THREAD_STACK_BYTES: usize = 512 * 1024;
/// Interval at which a drain's progress is polled.
const PHASE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum time for connections to close after the last call.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time to wait for the event loop's reply.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// Reason why a node did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings are invalid.
    #[snafu(display("settings: {source}"))]
    Settings {
        /// The cause.
        source: SettingsError,
    },
    /// A port could not be opened.
    #[snafu(display("failed to open the {port} port at {address}: {source}"))]
    Port {
        /// Name of the port.
        port: &'static str,
        /// Address at which it was to listen.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A thread could not be started.
    #[snafu(display("failed to start a thread: {source}"))]
    Thread {
        /// The cause.
        source: io::Error,
    },
    /// The initial set could not be resolved.
    #[snafu(display("initial set: {source}"))]
    Set {
        /// The cause.
        source: BuildError,
    },
}

/// A running node; a process may run several.
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    addresses: Addresses,
    port_state: watch::Sender<PortState>,
    callers: task::JoinHandle<()>,
    event_loop: Option<JoinHandle<()>>,
    poller_stop: Option<Sender<()>>,
    runtime: Option<Runtime>,
}

impl Node {
    /// Opens the ports and starts the threads.
    ///
    /// Fails if the settings or the initial set are invalid, a port can't be opened or a thread
    /// can't be started.
    pub fn start(setup: Setup) -> Result<Self, StartError> {
        setup.settings.validate().context(SettingsSnafu)?;
        let catalog = initial_catalog(setup.set.as_ref(), setup.generation, &setup.settings.reach)?;
        let runtime = runtime(setup.settings.limits.calls).context(ThreadSnafu)?;
        let (events, incoming) = unbounded();
        let (policy, orders) = (setup.policy, setup.orders.clone());
        let shared = Arc::new(Shared::new(
            setup,
            Incarnation(rand::random()),
            runtime.handle().clone(),
            events,
        ));
        let (port_state, state) = watch::channel(PortState::Open);
        let (addresses, peers, callers) = open_ports(&shared, &runtime, state)?;
        let (poller_stop, stop) = bounded(0);
        reports::start(&shared, &stop).context(ThreadSnafu)?;
        let cluster = join_cluster(&shared, &addresses, peers, orders).context(ThreadSnafu)?;
        let event_loop = EventLoop::new(Arc::clone(&shared), incoming, cluster, policy);
        let event_loop = spawn_event_loop(event_loop, catalog).context(ThreadSnafu)?;
        Ok(Self {
            shared,
            addresses,
            port_state,
            callers,
            event_loop: Some(event_loop),
            poller_stop: Some(poller_stop),
            runtime: Some(runtime),
        })
    }

    /// Bound addresses of the ports.
    pub const fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Incarnation of the node.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.incarnation
    }

    /// Current phase.
    pub fn phase(&self) -> Phase {
        self.shared.phase()
    }

    /// Current status, or `None` if the event loop does not reply within 5 s.
    pub fn status(&self) -> Option<Status> {
        let (reply, replies): (_, Receiver<Status>) = bounded(1);
        self.shared.send_event(Event::Status(reply));
        replies.recv_timeout(STATUS_TIMEOUT).ok()
    }

    /// Puts a set into force, unless its generation is not newer than the one in force.
    ///
    /// Fails if the set can't be resolved into a catalog.
    pub fn activate(&self, set: &ObjectSet, generation: Generation) -> Result<(), BuildError> {
        let reach = &self.shared.settings.reach;
        let catalog = Catalog::build_within(set, generation, reach)?;
        self.shared.send_event(Event::Activate(Arc::new(catalog)));
        Ok(())
    }

    /// Starts a drain: new calls are refused and calls in flight continue. If a drain has started,
    /// limits its duration instead.
    pub fn drain(&self) {
        self.shared.send_event(Event::DrainOrForce);
    }

    /// Handle with which another thread can drain the node.
    pub fn drain_handle(&self) -> DrainHandle {
        DrainHandle {
            shared: Arc::clone(&self.shared),
        }
    }

    /// Waits until a drain has finished, then up to 2 s until the connections are closed, and
    /// stops the node.
    pub fn join(mut self) {
        while self.phase() != Phase::Drained {
            thread::sleep(PHASE_POLL_INTERVAL);
        }
        self.port_state.send_replace(PortState::Closing);
        let since = self.shared.now();
        let connections = &self.shared.counters.connections;
        let open = || !self.callers.is_finished() || connections.get() > 0;
        while open() && self.shared.now().since(since) < CLOSE_TIMEOUT {
            thread::sleep(PHASE_POLL_INTERVAL);
        }
        self.shut_down();
    }

    /// Stops immediately and aborts the calls in flight.
    pub fn stop(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        self.port_state.send_replace(PortState::Closed);
        self.poller_stop = None;
        self.shared.send_event(Event::Stop);
        if let Some(event_loop) = self.event_loop.take() {
            drop(event_loop.join());
        }
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Handle that starts the drain of a node, or limits its duration.
#[derive(Clone, Debug)]
pub struct DrainHandle {
    shared: Arc<Shared>,
}

impl DrainHandle {
    /// Starts a drain; if one has started, limits its duration instead.
    pub fn drain(&self) {
        self.shared.send_event(Event::DrainOrForce);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.shut_down();
    }
}

fn initial_catalog(
    set: Option<&ObjectSet>,
    generation: Generation,
    reach: &[DataCentre],
) -> Result<Option<Catalog>, StartError> {
    set.map(|set| Catalog::build_within(set, generation, reach))
        .transpose()
        .context(SetSnafu)
}

/// The runtime, with enough blocking threads for every dispatch: this VM's calls, as many runs
/// of calls from other VMs, and short requests to engines. A thread is started only when it is
/// needed.
fn runtime(calls: u32) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(CALLER_THREADS)
        .max_blocking_threads(2 * calls as usize + EXTRA_THREADS)
        .thread_keep_alive(THREAD_IDLE_TIMEOUT)
        .thread_stack_size(THREAD_STACK_BYTES)
        .thread_name("node")
        .enable_all()
        .build()
}

fn spawn_event_loop(event_loop: EventLoop, catalog: Option<Catalog>) -> io::Result<JoinHandle<()>> {
    thread::Builder::new()
        .name("decide".to_owned())
        .spawn(move || event_loop.run(catalog.map(Arc::new)))
}

fn open_ports(
    shared: &Arc<Shared>,
    runtime: &Runtime,
    state: watch::Receiver<PortState>,
) -> Result<(Addresses, TcpListener, task::JoinHandle<()>), StartError> {
    let configured = &shared.settings.addresses;
    let (callers, callers_address) = listen("callers", configured.callers)?;
    let (peers, peers_address) = listen("peers", configured.peers)?;
    let addresses = Addresses {
        callers: callers_address,
        operators: ports::open_operators(configured.operators, shared, state.clone()).context(
            PortSnafu {
                port: "operators",
                address: configured.operators,
            },
        )?,
        metrics: ports::open_metrics(configured.metrics, shared, state.clone()).context(
            PortSnafu {
                port: "metrics",
                address: configured.metrics,
            },
        )?,
        peers: peers_address,
    };
    let task_shared = Arc::clone(shared);
    let callers = runtime.spawn(async move {
        match tokio::net::TcpListener::from_std(callers) {
            Ok(listener) => callers::serve(task_shared, listener, state).await,
            Err(error) => tracing::error!(%error, "failed to register the callers' listener"),
        }
    });
    Ok((addresses, peers, callers))
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

/// Milliseconds per minute.
const MINUTE_MS: u64 = 60_000;

fn join_cluster(
    shared: &Arc<Shared>,
    addresses: &Addresses,
    peers: TcpListener,
    orders: orders::Settings,
) -> io::Result<Cluster> {
    let settings = &shared.settings;
    let (local, seed) = (shared.incarnation, shared.incarnation.0);
    let identity = identity(shared, addresses);
    let hub = HubSettings::builder()
        .identity(identity.clone())
        .secret(shared.secrets.peers.reveal().to_owned())
        .build();
    let sink = Arc::clone(shared);
    let hub = Hub::start(peers, hub, move |event| sink.send_event(Event::Peer(event)))?;
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
        follower: Follower::new(publish::Settings::builder().build(), check_set, seed),
        keys: keys::Core::new(shared.now(), local, minute, keys, seed),
        orders: orders::Core::new(local, orders, seed),
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

/// Checks that this VM can build a catalog from a set; returns the reason if it can't.
fn check_set(set: &ObjectSet) -> Result<(), String> {
    match Catalog::build(set, Generation::default()) {
        Ok(_) => Ok(()),
        Err(error) => Err(error.to_string()),
    }
}
