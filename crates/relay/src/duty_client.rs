//! Client for the calls that one VM at a time makes.
//!
//! A call without an answer may be executed later, after newer calls of this VM or of another holder.

use crate::{
    DutyCall, DutyReply, Protocol,
    tcp::{self, ConnectError, ExchangeError},
};
use core::{net::SocketAddr, time::Duration};
use http::{Request, StatusCode, header};
use http_body_util::Full;
use poplarswitch_entity::VmName;
use poplarswitch_lease::Tenure;
use snafu::{ResultExt as _, Snafu};
use std::sync::Arc;
use tokio::time::timeout;

/// Time limit for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for a call and its answer.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of an answer.
const MAX_REPLY_BYTES: usize = 64 << 10;

/// Why a call has no answer.
#[derive(Debug, Snafu)]
pub(crate) enum DutyError {
    /// No connection could be opened; the call has no effect.
    #[snafu(display("{call} at {peer}: {source}"))]
    Unreached {
        call: &'static str,
        peer: SocketAddr,
        source: ConnectError,
    },
    /// No answer in time; the call may take effect later.
    #[snafu(display("{call} at {peer}: no answer in time"))]
    TimedOut {
        call: &'static str,
        peer: SocketAddr,
    },
    /// The connection failed; the call may take effect later.
    #[snafu(display("{call} at {peer}: {source}"))]
    Broken {
        call: &'static str,
        peer: SocketAddr,
        source: ExchangeError,
    },
}

impl DutyError {
    /// Whether the call can't take effect any more.
    pub(crate) const fn is_unsent(&self) -> bool {
        matches!(self, Self::Unreached { .. })
    }
}

/// Client for the calls that one VM at a time makes.
#[derive(Debug)]
pub(crate) struct DutyClient {
    peer: SocketAddr,
    holder: VmName,
    protocol: Arc<dyn Protocol>,
}

impl DutyClient {
    pub(crate) fn new(peer: SocketAddr, holder: VmName, protocol: Arc<dyn Protocol>) -> Self {
        Self {
            peer,
            holder,
            protocol,
        }
    }

    /// Makes a call under a tenure, and reads its answer.
    pub(crate) async fn call(
        &self,
        tenure: &Tenure,
        call: &DutyCall,
    ) -> Result<DutyReply, DutyError> {
        let (peer, name) = (self.peer, call.name());
        let answer = timeout(CALL_TIMEOUT, self.exchange(tenure, call)).await;
        answer.unwrap_or(Err(DutyError::TimedOut { call: name, peer }))
    }

    async fn exchange(&self, tenure: &Tenure, call: &DutyCall) -> Result<DutyReply, DutyError> {
        let (peer, name) = (self.peer, call.name());
        let (wire, headers) = self.protocol.encode_duty_call(&self.holder, tenure, call);
        let mut request = Request::new(Full::new(wire.body));
        *request.method_mut() = wire.method;
        *request.uri_mut() = wire.path.parse().unwrap_or_default();
        *request.headers_mut() = headers;
        if let Ok(host) = peer.to_string().parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        let json = header::HeaderValue::from_static("application/json");
        request.headers_mut().insert(header::CONTENT_TYPE, json);
        let mut sender = tcp::open(peer, CONNECT_TIMEOUT)
            .await
            .context(UnreachedSnafu { call: name, peer })?;
        let response = tcp::exchange(&mut sender, request, MAX_REPLY_BYTES)
            .await
            .context(BrokenSnafu { call: name, peer })?;
        Ok(match response.status() {
            status if status.is_success() => DutyReply::Done,
            StatusCode::CONFLICT => DutyReply::Conflict,
            StatusCode::TOO_MANY_REQUESTS => DutyReply::Limited,
            status => DutyReply::Refused(status),
        })
    }
}
