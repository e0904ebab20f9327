//! Client for the platform.
//!
//! The time-out of a call starts after the time for which the platform may delay its reply. A
//! connection on which a call failed is not reused. The platform may close an idle connection at the
//! moment at which it is used again; a call that can be repeated is then sent on a new one.

use crate::{
    PlatformAnswer, PlatformCall, Protocol,
    tcp::{self, ConnectError, ExchangeError, Sender},
};
use bytes::Bytes;
use core::{net::SocketAddr, time::Duration};
use http::{Request, Response, header, uri::InvalidUri};
use http_body_util::Full;
use poplarswitch_platform::WireRequest;
use snafu::{ResultExt as _, Snafu};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::timeout;

/// Time limit for the reply to a watch, in addition to its wait; a slow platform takes 0.35 s.
const WATCH_MARGIN: Duration = Duration::from_millis(600);
/// Time limit for any other reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time limit for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a reply; larger than a page of objects.
const MAX_REPLY_BYTES: usize = 4 << 20;
/// Maximum number of idle connections: two for watches and one for other calls.
const MAX_IDLE_CONNECTIONS: usize = 3;

/// Why a call to the platform has no usable reply.
#[derive(Debug, Snafu)]
pub(crate) enum PlatformError {
    /// No connection could be opened; the call had no effect.
    #[snafu(display("{operation}: {source}"))]
    Unreached {
        operation: &'static str,
        source: ConnectError,
    },
    /// No reply within the time limit; a write may have taken effect.
    #[snafu(display("{operation} at {peer}: no reply in time"))]
    TimedOut {
        operation: &'static str,
        peer: SocketAddr,
    },
    /// The connection failed; a write may have taken effect.
    #[snafu(display("{operation} at {peer}: {source}"))]
    Broken {
        operation: &'static str,
        peer: SocketAddr,
        source: ExchangeError,
    },
    /// The call has no valid path, so it was not sent.
    #[snafu(display("{operation}: invalid path: {source}"))]
    Unsendable {
        operation: &'static str,
        source: InvalidUri,
    },
    /// The reply can't be parsed.
    #[snafu(display("{operation} at {peer}: invalid reply: {reason}"))]
    Unreadable {
        operation: &'static str,
        peer: SocketAddr,
        reason: String,
    },
}

/// Client for the platform.
#[derive(Debug)]
pub(crate) struct PlatformClient {
    peer: SocketAddr,
    protocol: Arc<dyn Protocol>,
    idle: Mutex<Vec<Sender>>,
}

impl PlatformClient {
    pub(crate) fn new(peer: SocketAddr, protocol: Arc<dyn Protocol>) -> Self {
        Self {
            peer,
            protocol,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends a call and reads its reply.
    pub(crate) async fn call(&self, call: &PlatformCall) -> Result<PlatformAnswer, PlatformError> {
        let operation = call.name();
        let peer = self.peer;
        let time_limit = if call.wait().is_zero() {
            REPLY_TIMEOUT
        } else {
            call.wait() + WATCH_MARGIN
        };
        timeout(time_limit, self.exchange(call))
            .await
            .unwrap_or(Err(PlatformError::TimedOut { operation, peer }))
    }

    async fn exchange(&self, call: &PlatformCall) -> Result<PlatformAnswer, PlatformError> {
        let (operation, peer) = (call.name(), self.peer);
        let wire = self.protocol.encode_platform_call(call);
        let request = build_request(wire, peer).context(UnsendableSnafu { operation })?;
        let (sender, response) = self.send(call, request).await?;
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS && !sender.is_closed() {
            idle.push(sender);
        }
        drop(idle);
        self.protocol
            .parse_platform_reply(call, response.status(), response.headers(), response.body())
            .map_err(|reason| PlatformError::Unreadable {
                operation,
                peer,
                reason,
            })
    }

    /// Sends a request on an idle connection or a new one.
    async fn send(
        &self,
        call: &PlatformCall,
        request: Request<Full<Bytes>>,
    ) -> Result<(Sender, Response<Bytes>), PlatformError> {
        let (operation, peer) = (call.name(), self.peer);
        let idle = self.lock().pop();
        if let Some(mut sender) = idle.filter(Sender::is_ready) {
            match tcp::exchange(&mut sender, request.clone(), MAX_REPLY_BYTES).await {
                Ok(response) => return Ok((sender, response)),
                Err(error) if call.is_repeatable() => {
                    tracing::debug!(%peer, operation, %error, "repeat a call on a new connection");
                }
                Err(source) => return Err(source).context(BrokenSnafu { operation, peer }),
            }
        }
        let mut sender = tcp::open(peer, CONNECT_TIMEOUT)
            .await
            .context(UnreachedSnafu { operation })?;
        let response = tcp::exchange(&mut sender, request, MAX_REPLY_BYTES)
            .await
            .context(BrokenSnafu { operation, peer })?;
        Ok((sender, response))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Sender>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

pub(crate) fn build_request(
    wire: WireRequest,
    peer: SocketAddr,
) -> Result<Request<Full<Bytes>>, InvalidUri> {
    let has_body = !wire.body.is_empty();
    let mut request = Request::new(Full::new(wire.body));
    *request.method_mut() = wire.method;
    *request.uri_mut() = wire.path.parse()?;
    let headers = request.headers_mut();
    if let Ok(host) = peer.to_string().parse() {
        headers.insert(header::HOST, host);
    }
    if has_body {
        let json = header::HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
    }
    Ok(request)
}
