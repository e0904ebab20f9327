//! Opens, accepts and closes links.

use crate::{link, table::Table};
use bon::Builder;
use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::Incarnation;
use poplarswitch_members::Identity;
use poplarswitch_wire::{Envelope, encode};
use std::{
    io,
    net::TcpListener,
    sync::Arc,
    thread::{self, JoinHandle},
};
use tokio::{
    net::TcpStream,
    runtime::{Builder as RuntimeBuilder, Handle},
    sync::watch,
    time::timeout,
};

/// Longest time to open a connection to a peer.
const DIAL_WAIT: Duration = Duration::from_secs(2);
/// Wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What the links need to know.
#[derive(Clone, Debug, Builder)]
pub struct HubSettings {
    /// Who this VM is.
    pub identity: Identity,
    /// The secret that VMs share.
    pub secret: String,
    /// Messages that wait for one peer.
    #[builder(default = 1_024)]
    pub queue: usize,
    /// Silence after which a link is closed.
    #[builder(default = Duration::from_secs(90))]
    pub silence: Duration,
}

/// Something that happened on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// The first link to a peer opened.
    Linked(Identity),
    /// The last link to a peer broke.
    Unlinked(Incarnation),
    /// Nobody answered at an address, or not as a peer.
    DialFailed(SocketAddr),
    /// A message came.
    Message {
        /// Its sender.
        from: Incarnation,
        /// The message.
        envelope: Envelope,
    },
}

/// Where events of links go.
pub(crate) type Sink = Arc<dyn Fn(PeerEvent) + Send + Sync>;

/// What all links share.
pub(crate) struct Common {
    pub(crate) settings: HubSettings,
    pub(crate) table: Table,
    pub(crate) sink: Sink,
}

/// All links of one process.
pub struct Hub {
    common: Arc<Common>,
    handle: Handle,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl core::fmt::Debug for Hub {
    fn fmt(&self, f: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        f.debug_struct("Hub").finish_non_exhaustive()
    }
}

impl Hub {
    /// Serves a port that is already open.
    pub fn start(
        listener: TcpListener,
        settings: HubSettings,
        sink: impl Fn(PeerEvent) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let runtime = RuntimeBuilder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = watch::channel(false);
        let common = Arc::new(Common {
            settings,
            table: Table::default(),
            sink: Arc::new(sink),
        });
        let held = Arc::clone(&common);
        let thread = thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || runtime.block_on(accept(held, listener, stopped)))?;
        Ok(Self {
            common,
            handle,
            stop,
            thread: Some(thread),
        })
    }

    /// Opens a link; the outcome comes as an event.
    pub fn dial(&self, address: SocketAddr) {
        let common = Arc::clone(&self.common);
        self.handle.spawn(async move {
            if !dial(&common, address).await {
                (common.sink)(PeerEvent::DialFailed(address));
            }
        });
    }

    /// Queues a message; false if there is no link or no room.
    pub fn send(&self, to: Incarnation, envelope: &Envelope) -> bool {
        match encode(envelope) {
            Ok(bytes) => self.common.table.send(to, bytes),
            Err(error) => {
                tracing::error!(%error, "a message can't be written");
                false
            }
        }
    }

    /// Closes all links to a peer.
    pub fn close(&self, peer: Incarnation) {
        if self.common.table.close(peer) {
            (self.common.sink)(PeerEvent::Unlinked(peer));
        }
    }

    /// Ends all links and the thread.
    pub fn stop(&mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

impl Drop for Hub {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn accept(common: Arc<Common>, listener: TcpListener, mut stopped: watch::Receiver<bool>) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(%error, "the peers' port can't be served");
            return;
        }
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stopped| *stopped) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let common = Arc::clone(&common);
                tokio::spawn(async move { link::accepted(&common, stream).await });
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Opens and serves a link; false if it never opened.
async fn dial(common: &Arc<Common>, address: SocketAddr) -> bool {
    match timeout(DIAL_WAIT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => link::dialled(common, stream, address).await,
        Ok(Err(_)) | Err(_) => false,
    }
}
