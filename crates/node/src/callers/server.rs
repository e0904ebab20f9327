//! Accepts and serves the callers' connections.

use super::{
    connection::{CallerStream, Usage},
    routes::route,
};
use crate::shared::Shared;
use core::{convert::Infallible, pin::pin, time::Duration};
use hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::TokioIo;
use std::sync::Arc;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
};

/// Maximum size of a call's head.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Whether a port accepts and serves connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PortState {
    /// Connections are accepted and served.
    Open,
    /// Callers' connections are no longer accepted, and close after their current call.
    Closing,
    /// All ports close their connections immediately.
    Closed,
}

/// Accepts connections as long as the port state is [`PortState::Open`].
pub(crate) async fn serve(
    shared: Arc<Shared>,
    listener: TcpListener,
    mut port_state: watch::Receiver<PortState>,
) {
    let limit = shared.settings.limits.connections as usize;
    let permits = Arc::new(Semaphore::new(limit));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = port_state.wait_for(|state| *state != PortState::Open) => {
                drop(changed);
                return;
            }
        };
        let Ok((stream, _)) = accepted else {
            shared.counters.accept_errors.inc();
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            shared.counters.connections_refused.inc();
            continue;
        };
        tokio::spawn(connection(
            Arc::clone(&shared),
            stream,
            permit,
            port_state.clone(),
        ));
    }
}

async fn connection(
    shared: Arc<Shared>,
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    mut port_state: watch::Receiver<PortState>,
) {
    drop(stream.set_nodelay(true));
    shared.counters.connections.inc();
    let usage = Usage::new();
    let service = service_fn(|request: http::Request<Incoming>| {
        let shared = Arc::clone(&shared);
        let guard = usage.begin_request();
        async move {
            let response = route(shared, request).await;
            Ok::<_, Infallible>(response.map(|body| guard.keep(body)))
        }
    });
    let stream = CallerStream::new(stream, usage.clone());
    let mut serving = pin!(
        Builder::new()
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service)
    );
    let mut timed_out = pin!(usage.time_out(&shared.settings.limits));
    let mut closing = false;
    loop {
        let awaited = if closing {
            PortState::Closed
        } else {
            PortState::Closing
        };
        tokio::select! {
            served = serving.as_mut() => {
                drop(served);
                break;
            }
            () = timed_out.as_mut() => break,
            changed = port_state
                .wait_for(|state| *state == awaited || *state == PortState::Closed) => {
                if changed.map_or(true, |state| *state == PortState::Closed) {
                    break;
                }
                serving.as_mut().graceful_shutdown();
                closing = true;
            }
        }
    }
    shared.counters.connections.dec();
    drop(permit);
}
