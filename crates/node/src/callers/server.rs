//! Accepts callers' connections.

use super::routes::route;
use crate::shared::Shared;
use core::{convert::Infallible, pin::pin, time::Duration};
use hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::sync::Arc;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
};

/// Largest head of a call, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Whether connections are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Door {
    /// New and idle connections are served.
    Open,
    /// Each connection ends with its present call.
    Closing,
    /// All connections end at once.
    Closed,
}

/// Takes connections until the door closes.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    listener: TcpListener,
    mut door: watch::Receiver<Door>,
) {
    let limit = shared.settings.limits.connections as usize;
    let places = Arc::new(Semaphore::new(limit));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = door.wait_for(|door| *door != Door::Open) => {
                drop(changed);
                return;
            }
        };
        let Ok((stream, _)) = accepted else {
            shared.counters.accept_errors.inc();
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            shared.counters.connections_refused.inc();
            continue;
        };
        tokio::spawn(connection(Arc::clone(&shared), stream, place, door.clone()));
    }
}

async fn connection(
    shared: Arc<Shared>,
    stream: TcpStream,
    place: OwnedSemaphorePermit,
    mut door: watch::Receiver<Door>,
) {
    drop(stream.set_nodelay(true));
    shared.counters.connections.inc();
    let service = service_fn(|request: http::Request<Incoming>| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(route(shared, request).await) }
    });
    let mut serving = pin!(
        Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(shared.settings.limits.head_timeout())
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service)
    );
    let mut closing = false;
    loop {
        let wanted = if closing { Door::Closed } else { Door::Closing };
        tokio::select! {
            served = serving.as_mut() => {
                drop(served);
                break;
            }
            changed = door.wait_for(|door| *door == wanted || *door == Door::Closed) => {
                if changed.map_or(true, |door| *door == Door::Closed) {
                    break;
                }
                serving.as_mut().graceful_shutdown();
                closing = true;
            }
        }
    }
    shared.counters.connections.dec();
    drop(place);
}
