//! Lifecycle of the process: start, reload of the settings, and graceful shutdown.

use crate::{
    DutySettings, Protocol, RelaySettings, clock, feed, heartbeats, lease,
    listeners::{self, ListenError, Port},
    platform_client::PlatformClient,
    platform_reader::PlatformReader,
    reach, registry, scaling,
    shared::Shared,
    startup,
    tasks::keep_running,
    usage,
};
use core::time::Duration;
use poplarswitch_duties::Duty;
use poplarswitch_ingress::ShutdownStage;
use snafu::{ResultExt as _, Snafu};
use std::sync::Arc;
use tokio::{
    net::UdpSocket,
    runtime::Builder,
    signal::unix::{Signal, SignalKind, signal},
    time::sleep,
};

/// Interval between checks whether the shutdown has finished.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why the relay could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings are invalid.
    #[snafu(display("invalid settings: {}", errors.join("; ")))]
    Settings {
        /// All errors, each with its location.
        errors: Vec<String>,
    },
    /// The runtime could not be created.
    #[snafu(display("failed to start the runtime: {source}"))]
    Runtime {
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// A listener could not be opened.
    #[snafu(display("{source}"))]
    Listen {
        /// Cause of the failure.
        source: ListenError,
    },
    /// The socket for heartbeats could not be opened.
    #[snafu(display("failed to open the socket for heartbeats: {source}"))]
    Heartbeats {
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The signal handlers could not be installed.
    #[snafu(display("failed to install signal handlers: {source}"))]
    Signals {
        /// Cause of the failure.
        source: std::io::Error,
    },
}

/// Runs a relay until it has shut down; `reload` reads the settings again on SIGHUP.
///
/// # Errors
///
/// Fails if the settings are invalid, or if the runtime, the signal handlers, a listener or the
/// socket for heartbeats can't be set up.
pub fn run(
    settings: RelaySettings,
    protocol: Arc<dyn Protocol>,
    reload: impl Fn() -> Result<RelaySettings, String>,
) -> Result<(), StartError> {
    let errors = settings.check();
    if !errors.is_empty() {
        return Err(StartError::Settings { errors });
    }
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    runtime.block_on(run_async(settings, protocol, reload))
}

async fn run_async(
    settings: RelaySettings,
    protocol: Arc<dyn Protocol>,
    reload: impl Fn() -> Result<RelaySettings, String>,
) -> Result<(), StartError> {
    let mut hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
    let client = Arc::new(PlatformClient::new(
        settings.platform,
        Arc::clone(&protocol),
    ));
    let shared = Arc::new(Shared::new(settings, protocol));
    start(&shared, &client).await?;
    loop {
        tokio::select! {
            _ = hangup.recv() => reload_settings(&shared, &reload),
            () = wait_for_termination(&mut terminate, &mut interrupt) => break,
        }
    }
    shut_down(&shared, &client).await;
    Ok(())
}

async fn wait_for_termination(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

async fn start(shared: &Arc<Shared>, client: &Arc<PlatformClient>) -> Result<(), StartError> {
    let listen = shared.settings.listen;
    let heartbeat_socket = UdpSocket::bind(listen.peers)
        .await
        .context(HeartbeatsSnafu)?;
    let mut ports = vec![
        (listen.peers, Port::Peers),
        (listen.callers, Port::Callers),
        (listen.ready, Port::Questions),
        (listen.metrics, Port::Metrics),
    ];
    ports.extend(listen.directory.map(|address| (address, Port::Questions)));
    for (address, port) in ports {
        let listener = listeners::listen(address).context(ListenSnafu)?;
        tokio::spawn(listeners::accept(Arc::clone(shared), listener, port));
    }
    let reader = Arc::new(PlatformReader::new(Arc::clone(shared), Arc::clone(client)));
    let config_reader = Arc::clone(&reader);
    keep_running("config", move || Arc::clone(&config_reader).follow_config());
    let demand_reader = Arc::clone(&reader);
    keep_running("demand", move || {
        Arc::clone(&demand_reader).read_on_demand()
    });
    keep_running("endpoints", move || Arc::clone(&reader).follow_endpoints());
    let owned = Arc::clone(shared);
    keep_running("feed", move || feed::follow(Arc::clone(&owned)));
    tokio::spawn(startup::check(Arc::clone(shared)));
    let owned = Arc::clone(shared);
    keep_running("reach", move || reach::watch(Arc::clone(&owned)));
    heartbeats::start(shared, heartbeat_socket);
    if let Some(duty) = &shared.settings.duty {
        start_duties(shared, client, duty);
    }
    let (owned, client) = (Arc::clone(shared), Arc::clone(client));
    keep_running("registry", move || {
        registry::run(Arc::clone(&owned), Arc::clone(&client))
    });
    tracing::info!(
        event = "started",
        vm = shared.settings.vm.as_str(),
        data_centre = shared.settings.data_centre.as_str(),
        callers = %listen.callers,
        platform = %shared.settings.platform,
        "process"
    );
    Ok(())
}

/// Starts the tasks of the duties that the settings declare.
fn start_duties(shared: &Arc<Shared>, client: &Arc<PlatformClient>, duty: &DutySettings) {
    let (owned, platform) = (Arc::clone(shared), Arc::clone(client));
    keep_running("lease", move || {
        lease::run(Arc::clone(&owned), Arc::clone(&platform))
    });
    if duty.duties.contains(&Duty::Usage) {
        let (owned, incarnation) = (Arc::clone(shared), shared.random_number());
        keep_running("usage", move || {
            usage::tell(Arc::clone(&owned), incarnation)
        });
        let (owned, platform) = (Arc::clone(shared), Arc::clone(client));
        keep_running("reports", move || {
            usage::report(Arc::clone(&owned), Arc::clone(&platform))
        });
    }
    if duty.duties.contains(&Duty::Scaling) {
        let owned = Arc::clone(shared);
        keep_running("scaling", move || scaling::run(Arc::clone(&owned)));
    }
}

/// Reads the settings again. Only new seeds take effect; any other change is logged and takes
/// effect at the next start, because addresses and bounds are fixed for the lifetime of a process.
fn reload_settings(shared: &Shared, reload: &impl Fn() -> Result<RelaySettings, String>) {
    match reload() {
        Ok(settings) if settings == shared.settings => {
            tracing::info!(event = "reloaded", changed = false, "process");
        }
        Ok(settings) => {
            let mut core = shared.core();
            for seed in &settings.seeds {
                core.membership.add_member(*seed, None);
            }
            drop(core);
            tracing::info!(event = "reloaded", changed = true, "process");
        }
        Err(error) => tracing::error!(event = "reload_failed", error, "process"),
    }
}

async fn shut_down(shared: &Arc<Shared>, client: &Arc<PlatformClient>) {
    let started = clock::now();
    shared.core().shutdown.start(started);
    shared.notify_change();
    tracing::info!(event = "leaving", in_flight = shared.in_flight(), "process");
    tokio::spawn(registry::deregister(Arc::clone(shared), Arc::clone(client)));
    let answer_time = shared.core().shutdown.answer_time();
    while shared.stage(clock::now()) != ShutdownStage::Finished {
        if answer_time.is_some_and(|at| at <= clock::now()) {
            shared.announce_exit();
        }
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    let in_flight = shared.in_flight();
    let ms = clock::now().since(started).as_millis() as u64;
    tracing::info!(event = "stopped", in_flight, ms, "process");
}
