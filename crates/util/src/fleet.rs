//! The operators' ports of many VMs.

use crate::error::{ExchangeSnafu, SecretSnafu, ToolError};
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
use ureq::{Agent, Body, http::Response};

/// VMs that are asked at once.
const PARALLEL: usize = 16;
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest waits for a whole answer, for one attempt after another; all that is asked may be
/// asked twice.
const ANSWER_TIMEOUTS: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(5),
    Duration::from_secs(15),
];
/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 20;
/// Most characters of an error's text that are shown.
const SHOWN_CHARS: usize = 200;

/// Where the VMs are and how to be let in.
#[derive(Debug, clap::Args)]
pub(crate) struct FleetArgs {
    /// Operators' addresses of the VMs, separated by commas
    #[arg(
        long,
        env = "POPLARSWITCH_OPERATORS",
        value_delimiter = ',',
        required = true
    )]
    pub(crate) at: Vec<SocketAddr>,
    /// File with the operators' secret; else `POPLARSWITCH_OPERATORS_SECRET` is read
    #[arg(long, env = "POPLARSWITCH_OPERATORS_SECRET_FILE")]
    secret_file: Option<PathBuf>,
}

/// What one VM answered.
#[derive(Debug)]
pub(crate) struct Answer<T> {
    /// Its address.
    pub(crate) at: SocketAddr,
    /// Its answer, or why there is none.
    pub(crate) result: Result<T, ToolError>,
}

/// Speaks to the operators' ports of VMs.
#[derive(Debug)]
pub(crate) struct Fleet {
    agent: Agent,
    addresses: Vec<SocketAddr>,
    secret: Secret,
}

impl Fleet {
    /// Reads the secret; nothing is asked yet.
    pub(crate) fn new(args: &FleetArgs) -> Result<Self, ToolError> {
        let secret = Secrets::operators(args.secret_file.as_deref()).context(SecretSnafu)?;
        Ok(Self::with_secret(args.at.clone(), secret))
    }

    /// Takes the secret as it is.
    pub(crate) fn with_secret(mut addresses: Vec<SocketAddr>, secret: Secret) -> Self {
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

    /// Asks every VM for its status.
    pub(crate) fn statuses(&self) -> Vec<Answer<Status>> {
        self.ask_all("read status", "/status")
    }

    /// Asks every VM for a document, in the order of their addresses.
    pub(crate) fn ask_all<T: DeserializeOwned + Send>(
        &self,
        step: &'static str,
        path: &str,
    ) -> Vec<Answer<T>> {
        let bar = progress(self.addresses.len(), step);
        let next = AtomicUsize::new(0);
        let answers = Mutex::new(Vec::new());
        let worker = || {
            while let Some(at) = self.addresses.get(next.fetch_add(1, Ordering::Relaxed)) {
                let result = self.get(*at, step, path);
                let answer = Answer { at: *at, result };
                answers
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(answer);
                bar.inc(1);
            }
        };
        thread::scope(|scope| {
            for _ in 0..PARALLEL.min(self.addresses.len()) {
                scope.spawn(worker);
            }
        });
        bar.finish_and_clear();
        let mut answers = answers.into_inner().unwrap_or_else(PoisonError::into_inner);
        answers.sort_by_key(|answer| answer.at);
        answers
    }

    /// Reads a document of one VM.
    pub(crate) fn get<T: DeserializeOwned>(
        &self,
        at: SocketAddr,
        step: &'static str,
        path: &str,
    ) -> Result<T, ToolError> {
        let url = format!("http://{at}{path}");
        attempts(|timeout| {
            let request = self.agent.get(&url).header("authorization", self.bearer());
            let request = request.config().timeout_global(Some(timeout)).build();
            let mut response = request.call()?;
            if !response.status().is_success() {
                return Ok(Err(refusal(response, step, at)));
            }
            let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES);
            body.read_json().map(Ok)
        })
        .context(ExchangeSnafu { step, peer: at })?
    }

    /// Gives one VM an order; all orders are idempotent.
    pub(crate) fn post(
        &self,
        at: SocketAddr,
        step: &'static str,
        path: &str,
    ) -> Result<(), ToolError> {
        let url = format!("http://{at}{path}");
        attempts(|timeout| {
            let request = self.agent.post(&url).header("authorization", self.bearer());
            let request = request.config().timeout_global(Some(timeout)).build();
            let response = request.send_empty()?;
            if !response.status().is_success() {
                return Ok(Err(refusal(response, step, at)));
            }
            Ok(Ok(()))
        })
        .context(ExchangeSnafu { step, peer: at })?
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.secret.reveal())
    }
}

/// Asks again after a timeout, with more patience each time.
fn attempts<T>(mut ask: impl FnMut(Duration) -> Result<T, ureq::Error>) -> Result<T, ureq::Error> {
    let mut result = Err(ureq::Error::ConnectionFailed);
    for timeout in ANSWER_TIMEOUTS {
        result = ask(timeout);
        let is_late = matches!(&result, Err(ureq::Error::Timeout(late)) if !is_connect(*late));
        if !is_late {
            break;
        }
    }
    result
}

const fn is_connect(timeout: ureq::Timeout) -> bool {
    matches!(timeout, ureq::Timeout::Connect)
}

fn refusal(mut response: Response<Body>, step: &'static str, peer: SocketAddr) -> ToolError {
    let text = response.body_mut().read_to_string().unwrap_or_default();
    ToolError::Status {
        step,
        peer,
        status: response.status().as_u16(),
        text: text.chars().take(SHOWN_CHARS).collect(),
    }
}

/// A bar on the terminal; nothing where the output is no terminal.
pub(crate) fn progress(length: usize, step: &'static str) -> ProgressBar {
    let bar = ProgressBar::new(length as u64).with_message(step);
    if let Ok(style) = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len}") {
        bar.set_style(style);
    }
    bar
}
