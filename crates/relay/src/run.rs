//! The life of the process: start, reload, leave, end.

use crate::{
    Protocol, RelaySettings, beats,
    callers::{self, ListenError, Port},
    clock, feed,
    reader::Reader,
    registry,
    shared::Shared,
    store::StoreClient,
};
use core::time::Duration;
use poplarswitch_ingress::ShutdownStage;
use snafu::{ResultExt as _, Snafu};
use std::sync::Arc;
use tokio::{
    net::UdpSocket,
    runtime::Builder,
    signal::unix::{Signal, SignalKind, signal},
    time::sleep,
};

/// Time between looks whether a leaving VM may end.
const LEAVE_LOOK: Duration = Duration::from_millis(50);

/// Why the relay doesn't run.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings can't be used.
    #[snafu(display("settings: {}", errors.join("; ")))]
    Settings {
        /// Each error with its place.
        errors: Vec<String>,
    },
    /// No runtime.
    #[snafu(display("start the runtime: {source}"))]
    Runtime {
        /// Why.
        source: std::io::Error,
    },
    /// An address is taken.
    #[snafu(display("{source}"))]
    Listen {
        /// Why.
        source: ListenError,
    },
    /// The socket for beats can't be opened.
    #[snafu(display("open the beats' socket: {source}"))]
    Beats {
        /// Why.
        source: std::io::Error,
    },
    /// Signals can't be taken.
    #[snafu(display("take signals: {source}"))]
    Signals {
        /// Why.
        source: std::io::Error,
    },
}

/// Runs a relay until it has left; `reload` reads the settings again on SIGHUP.
///
/// # Errors
///
/// Fails if the settings can't be used or an address is taken.
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
    runtime.block_on(live(settings, protocol, reload))
}

async fn live(
    settings: RelaySettings,
    protocol: Arc<dyn Protocol>,
    reload: impl Fn() -> Result<RelaySettings, String>,
) -> Result<(), StartError> {
    let mut hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
    let store = Arc::new(StoreClient::new(settings.platform, Arc::clone(&protocol)));
    let shared = Arc::new(Shared::new(settings, protocol));
    start(&shared, &store).await?;
    loop {
        tokio::select! {
            _ = hangup.recv() => reread(&shared, &reload),
            () = ended(&mut terminate, &mut interrupt) => break,
        }
    }
    leave(&shared, &store).await;
    Ok(())
}

async fn ended(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

async fn start(shared: &Arc<Shared>, store: &Arc<StoreClient>) -> Result<(), StartError> {
    let listen = shared.settings.listen;
    let beats_socket = UdpSocket::bind(listen.peers).await.context(BeatsSnafu)?;
    let mut ports = vec![
        (listen.peers, Port::Peers),
        (listen.callers, Port::Callers),
        (listen.ready, Port::Questions),
        (listen.metrics, Port::Metrics),
    ];
    ports.extend(listen.directory.map(|address| (address, Port::Questions)));
    for (address, port) in ports {
        let listener = callers::listen(address).context(ListenSnafu)?;
        tokio::spawn(callers::accept(Arc::clone(shared), listener, port));
    }
    let reader = Arc::new(Reader::new(Arc::clone(shared), Arc::clone(store)));
    tokio::spawn(Arc::clone(&reader).follow_set());
    tokio::spawn(reader.follow_endpoints());
    tokio::spawn(feed::follow(Arc::clone(shared)));
    tokio::spawn(beats::run(Arc::clone(shared), beats_socket));
    tokio::spawn(registry::run(Arc::clone(shared), Arc::clone(store)));
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

/// Reads the settings again. Addresses and bounds hold for the life of a process, so a change of
/// them is written down and takes effect at the next start.
fn reread(shared: &Shared, reload: &impl Fn() -> Result<RelaySettings, String>) {
    match reload() {
        Ok(settings) if settings == shared.settings => {
            tracing::info!(event = "reloaded", changed = false, "process");
        }
        Ok(settings) => {
            let mut core = shared.core();
            for seed in &settings.seeds {
                core.roster.add_member(*seed, None);
            }
            drop(core);
            tracing::info!(event = "reloaded", changed = true, "process");
        }
        Err(error) => tracing::error!(event = "reload_failed", error, "process"),
    }
}

async fn leave(shared: &Arc<Shared>, store: &Arc<StoreClient>) {
    let started = clock::now();
    shared.core().leaving.start(started);
    shared.announce();
    tracing::info!(event = "leaving", in_flight = shared.in_flight(), "process");
    tokio::spawn(registry::leave(Arc::clone(shared), Arc::clone(store)));
    while shared.stage(clock::now()) != ShutdownStage::Finished {
        sleep(LEAVE_LOOK).await;
    }
    let in_flight = shared.in_flight();
    let ms = clock::now().since(started).as_millis() as u64;
    tracing::info!(event = "stopped", in_flight, ms, "process");
}
