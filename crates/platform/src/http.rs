//! The object API over HTTP.

use crate::{
    Platform,
    protocol::{self, Method, RETRY_AFTER_MS},
};
use core::time::Duration;
use poplarswitch_store::{Guard, Reply, Request, Versioned};
use serde::de::DeserializeOwned;
use snafu::{OptionExt, ResultExt, Snafu};
use std::io;
use ureq::{Agent, Body, http::Response};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for the answer to an ordinary request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Retry time assumed when the platform tells none.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Largest reply that is read, in bytes.
const MAX_REPLY_BYTES: u64 = 16 << 20;

const OK: u16 = 200;
const CREATED: u16 = 201;
const NOT_MODIFIED: u16 = 304;
const NOT_FOUND: u16 = 404;
const PRECONDITION_FAILED: u16 = 412;
const TOO_LARGE: u16 = 413;
const TOO_MANY: u16 = 429;
const UNAVAILABLE: u16 = 503;

/// A request that got no reply.
#[derive(Debug, Snafu)]
pub enum HttpPlatformError {
    /// The exchange failed.
    #[snafu(display("{step} at platform {peer}: {source}"))]
    Exchange {
        /// What was being done.
        step: &'static str,
        /// The platform's address.
        peer: String,
        /// The cause.
        #[snafu(source(from(ureq::Error, Box::new)))]
        source: Box<ureq::Error>,
    },
    /// The reply could not be understood.
    #[snafu(display("{step} at platform {peer}: unexpected status {status}"))]
    Status {
        /// What was being done.
        step: &'static str,
        /// The platform's address.
        peer: String,
        /// The status code.
        status: u16,
    },
}

impl HttpPlatformError {
    /// Whether the request can't have reached the platform.
    pub fn before_send(&self) -> bool {
        match self {
            Self::Exchange { source, .. } => match &**source {
                ureq::Error::ConnectionFailed
                | ureq::Error::HostNotFound
                | ureq::Error::Timeout(ureq::Timeout::Connect) => true,
                ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
                _ => false,
            },
            Self::Status { .. } => false,
        }
    }
}

/// Speaks to the platform at one address.
#[derive(Debug)]
pub struct HttpPlatform {
    agent: Agent,
    base: String,
}

impl HttpPlatform {
    /// Takes the base address, such as `http://127.0.0.1:7000`.
    pub fn new(base: &str) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .build();
        Self {
            agent: config.into(),
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    /// Carries out one request.
    pub fn exchange(&self, request: &Request) -> Result<Reply, HttpPlatformError> {
        let step = step(request);
        let response = self.send(request).context(ExchangeSnafu {
            step,
            peer: &self.base,
        })?;
        self.reply(request, response)
    }

    fn send(&self, request: &Request) -> Result<Response<Body>, ureq::Error> {
        let url = format!("{}{}", self.base, protocol::path(request));
        let timeout = Some(timeout(request));
        match protocol::method(request) {
            Method::Get => {
                let call = self.agent.get(url);
                call.config().timeout_global(timeout).build().call()
            }
            Method::Delete => {
                let call = with_guard(self.agent.delete(url), request);
                call.config().timeout_global(timeout).build().call()
            }
            Method::Put => {
                let call = with_guard(self.agent.put(url), request);
                let call = call.config().timeout_global(timeout).build();
                call.send(value_of(request))
            }
        }
    }

    fn reply(
        &self,
        request: &Request,
        response: Response<Body>,
    ) -> Result<Reply, HttpPlatformError> {
        let step = step(request);
        match response.status().as_u16() {
            NOT_FOUND => Ok(Reply::Object(None)),
            NOT_MODIFIED => Ok(Reply::Unchanged),
            PRECONDITION_FAILED => Ok(Reply::Conflict {
                current: self.object(step, response)?,
            }),
            TOO_LARGE | TOO_MANY | UNAVAILABLE => Ok(Reply::Unavailable {
                retry_after: retry_after(&response),
            }),
            OK | CREATED => self.success(request, response),
            status => StatusSnafu {
                step,
                peer: &self.base,
                status,
            }
            .fail(),
        }
    }

    fn success(
        &self,
        request: &Request,
        response: Response<Body>,
    ) -> Result<Reply, HttpPlatformError> {
        let step = step(request);
        match request {
            Request::Get { .. } | Request::Watch { .. } => {
                Ok(Reply::Object(self.object(step, response)?))
            }
            Request::Put { .. } | Request::Delete { .. } => {
                let version = version_of(&response).context(StatusSnafu {
                    step,
                    peer: &self.base,
                    status: OK,
                })?;
                Ok(Reply::Done { version })
            }
            Request::List { .. } => Ok(Reply::Listing(self.json(step, response)?)),
            Request::Vms => Ok(Reply::Vms(self.json(step, response)?)),
        }
    }

    fn object(
        &self,
        step: &'static str,
        mut response: Response<Body>,
    ) -> Result<Option<Versioned>, HttpPlatformError> {
        let Some(version) = version_of(&response) else {
            return Ok(None);
        };
        let body = response.body_mut().with_config().limit(MAX_REPLY_BYTES);
        let value = body.read_to_vec().context(ExchangeSnafu {
            step,
            peer: &self.base,
        })?;
        Ok(Some(Versioned {
            version,
            value: value.into(),
        }))
    }

    fn json<T: DeserializeOwned>(
        &self,
        step: &'static str,
        mut response: Response<Body>,
    ) -> Result<T, HttpPlatformError> {
        let body = response.body_mut().with_config().limit(MAX_REPLY_BYTES);
        body.read_json().context(ExchangeSnafu {
            step,
            peer: &self.base,
        })
    }
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
    match protocol::method(request) {
        Method::Put | Method::Delete if !error.before_send() => Reply::Unknown,
        Method::Get | Method::Put | Method::Delete => Reply::Unavailable {
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

fn with_guard<B>(call: ureq::RequestBuilder<B>, request: &Request) -> ureq::RequestBuilder<B> {
    match request {
        Request::Put { guard, .. } | Request::Delete { guard, .. } => match guard {
            Guard::Absent => call.header("if-none-match", "*"),
            Guard::Matches(version) => call.header("if-match", protocol::tag(*version)),
            Guard::Always => call,
        },
        _ => call,
    }
}

fn value_of(request: &Request) -> &[u8] {
    match request {
        Request::Put { value, .. } => value,
        _ => &[],
    }
}

fn version_of(response: &Response<Body>) -> Option<poplarswitch_store::Version> {
    let tag = response.headers().get("etag")?;
    protocol::version(tag.to_str().ok()?)
}

fn retry_after(response: &Response<Body>) -> Duration {
    response
        .headers()
        .get(RETRY_AFTER_MS)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(RETRY_AFTER, Duration::from_millis)
}
