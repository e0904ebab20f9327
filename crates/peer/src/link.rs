//! Serves one link, from the handshake until it closes.

use crate::{
    handshake::Handshake,
    hub::{PeerEvent, Shared},
};
use core::{net::SocketAddr, time::Duration};
use futures_util::{SinkExt as _, StreamExt as _};
use poplarswitch_entity::Incarnation;
use poplarswitch_members::Identity;
use poplarswitch_wire::{MAX_FRAME_BYTES, decode};
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{sleep, timeout},
};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{Message, protocol::WebSocketConfig},
};

/// Timeout of the WebSocket handshake, and of the handshake between the VMs after it.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

type Socket = WebSocketStream<TcpStream>;

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

/// Serves a link that a peer opened.
pub(crate) async fn serve_accepted(shared: &Shared, stream: TcpStream) {
    drop(stream.set_nodelay(true));
    let accepting = accept_async_with_config(stream, Some(config()));
    if let Ok(Ok(socket)) = timeout(HANDSHAKE_TIMEOUT, accepting).await {
        serve(shared, socket).await;
    }
}

/// Serves a link that this VM opened; returns false if a handshake failed.
pub(crate) async fn serve_dialled(shared: &Shared, stream: TcpStream, address: SocketAddr) -> bool {
    drop(stream.set_nodelay(true));
    let url = format!("ws://{address}/peer");
    let opening = client_async_with_config(url, stream, Some(config()));
    match timeout(HANDSHAKE_TIMEOUT, opening).await {
        Ok(Ok((socket, _))) => serve(shared, socket).await,
        Ok(Err(_)) | Err(_) => false,
    }
}

/// Serves a link after its WebSocket handshake; returns false if the VMs' handshake failed.
async fn serve(shared: &Shared, mut socket: Socket) -> bool {
    let result = timeout(HANDSHAKE_TIMEOUT, handshake(shared, &mut socket)).await;
    let Some(identity) = result.ok().flatten() else {
        return false;
    };
    let peer = identity.incarnation;
    let (queue, outgoing) = mpsc::channel(shared.settings.queue_len);
    let (id, first) = shared.table.add(peer, queue);
    if first {
        (shared.sink)(PeerEvent::Linked(identity));
    }
    exchange_frames(shared, &mut socket, peer, outgoing).await;
    if shared.table.remove(peer, id) {
        (shared.sink)(PeerEvent::Unlinked(peer));
    }
    true
}

/// Performs the handshake and returns the identity of the peer.
async fn handshake(shared: &Shared, socket: &mut Socket) -> Option<Identity> {
    let settings = &shared.settings;
    let handshake = Handshake::new(&settings.identity, &settings.secret);
    let greeting = handshake.greeting().ok()?;
    socket.send(Message::binary(greeting)).await.ok()?;
    let hello = handshake.hello(&next_frame(socket).await?);
    let hello = hello.map_err(|error| log_failure(&error)).ok()?;
    socket.send(Message::binary(hello)).await.ok()?;
    let checked = handshake.check(&next_frame(socket).await?);
    checked.map_err(|error| log_failure(&error)).ok()
}

fn log_failure(error: &crate::handshake::HandshakeError) {
    tracing::debug!(%error, "handshake with a peer failed");
}

/// The next binary frame; none once the connection is closed or has failed.
async fn next_frame(socket: &mut Socket) -> Option<Vec<u8>> {
    while let Some(Ok(message)) = socket.next().await {
        match message {
            Message::Binary(bytes) => return Some(bytes.to_vec()),
            Message::Close(_) => return None,
            Message::Text(_) | Message::Ping(_) | Message::Pong(_) | Message::Frame(_) => {}
        }
    }
    None
}

/// Sends queued messages and receives frames until the link closes or times out.
async fn exchange_frames(
    shared: &Shared,
    socket: &mut Socket,
    peer: Incarnation,
    mut outgoing: mpsc::Receiver<Vec<u8>>,
) {
    loop {
        tokio::select! {
            queued = outgoing.recv() => {
                let Some(bytes) = queued else { return };
                let sending = socket.send(Message::binary(bytes));
                if !matches!(timeout(shared.settings.idle_timeout, sending).await, Ok(Ok(()))) {
                    return;
                }
            }
            frame = next_frame(socket) => {
                let Some(bytes) = frame else { return };
                match decode(&bytes) {
                    Ok(envelope) => (shared.sink)(PeerEvent::Message { from: peer, envelope }),
                    Err(error) => tracing::debug!(%error, "cannot decode a frame from peer {peer}"),
                }
            }
            () = sleep(shared.settings.idle_timeout) => return,
        }
    }
}
