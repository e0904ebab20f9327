//! Connection to the platform over HTTP.

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

/// Maximum time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for a call and its answer, in addition to the wait that a watch asks for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Retry time reported after a refusal or a failed call, as the platform states none.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Maximum length of an answer.
const MAX_REPLY_BYTES: u64 = 16 << 20;

/// Reason why a call got no answer.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// The call is not a valid HTTP request.
    #[snafu(display("invalid HTTP request: {source}"))]
    InvalidRequest {
        /// Cause of the error.
        source: ureq::http::Error,
    },
    /// The call could not be sent, or its answer could not be received.
    #[snafu(display("HTTP exchange failed: {source}"))]
    Exchange {
        /// Cause of the error.
        #[snafu(source(from(ureq::Error, Box::new)))]
        source: Box<ureq::Error>,
    },
}

impl SendError {
    /// Whether the call is certain not to have reached the platform.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::InvalidRequest { .. } => true,
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

/// Error of a request that failed; a write may have been done all the same.
#[derive(Debug, Snafu)]
#[snafu(display("{operation} at platform {peer}: {source}"))]
pub struct HttpPlatformError {
    /// Operation that failed.
    operation: &'static str,
    /// Base URL of the platform.
    peer: String,
    /// Cause of the error.
    source: ExecuteError<SendError>,
}

/// Connection to the platform at one base URL.
#[derive(Debug)]
pub struct HttpPlatform {
    agent: Agent,
    base_url: String,
    executor: Executor,
}

impl HttpPlatform {
    /// Creates a connection with a base URL, such as `http://127.0.0.1:7000`, and an adapter's
    /// format of calls.
    pub fn new(base_url: &str, codec: Box<dyn RecordCodec>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .build();
        Self {
            agent: config.into(),
            base_url: base_url.trim_end_matches('/').to_owned(),
            executor: Executor::new(codec),
        }
    }

    /// Executes a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gave no answer, or one that can't be parsed.
    pub fn exchange(&mut self, request: &Request) -> Result<Reply, HttpPlatformError> {
        let Self {
            agent,
            base_url,
            executor,
        } = self;
        let timeout = answer_timeout(request);
        let reply = executor.execute(request, RETRY_AFTER, |call| {
            send(agent, base_url, call, timeout)
        });
        reply.context(HttpPlatformSnafu {
            operation: operation(request),
            peer: base_url.as_str(),
        })
    }
}

fn send(
    agent: &Agent,
    base_url: &str,
    call: &WireRequest,
    timeout: Duration,
) -> Result<(StatusCode, Vec<u8>), SendError> {
    let mut request = HttpRequest::builder()
        .method(call.method.clone())
        .uri(format!("{base_url}{}", call.path));
    let sent = if call.body.is_empty() {
        let request = request.body(()).context(InvalidRequestSnafu)?;
        agent.run(with_timeout(agent, request, timeout))
    } else {
        request = request.header(header::CONTENT_TYPE, "application/json");
        let request = request
            .body(call.body.as_ref())
            .context(InvalidRequestSnafu)?;
        agent.run(with_timeout(agent, request, timeout))
    };
    let mut response = sent.context(ExchangeSnafu)?;
    let body = response.body_mut().with_config().limit(MAX_REPLY_BYTES);
    let body = body.read_to_vec().context(ExchangeSnafu)?;
    Ok((response.status(), body))
}

fn with_timeout<B: ureq::AsSendBody>(
    agent: &Agent,
    request: HttpRequest<B>,
    timeout: Duration,
) -> HttpRequest<B> {
    agent
        .configure_request(request)
        .timeout_global(Some(timeout))
        .build()
}

impl Platform for HttpPlatform {
    fn call(&mut self, request: &Request) -> Reply {
        match self.exchange(request) {
            Ok(reply) => reply,
            Err(error) => reply_from_error(request, &error),
        }
    }
}

/// Reply to a request that failed: the outcome of a write that may have reached the platform is
/// unknown; any other request was not done.
fn reply_from_error(request: &Request, error: &HttpPlatformError) -> Reply {
    tracing::debug!(%error, "platform request failed");
    let unsent = matches!(&error.source, ExecuteError::Send { source } if source.is_unsent());
    match request {
        Request::Put { .. } | Request::Delete { .. } if !unsent => Reply::Unknown,
        _ => Reply::Unavailable {
            retry_after: RETRY_AFTER,
        },
    }
}

const fn operation(request: &Request) -> &'static str {
    match request {
        Request::Get { .. } => "read object",
        Request::Put { .. } => "write object",
        Request::Delete { .. } => "delete object",
        Request::List { .. } => "list objects",
        Request::Watch { .. } => "watch object",
        Request::Vms => "list VMs",
    }
}

const fn answer_timeout(request: &Request) -> Duration {
    match request {
        Request::Watch { wait, .. } => wait.saturating_add(ANSWER_TIMEOUT),
        _ => ANSWER_TIMEOUT,
    }
}
