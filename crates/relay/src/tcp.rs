//! Outgoing connections.
//!
//! A connection may fail without a reset. Therefore keep-alive probes and a TCP user time-out are
//! set for each connection, in addition to the time-outs of its requests.

use crate::client_stream::{ClientStream, MAX_UNSENT_BYTES};
use bytes::{Bytes, BytesMut};
use core::{net::SocketAddr, time::Duration};
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt as _, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

/// Time without data before the first keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// TCP user time-out: time for which sent data may remain unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum size of the head of a response, and of the data that is read ahead.
const MAX_BUFFER_BYTES: usize = 32 << 10;

/// Client side of an HTTP connection; request bodies are buffered.
pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// Why a connection could not be opened.
#[derive(Debug, Snafu)]
pub(crate) enum ConnectError {
    /// The peer did not accept the connection in time.
    #[snafu(display("connect to {peer}: no answer within {time_limit:?}"))]
    TimedOut {
        peer: SocketAddr,
        time_limit: Duration,
    },
    /// The peer refused the connection or is unreachable.
    #[snafu(display("failed to connect to {peer}: {source}"))]
    Connect {
        peer: SocketAddr,
        source: std::io::Error,
    },
    /// The HTTP connection could not be set up.
    #[snafu(display("failed to set up the HTTP connection to {peer}: {source}"))]
    Handshake {
        peer: SocketAddr,
        source: hyper::Error,
    },
}

/// Opens a connection for HTTP requests.
pub(crate) async fn open(peer: SocketAddr, time_limit: Duration) -> Result<Sender, ConnectError> {
    let stream = timeout(time_limit, TcpStream::connect(peer))
        .await
        .map_err(|_elapsed| ConnectError::TimedOut { peer, time_limit })?
        .context(ConnectSnafu { peer })?;
    if let Err(error) = set_options(&stream) {
        tracing::warn!(%peer, %error, "set connection options");
    }
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(ClientStream::new(stream)))
        .await
        .context(HandshakeSnafu { peer })?;
    // A request on the connection gets the error itself; the failure of an idle connection needs no
    // handling.
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::trace!(%peer, %error, "connection ended");
        }
    });
    Ok(sender)
}

/// Why a request on a connection has no complete response.
#[derive(Debug, Snafu)]
pub(crate) enum ExchangeError {
    /// The connection failed; the request may have been processed.
    #[snafu(display("{source}"))]
    Broken { source: hyper::Error },
    /// The body is incomplete or larger than the limit.
    #[snafu(display("failed to read the body of the response: {reason}"))]
    Body { reason: String },
    /// The response has not begun, or not gone on, within the time limit.
    #[snafu(display("no reply in time"))]
    Silent,
}

/// Sends a request and reads the complete response, with a body of at most `max_bytes` bytes.
pub(crate) async fn exchange(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
) -> Result<Response<Bytes>, ExchangeError> {
    let response = sender.send_request(request).await.context(BrokenSnafu)?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, max_bytes).collect().await;
    let body = body.map_err(|error| ExchangeError::Body {
        reason: error.to_string(),
    })?;
    Ok(Response::from_parts(head, body.to_bytes()))
}

/// Limits on the reply to a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplyLimits {
    /// Maximum size of the body in bytes.
    pub(crate) max_bytes: usize,
    /// Time from the request to the head of the response.
    pub(crate) head: Duration,
    /// Time without a part of the body.
    pub(crate) silence: Duration,
}

/// Sends a request and reads the complete response, which may take long as long as it goes on.
pub(crate) async fn exchange_slowly(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
    limits: ReplyLimits,
) -> Result<Response<Bytes>, ExchangeError> {
    let response = timeout(limits.head, sender.send_request(request)).await;
    let response = response.map_err(|_elapsed| ExchangeError::Silent)?;
    let (head, body) = response.context(BrokenSnafu)?.into_parts();
    let mut body = Limited::new(body, limits.max_bytes);
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(limits.silence, body.frame()).await;
        match frame.map_err(|_elapsed| ExchangeError::Silent)? {
            None => return Ok(Response::from_parts(head, bytes.freeze())),
            // Trailers have no meaning here.
            Some(Ok(frame)) => bytes.extend(frame.into_data().ok()),
            Some(Err(error)) => {
                let reason = error.to_string();
                return Err(ExchangeError::Body { reason });
            }
        }
    }
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
