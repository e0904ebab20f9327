//! HTTP client for the operators' ports of VMs.

use crate::error::{SecretSnafu, ToolError, TransportSnafu};
use core::{net::SocketAddr, time::Duration};
use indicatif::{ProgressBar, ProgressStyle};
use poplarswitch_settings::{Secret, Secrets};
use poplarswitch_wire::Status;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use std::{
    path::PathBuf,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};
use ureq::{Agent, Body, RequestBuilder, http::Response};

/// Maximum number of concurrent requests.
const MAX_PARALLEL_REQUESTS: usize = 16;
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for a complete response at each attempt of a request; requests are idempotent, so
/// they can be repeated.
const RESPONSE_TIMEOUTS: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(5),
    Duration::from_secs(15),
];
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;
/// Maximum length of the text shown from an error response, in characters.
const MAX_ERROR_CHARS: usize = 200;

/// Addresses of the VMs and the secret for their operators' ports.
#[derive(Debug, clap::Args)]
pub(crate) struct FleetArgs {
    /// Addresses of the VMs' operators' ports, separated by commas
    #[arg(
        long,
        env = "POPLARSWITCH_OPERATORS",
        value_delimiter = ',',
        required = true
    )]
    pub(crate) at: Vec<SocketAddr>,
    /// File with the operators' secret; if omitted, `POPLARSWITCH_OPERATORS_SECRET` is read
    #[arg(long, env = "POPLARSWITCH_OPERATORS_SECRET_FILE")]
    secret_file: Option<PathBuf>,
}

/// The response of one VM.
#[derive(Debug)]
pub(crate) struct VmResponse<T> {
    /// Address of the VM's operators' port.
    pub(crate) address: SocketAddr,
    /// Received document, or the error of the request.
    pub(crate) result: Result<T, ToolError>,
}

/// Client for the operators' ports of VMs.
#[derive(Debug)]
pub(crate) struct FleetClient {
    agent: Agent,
    addresses: Vec<SocketAddr>,
    secret: Option<Secret>,
}

impl FleetClient {
    /// Creates a client and reads the operators' secret; no request is sent.
    pub(crate) fn new(args: &FleetArgs) -> Result<Self, ToolError> {
        let secret = Secrets::operators(args.secret_file.as_deref()).context(SecretSnafu)?;
        Ok(Self::with_secret(args.at.clone(), secret))
    }

    /// Creates a client with a given secret; no request is sent.
    pub(crate) fn with_secret(addresses: Vec<SocketAddr>, secret: Secret) -> Self {
        Self::with_addresses(addresses, Some(secret))
    }

    /// Creates a client for a port that asks for no secret; no request is sent.
    pub(crate) fn without_secret(address: SocketAddr) -> Self {
        Self::with_addresses(vec![address], None)
    }

    fn with_addresses(mut addresses: Vec<SocketAddr>, secret: Option<Secret>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .build();
        addresses.sort_unstable();
        addresses.dedup();
        Self {
            agent: config.into(),
            addresses,
            secret,
        }
    }

    /// Requests the status of every VM.
    pub(crate) fn statuses(&self) -> Vec<VmResponse<Status>> {
        self.get_all("read status", "/status")
    }

    /// Requests a JSON document from every VM; the responses are ordered by address.
    pub(crate) fn get_all<T: DeserializeOwned + Send>(
        &self,
        step: &'static str,
        path: &str,
    ) -> Vec<VmResponse<T>> {
        let bar = progress(self.addresses.len(), step);
        let next = AtomicUsize::new(0);
        let responses = Mutex::new(Vec::new());
        let worker = || {
            while let Some(address) = self.addresses.get(next.fetch_add(1, Ordering::Relaxed)) {
                let result = self.get(*address, step, path);
                let response = VmResponse {
                    address: *address,
                    result,
                };
                responses
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(response);
                bar.inc(1);
            }
        };
        thread::scope(|scope| {
            for _ in 0..MAX_PARALLEL_REQUESTS.min(self.addresses.len()) {
                scope.spawn(worker);
            }
        });
        bar.finish_and_clear();
        let mut responses = responses
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner);
        responses.sort_by_key(|response| response.address);
        responses
    }

    /// Requests a JSON document from one VM.
    pub(crate) fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        step: &'static str,
        path: &str,
    ) -> Result<T, ToolError> {
        let url = format!("http://{address}{path}");
        send_with_retries(|timeout| {
            let request = self.authorize(self.agent.get(&url));
            let request = request.config().timeout_global(Some(timeout)).build();
            let mut response = request.call()?;
            if !response.status().is_success() {
                return Ok(Err(error_status(response, step, address)));
            }
            let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
            body.read_json().map(Ok)
        })
        .context(TransportSnafu {
            step,
            peer: address,
        })?
    }

    /// Sends a command to one VM; all commands are idempotent.
    pub(crate) fn post(
        &self,
        address: SocketAddr,
        step: &'static str,
        path: &str,
    ) -> Result<(), ToolError> {
        let url = format!("http://{address}{path}");
        send_with_retries(|timeout| {
            let request = self.authorize(self.agent.post(&url));
            let request = request.config().timeout_global(Some(timeout)).build();
            let response = request.send_empty()?;
            if !response.status().is_success() {
                return Ok(Err(error_status(response, step, address)));
            }
            Ok(Ok(()))
        })
        .context(TransportSnafu {
            step,
            peer: address,
        })?
    }

    fn authorize<B>(&self, request: RequestBuilder<B>) -> RequestBuilder<B> {
        match &self.secret {
            Some(secret) => request.header("authorization", format!("Bearer {}", secret.reveal())),
            None => request,
        }
    }
}

/// Sends a request, and repeats it with a longer timeout while no complete response arrives in
/// time. A connection timeout ends the attempts.
fn send_with_retries<T>(
    mut send: impl FnMut(Duration) -> Result<T, ureq::Error>,
) -> Result<T, ureq::Error> {
    let mut result = Err(ureq::Error::ConnectionFailed);
    for timeout in RESPONSE_TIMEOUTS {
        result = send(timeout);
        let timed_out = matches!(&result, Err(ureq::Error::Timeout(kind)) if !is_connect(*kind));
        if !timed_out {
            break;
        }
    }
    result
}

const fn is_connect(timeout: ureq::Timeout) -> bool {
    matches!(timeout, ureq::Timeout::Connect)
}

fn error_status(mut response: Response<Body>, step: &'static str, peer: SocketAddr) -> ToolError {
    let text = response.body_mut().read_to_string().unwrap_or_default();
    ToolError::Status {
        step,
        peer,
        status: response.status().as_u16(),
        text: text.chars().take(MAX_ERROR_CHARS).collect(),
    }
}

/// Creates a progress bar, which is shown only if the standard error is a terminal.
pub(crate) fn progress(length: usize, step: &'static str) -> ProgressBar {
    let bar = ProgressBar::new(length as u64).with_message(step);
    if let Ok(style) = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len}") {
        bar.set_style(style);
    }
    bar
}
