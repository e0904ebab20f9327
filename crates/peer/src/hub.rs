//! Opens, accepts and closes links.

use crate::{link, table::LinkTable};
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
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What the links need to know.
#[derive(Clone, Debug, Builder)]
pub struct HubSettings {
    /// Who this VM is.
    pub identity: Identity,
    /// The secret that VMs share.
    pub secret: String,
    /// Messages that wait for one peer.
    #[builder(default = 1_024)]
    pub queue_len: usize,
    /// Silence after which a link is closed.
    #[builder(default = Duration::from_secs(90))]
    pub idle_timeout: Duration,
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
pub(crate) type EventSink = Arc<dyn Fn(PeerEvent) + Send + Sync>;

/// What all links share.
pub(crate) struct Shared {
    pub(crate) settings: HubSettings,
    pub(crate) table: LinkTable,
    pub(crate) sink: EventSink,
}

/// All links of one process.
pub struct Hub {
    shared: Arc<Shared>,
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
        let shared = Arc::new(Shared {
            settings,
            table: LinkTable::default(),
            sink: Arc::new(sink),
        });
        let cloned = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || runtime.block_on(accept_links(cloned, listener, stopped)))?;
        Ok(Self {
            shared,
            handle,
            stop,
            thread: Some(thread),
        })
    }

    /// Opens a link; the outcome comes as an event.
    pub fn dial(&self, address: SocketAddr) {
        let shared = Arc::clone(&self.shared);
        self.handle.spawn(async move {
            if !dial(&shared, address).await {
                (shared.sink)(PeerEvent::DialFailed(address));
            }
        });
    }

    /// Queues a message; false if there is no link or no room.
    pub fn send(&self, to: Incarnation, envelope: &Envelope) -> bool {
        match encode(envelope) {
            Ok(bytes) => self.shared.table.send(to, bytes),
            Err(error) => {
                tracing::error!(%error, "a message can't be written");
                false
            }
        }
    }

    /// Closes all links to a peer.
    pub fn close(&self, peer: Incarnation) {
        if self.shared.table.remove_peer(peer) {
            (self.shared.sink)(PeerEvent::Unlinked(peer));
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

async fn accept_links(
    shared: Arc<Shared>,
    listener: TcpListener,
    mut stopped: watch::Receiver<bool>,
) {
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
                let shared = Arc::clone(&shared);
                tokio::spawn(async move { link::serve_accepted(&shared, stream).await });
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Opens and serves a link; false if it never opened.
async fn dial(shared: &Arc<Shared>, address: SocketAddr) -> bool {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => link::serve_dialled(shared, stream, address).await,
        Ok(Err(_)) | Err(_) => false,
    }
}
