//! Outgoing connections.
//!
//! A connection may fall silent without a reset, so each has keep-alive probes and a bound on
//! unacknowledged bytes, beside the time-outs of the requests on it.

use bytes::Bytes;
use core::{net::SocketAddr, time::Duration};
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt as _, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

/// Silence after which a connection is probed, and between probes.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);
/// Largest head of an answer, and most bytes read ahead.
const BUFFER_BYTES: usize = 32 << 10;

/// A client connection for whole requests.
pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// Why no connection was opened.
#[derive(Debug, Snafu)]
pub(crate) enum OpenError {
    /// The peer didn't answer in time.
    #[snafu(display("connect to {peer}: no answer within {within:?}"))]
    Silent { peer: SocketAddr, within: Duration },
    /// The peer refused, or there is no way to it.
    #[snafu(display("connect to {peer}: {source}"))]
    Connect {
        peer: SocketAddr,
        source: std::io::Error,
    },
    /// The connection can't carry HTTP.
    #[snafu(display("set up the connection to {peer}: {source}"))]
    Handshake {
        peer: SocketAddr,
        source: hyper::Error,
    },
}

/// Opens a connection for requests.
pub(crate) async fn open(peer: SocketAddr, within: Duration) -> Result<Sender, OpenError> {
    let stream = timeout(within, TcpStream::connect(peer))
        .await
        .map_err(|_elapsed| OpenError::Silent { peer, within })?
        .context(ConnectSnafu { peer })?;
    if let Err(error) = tune(&stream) {
        tracing::warn!(%peer, %error, "set connection options");
    }
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .context(HandshakeSnafu { peer })?;
    // Errors of the connection reach the request on it; an idle one that breaks is not news.
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::trace!(%peer, %error, "connection ended");
        }
    });
    Ok(sender)
}

/// Why a request on a connection has no answer.
#[derive(Debug, Snafu)]
pub(crate) enum ExchangeError {
    /// The connection broke; the request may have been carried out.
    #[snafu(display("{source}"))]
    Broken { source: hyper::Error },
    /// The body broke off, or is larger than the caller takes.
    #[snafu(display("the answer's body: {reason}"))]
    Body { reason: String },
}

/// Sends a request and reads its answer whole, up to a number of bytes.
pub(crate) async fn exchange(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
    most: usize,
) -> Result<(StatusCode, Bytes), ExchangeError> {
    let response = sender.send_request(request).await.context(BrokenSnafu)?;
    let status = response.status();
    let body = Limited::new(response.into_body(), most).collect().await;
    let body = body.map_err(|error| ExchangeError::Body {
        reason: error.to_string(),
    })?;
    Ok((status, body.to_bytes()))
}

fn tune(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
