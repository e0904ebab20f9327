//! The object API over HTTP.

use crate::{ExecuteError, Executor, Platform, RecordCodec, WireRequest};
use core::time::Duration;
use http::StatusCode;
use poplarswitch_store::{Reply, Request};
use snafu::{ResultExt as _, Snafu};
use std::io;
use ureq::{
    Agent,
    http::{Request as HttpRequest, header},
};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for the answer to a call, beyond the time for which the platform may hold it back.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time to wait after a refusal; the platform tells none.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Largest answer that is read, in bytes.
const MAX_REPLY_BYTES: u64 = 16 << 20;

/// A call that got no answer.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// The call can't be written.
    #[snafu(display("write the call: {source}"))]
    Unwritable {
        /// The cause.
        source: ureq::http::Error,
    },
    /// The exchange failed.
    #[snafu(display("exchange: {source}"))]
    Exchange {
        /// The cause.
        #[snafu(source(from(ureq::Error, Box::new)))]
        source: Box<ureq::Error>,
    },
}

impl SendError {
    /// Whether the call can't have reached the platform.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Unwritable { .. } => true,
            Self::Exchange { source } => match &**source {
                ureq::Error::ConnectionFailed
                | ureq::Error::HostNotFound
                | ureq::Error::Timeout(ureq::Timeout::Connect) => true,
                ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
                _ => false,
            },
        }
    }
}

/// A request that was not carried out, as far as is known.
#[derive(Debug, Snafu)]
#[snafu(display("{step} at platform {peer}: {source}"))]
pub struct HttpPlatformError {
    /// What was being done.
    step: &'static str,
    /// The platform's address.
    peer: String,
    /// The cause.
    source: ExecuteError<SendError>,
}

/// Speaks to the platform at one address.
#[derive(Debug)]
pub struct HttpPlatform {
    agent: Agent,
    base: String,
    executor: Executor,
}

impl HttpPlatform {
    /// Takes the base address, such as `http://127.0.0.1:7000`, and the adapter.
    pub fn new(base: &str, codec: Box<dyn RecordCodec>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .build();
        Self {
            agent: config.into(),
            base: base.trim_end_matches('/').to_owned(),
            executor: Executor::new(codec),
        }
    }

    /// Carries out one request.
    ///
    /// # Errors
    ///
    /// Fails if the platform gave no answer, or one that can't be read.
    pub fn exchange(&mut self, request: &Request) -> Result<Reply, HttpPlatformError> {
        let Self {
            agent,
            base,
            executor,
        } = self;
        let within = timeout(request);
        let done = executor.execute(request, RETRY_AFTER, |wire| send(agent, base, wire, within));
        done.context(HttpPlatformSnafu {
            step: step(request),
            peer: base.as_str(),
        })
    }
}

fn send(
    agent: &Agent,
    base: &str,
    wire: &WireRequest,
    within: Duration,
) -> Result<(StatusCode, Vec<u8>), SendError> {
    let mut request = HttpRequest::builder()
        .method(wire.method.clone())
        .uri(format!("{base}{}", wire.path));
    let sent = if wire.body.is_empty() {
        let request = request.body(()).context(UnwritableSnafu)?;
        agent.run(timed(agent, request, within))
    } else {
        request = request.header(header::CONTENT_TYPE, "application/json");
        let request = request.body(wire.body.as_ref()).context(UnwritableSnafu)?;
        agent.run(timed(agent, request, within))
    };
    let mut response = sent.context(ExchangeSnafu)?;
    let body = response.body_mut().with_config().limit(MAX_REPLY_BYTES);
    let body = body.read_to_vec().context(ExchangeSnafu)?;
    Ok((response.status(), body))
}

fn timed<B: ureq::AsSendBody>(
    agent: &Agent,
    request: HttpRequest<B>,
    within: Duration,
) -> HttpRequest<B> {
    agent
        .configure_request(request)
        .timeout_global(Some(within))
        .build()
}

impl Platform for HttpPlatform {
    fn call(&mut self, request: &Request) -> Reply {
        match self.exchange(request) {
            Ok(reply) => reply,
            Err(error) => failed(request, &error),
        }
    }
}

/// A write that may have arrived is unknown; anything else was not done.
fn failed(request: &Request, error: &HttpPlatformError) -> Reply {
    tracing::debug!(%error, "platform request failed");
    let unsent = matches!(&error.source, ExecuteError::Send { source } if source.is_unsent());
    match request {
        Request::Put { .. } | Request::Delete { .. } if !unsent => Reply::Unknown,
        _ => Reply::Unavailable {
            retry_after: RETRY_AFTER,
        },
    }
}

const fn step(request: &Request) -> &'static str {
    match request {
        Request::Get { .. } => "read object",
        Request::Put { .. } => "write object",
        Request::Delete { .. } => "delete object",
        Request::List { .. } => "list objects",
        Request::Watch { .. } => "watch object",
        Request::Vms => "list VMs",
    }
}

const fn timeout(request: &Request) -> Duration {
    match request {
        Request::Watch { wait, .. } => wait.saturating_add(ANSWER_TIMEOUT),
        _ => ANSWER_TIMEOUT,
    }
}
