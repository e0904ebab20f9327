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

/// Timeout of connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Settings of the links.
#[derive(Clone, Debug, Builder)]
pub struct HubSettings {
    /// The identity of this VM.
    pub identity: Identity,
    /// The secret that all VMs share.
    pub secret: String,
    /// Largest number of messages queued on one link.
    #[builder(default = 1_024)]
    pub queue_len: usize,
    /// Time without a message in either direction after which a link is closed; also the timeout of
    /// sending one message.
    #[builder(default = Duration::from_secs(90))]
    pub idle_timeout: Duration,
}

/// An event on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// The first link to a peer opened.
    Linked(Identity),
    /// The last link to a peer closed.
    Unlinked(Incarnation),
    /// No connection to an address could be opened, or the handshake failed.
    DialFailed(SocketAddr),
    /// A message arrived.
    Message {
        /// The sender.
        from: Incarnation,
        /// The message.
        envelope: Envelope,
    },
}

/// The callback that receives the events of all links.
pub(crate) type EventSink = Arc<dyn Fn(PeerEvent) + Send + Sync>;

/// The state that all links share.
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
    /// Starts a thread that accepts links on `listener` and serves all links.
    ///
    /// # Errors
    ///
    /// Fails if the listener cannot be made non-blocking, or if the runtime or the thread cannot be
    /// created.
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

    /// Opens a link to a peer; the outcome is reported as an event.
    pub fn dial(&self, address: SocketAddr) {
        let shared = Arc::clone(&self.shared);
        self.handle.spawn(async move {
            if !dial(&shared, address).await {
                (shared.sink)(PeerEvent::DialFailed(address));
            }
        });
    }

    /// Queues a message to a peer.
    ///
    /// Returns false if there is no link, its queue is full, or the message cannot be encoded.
    pub fn send(&self, to: Incarnation, envelope: &Envelope) -> bool {
        match encode(envelope) {
            Ok(bytes) => self.shared.table.send(to, bytes),
            Err(error) => {
                tracing::error!(%error, "cannot encode a message to peer {to}");
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

    /// Closes all links and stops the thread.
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
            tracing::error!(%error, "cannot accept links on the port for peers");
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

/// Opens a link and serves it until it closes; returns false if it did not open.
async fn dial(shared: &Arc<Shared>, address: SocketAddr) -> bool {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => link::serve_dialled(shared, stream, address).await,
        Ok(Err(_)) | Err(_) => false,
    }
}
