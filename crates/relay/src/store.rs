//! The one client for the platform.
//!
//! Each call has a time-out of its own beyond the time for which the platform may hold it back.
//! A connection on which an answer failed to come is never used again.

use crate::{
    PlatformCall, PlatformReply, Protocol,
    tcp::{self, ExchangeError, OpenError, Sender},
};
use bytes::Bytes;
use core::{net::SocketAddr, time::Duration};
use http::{Request, header};
use http_body_util::Full;
use snafu::{ResultExt as _, Snafu};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::timeout;

/// Time for the answer of a watch beyond its wait; a slow platform takes 0.35 s.
const WATCH_WITHIN: Duration = Duration::from_millis(600);
/// Time for any other answer.
const ANSWER_WITHIN: Duration = Duration::from_millis(1_200);
/// Time for a new connection.
const CONNECT_WITHIN: Duration = Duration::from_millis(500);
/// Largest answer: a page of objects, and some.
const ANSWER_BYTES: usize = 4 << 20;
/// Kept connections: two watches and one for the rest.
const KEPT_MOST: usize = 3;

/// Why a call to the platform has no answer.
#[derive(Debug, Snafu)]
pub(crate) enum StoreError {
    /// No connection; nothing was done.
    #[snafu(display("{step}: {source}"))]
    Unreached {
        step: &'static str,
        source: OpenError,
    },
    /// No answer in time; a write may have been done.
    #[snafu(display("{step} at {peer}: no answer in time"))]
    Silent {
        step: &'static str,
        peer: SocketAddr,
    },
    /// The connection broke; a write may have been done.
    #[snafu(display("{step} at {peer}: {source}"))]
    Broken {
        step: &'static str,
        peer: SocketAddr,
        source: ExchangeError,
    },
    /// The answer can't be read.
    #[snafu(display("{step} at {peer}: {reason}"))]
    Unreadable {
        step: &'static str,
        peer: SocketAddr,
        reason: String,
    },
}

/// The client.
#[derive(Debug)]
pub(crate) struct StoreClient {
    peer: SocketAddr,
    protocol: Arc<dyn Protocol>,
    kept: Mutex<Vec<Sender>>,
}

impl StoreClient {
    pub(crate) fn new(peer: SocketAddr, protocol: Arc<dyn Protocol>) -> Self {
        Self {
            peer,
            protocol,
            kept: Mutex::new(Vec::new()),
        }
    }

    /// Carries out one call.
    pub(crate) async fn call(&self, call: &PlatformCall) -> Result<PlatformReply, StoreError> {
        let step = call.name();
        let peer = self.peer;
        let within = if call.wait().is_zero() {
            ANSWER_WITHIN
        } else {
            call.wait() + WATCH_WITHIN
        };
        timeout(within, self.exchange(call))
            .await
            .unwrap_or(Err(StoreError::Silent { step, peer }))
    }

    async fn exchange(&self, call: &PlatformCall) -> Result<PlatformReply, StoreError> {
        let (step, peer) = (call.name(), self.peer);
        let kept = self.lock().pop();
        let mut sender = match kept.filter(Sender::is_ready) {
            Some(sender) => sender,
            None => tcp::open(peer, CONNECT_WITHIN)
                .await
                .context(UnreachedSnafu { step })?,
        };
        let (status, body) = tcp::exchange(&mut sender, self.request(call), ANSWER_BYTES)
            .await
            .context(BrokenSnafu { step, peer })?;
        let mut kept = self.lock();
        if kept.len() < KEPT_MOST && !sender.is_closed() {
            kept.push(sender);
        }
        drop(kept);
        self.protocol
            .parse_platform_reply(call, status, &body)
            .map_err(|reason| StoreError::Unreadable { step, peer, reason })
    }

    fn request(&self, call: &PlatformCall) -> Request<Full<Bytes>> {
        let wire = self.protocol.encode_platform_call(call);
        let mut request = Request::new(Full::new(wire.body.clone()));
        *request.method_mut() = wire.method;
        *request.uri_mut() = wire.path.parse().unwrap_or_default();
        let headers = request.headers_mut();
        if let Ok(host) = self.peer.to_string().parse() {
            headers.insert(header::HOST, host);
        }
        if !wire.body.is_empty() {
            let json = header::HeaderValue::from_static("application/json");
            headers.insert(header::CONTENT_TYPE, json);
        }
        request
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Sender>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
