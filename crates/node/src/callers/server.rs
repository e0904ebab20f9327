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

/// Accepts connections as long as the port state is [`PortState::Open`], then those that are
/// already waiting: their callers take them for open and may have sent a call.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    listener: TcpListener,
    mut port_state: watch::Receiver<PortState>,
) {
    let limit = shared.settings.limits.connections as usize;
    let port = Port {
        permits: Arc::new(Semaphore::new(limit)),
        state: port_state.clone(),
        shared,
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = port_state.wait_for(|state| *state != PortState::Open) => {
                drop(changed);
                break;
            }
        };
        let Ok((stream, _)) = accepted else {
            port.shared.counters.accept_errors.inc();
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        port.start_connection(stream);
    }
    // `accept` of the runtime may not know yet that connections wait.
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).map(|()| stream);
        match stream.and_then(TcpStream::from_std) {
            Ok(stream) => port.start_connection(stream),
            Err(_) => {
                port.shared.counters.accept_errors.inc();
            }
        }
    }
}

/// State that the connections of a port share.
struct Port {
    shared: Arc<Shared>,
    permits: Arc<Semaphore>,
    state: watch::Receiver<PortState>,
}

impl Port {
    /// Starts to serve a connection, which is counted from now on; drops it at the limit.
    fn start_connection(&self, stream: TcpStream) {
        let counters = &self.shared.counters;
        let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else {
            counters.connections_refused.inc();
            return;
        };
        counters.connections.inc();
        tokio::spawn(connection(
            Arc::clone(&self.shared),
            stream,
            permit,
            self.state.clone(),
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
                // `hyper` would close a connection that has brought nothing yet. Its first response
                // ends it.
                if !usage.awaits_first_head() {
                    serving.as_mut().graceful_shutdown();
                }
                closing = true;
            }
        }
    }
    shared.counters.connections.dec();
    drop(permit);
}
