//! One link from its first frame to its last.

use crate::{
    greet::Greeter,
    hub::{Common, PeerEvent},
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

/// Longest time for the first frames.
const GREET_WAIT: Duration = Duration::from_secs(2);

type Socket = WebSocketStream<TcpStream>;

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

/// Serves a link that a peer opened.
pub(crate) async fn accepted(common: &Common, stream: TcpStream) {
    drop(stream.set_nodelay(true));
    let accepting = accept_async_with_config(stream, Some(config()));
    if let Ok(Ok(socket)) = timeout(GREET_WAIT, accepting).await {
        serve(common, socket).await;
    }
}

/// Serves a link that this VM opened; false if the peer did not greet in the right way.
pub(crate) async fn dialled(common: &Common, stream: TcpStream, address: SocketAddr) -> bool {
    drop(stream.set_nodelay(true));
    let url = format!("ws://{address}/peer");
    let opening = client_async_with_config(url, stream, Some(config()));
    match timeout(GREET_WAIT, opening).await {
        Ok(Ok((socket, _))) => serve(common, socket).await,
        Ok(Err(_)) | Err(_) => false,
    }
}

async fn serve(common: &Common, mut socket: Socket) -> bool {
    let greeted = timeout(GREET_WAIT, greet(common, &mut socket)).await;
    let Some(identity) = greeted.ok().flatten() else {
        return false;
    };
    let peer = identity.incarnation;
    let (queue, outgoing) = mpsc::channel(common.settings.queue);
    let (number, first) = common.table.open(peer, queue);
    if first {
        (common.sink)(PeerEvent::Linked(identity));
    }
    carry(common, &mut socket, peer, outgoing).await;
    if common.table.closed(peer, number) {
        (common.sink)(PeerEvent::Unlinked(peer));
    }
    true
}

async fn greet(common: &Common, socket: &mut Socket) -> Option<Identity> {
    let settings = &common.settings;
    let greeter = Greeter::new(&settings.identity, &settings.secret);
    let greeting = greeter.greeting().ok()?;
    socket.send(Message::binary(greeting)).await.ok()?;
    let hello = greeter.hello(&next_frame(socket).await?);
    let hello = hello.map_err(|error| refused(&error)).ok()?;
    socket.send(Message::binary(hello)).await.ok()?;
    let checked = greeter.check(&next_frame(socket).await?);
    checked.map_err(|error| refused(&error)).ok()
}

fn refused(error: &crate::greet::GreetError) {
    tracing::debug!(%error, "a link was refused");
}

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

/// Passes frames in both directions until either side ends.
async fn carry(
    common: &Common,
    socket: &mut Socket,
    peer: Incarnation,
    mut outgoing: mpsc::Receiver<Vec<u8>>,
) {
    loop {
        tokio::select! {
            queued = outgoing.recv() => {
                let Some(bytes) = queued else { return };
                let sending = socket.send(Message::binary(bytes));
                if !matches!(timeout(common.settings.silence, sending).await, Ok(Ok(()))) {
                    return;
                }
            }
            frame = next_frame(socket) => {
                let Some(bytes) = frame else { return };
                match decode(&bytes) {
                    Ok(envelope) => (common.sink)(PeerEvent::Message { from: peer, envelope }),
                    Err(error) => tracing::debug!(%error, "a frame was not understood"),
                }
            }
            () = sleep(common.settings.silence) => return,
        }
    }
}
