//! Calls and their outcomes.

use crate::{
    Directory,
    stream::{Event, read_line},
};
use core::{net::SocketAddr, time::Duration};
use poplarswitch_wire::{ErrorBody, ErrorCode, ErrorInfo, Ran, headers};
use serde_json::json;
use std::{
    io::{self, BufRead, BufReader, Read},
    time::Instant,
};
use ureq::{Agent, Body, http::Response};

/// Addresses that one call tries when they can't be reached.
const ADDRESSES: u32 = 4;
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer to a service call, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// A chat call.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// The class, or the model's default.
    pub class: Option<String>,
    /// The model.
    pub model: String,
    /// The text of its one message.
    pub prompt: String,
    /// Most tokens of the answer.
    pub max_tokens: u32,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The class, or the service's default.
    pub class: Option<String>,
    /// The service and the path below it.
    pub path: String,
    /// The body.
    pub body: String,
    /// Names the operation, for calls that must not run twice.
    pub key: Option<String>,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer came.
    Answered,
    /// It was not run.
    NotRun(ErrorCode),
    /// It ran and failed.
    Failed(ErrorCode),
    /// It may have run.
    InDoubt(ErrorCode),
    /// No VM could be reached; it was not run.
    Unreached,
    /// The connection was lost before the end of the answer; it may have run.
    Lost,
}

/// A call as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallReport {
    /// What became of it.
    pub outcome: Outcome,
    /// Time to the first piece of the answer.
    pub first_output: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// Pieces of the answer.
    pub text_events: u32,
    /// The text of the answer.
    pub text: String,
    /// Retry time that the answer told.
    pub retry_after: Option<Duration>,
}

impl CallReport {
    /// A call for which no VM could be reached.
    pub const fn unreached() -> Self {
        Self {
            outcome: Outcome::Unreached,
            first_output: None,
            total: Duration::ZERO,
            text_events: 0,
            text: String::new(),
            retry_after: None,
        }
    }

    fn new(outcome: Outcome, began: Instant) -> Self {
        Self {
            outcome,
            total: began.elapsed(),
            ..Self::unreached()
        }
    }
}

/// Reads the answer to a call that began at a time.
type Reader = fn(Response<Body>, Instant) -> CallReport;

/// A request before its address is known.
#[derive(Debug)]
struct Outgoing<'a> {
    path: &'a str,
    class: Option<&'a str>,
    key: Option<&'a str>,
    body: &'a str,
}

/// One caller with one bearer key.
#[derive(Debug)]
pub struct Client {
    directory: Directory,
    agent: Agent,
    authorization: String,
}

impl Client {
    /// A caller that starts from a directory.
    pub fn new(directory: Directory, bearer_key: &str) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .build();
        Self {
            directory,
            agent: config.into(),
            authorization: format!("Bearer {bearer_key}"),
        }
    }

    /// An idempotency key for a new operation; the suffix must be used once only.
    pub fn new_key(&self, suffix: &str) -> Option<String> {
        let token = self.directory.key_token(&self.agent).ok()?;
        Some(format!("{token}.{suffix}"))
    }

    /// Sends a chat call and reads its streamed answer.
    pub fn chat(&self, call: &ChatCall) -> CallReport {
        let body = json!({
            "model": call.model,
            "stream": true,
            "max_tokens": call.max_tokens,
            "messages": [{"role": "user", "content": call.prompt}],
        })
        .to_string();
        let outgoing = Outgoing {
            path: "v1/chat/completions",
            class: call.class.as_deref(),
            key: None,
            body: &body,
        };
        self.exchange(&outgoing, read_stream)
    }

    /// Sends a call to a plain service and reads its answer.
    pub fn invoke(&self, call: &ServiceCall) -> CallReport {
        let outgoing = Outgoing {
            path: &format!("services/{}", call.path),
            class: call.class.as_deref(),
            key: call.key.as_deref(),
            body: &call.body,
        };
        self.exchange(&outgoing, read_whole)
    }

    /// Sends to one VM after another while they say that another one should be used.
    fn exchange(&self, outgoing: &Outgoing<'_>, read: Reader) -> CallReport {
        let began = Instant::now();
        let mut report = CallReport::new(Outcome::Unreached, began);
        for _ in 0..ADDRESSES {
            match self.send(outgoing) {
                Ok(response) if response.status().is_success() => return read(response, began),
                Ok(response) => report = refused(response, began),
                Err(outcome) => return CallReport::new(outcome, began),
            }
            if !wants_another(report.outcome) {
                return report;
            }
            self.directory.forget();
        }
        report
    }

    /// Sends to one address after another while none can be reached.
    fn send(&self, outgoing: &Outgoing<'_>) -> Result<Response<Body>, Outcome> {
        for _ in 0..ADDRESSES {
            let Ok(address) = self.directory.pick(&self.agent) else {
                return Err(Outcome::Unreached);
            };
            match self.send_to(address, outgoing) {
                Ok(response) => return Ok(response),
                Err(error) if is_before_send(&error) => self.directory.forget(),
                Err(_) => return Err(Outcome::Lost),
            }
        }
        Err(Outcome::Unreached)
    }

    fn send_to(
        &self,
        address: SocketAddr,
        outgoing: &Outgoing<'_>,
    ) -> Result<Response<Body>, ureq::Error> {
        let mut request = self
            .agent
            .post(format!("http://{address}/{}", outgoing.path))
            .header("authorization", &self.authorization)
            .header("content-type", "application/json");
        if let Some(class) = outgoing.class {
            request = request.header(headers::CLASS, class);
        }
        if let Some(key) = outgoing.key {
            request = request.header(headers::IDEMPOTENCY_KEY, key);
        }
        request.send(outgoing.body)
    }
}

/// Whether the VM did not run the call and another one may.
const fn wants_another(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::NotRun(ErrorCode::Leaving | ErrorCode::NoSet | ErrorCode::Busy)
    )
}

fn is_before_send(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

fn read_stream(response: Response<Body>, began: Instant) -> CallReport {
    let mut report = CallReport::new(Outcome::Lost, began);
    let lines = BufReader::new(response.into_body().into_reader()).lines();
    for line in lines.map_while(Result::ok) {
        match read_line(&line) {
            Some(Event::Text(text)) => {
                report.first_output.get_or_insert_with(|| began.elapsed());
                report.text_events += 1;
                report.text.push_str(&text);
            }
            Some(Event::Done) => report.outcome = Outcome::Answered,
            Some(Event::Error(error)) => report.outcome = outcome_of(&error),
            Some(Event::Empty) | None => {}
        }
    }
    report.total = began.elapsed();
    report
}

fn read_whole(response: Response<Body>, began: Instant) -> CallReport {
    let mut text = String::new();
    let reader = response.into_body().into_reader();
    let read = reader.take(MAX_ANSWER_BYTES).read_to_string(&mut text);
    let outcome = match read {
        Ok(_) => Outcome::Answered,
        Err(_) => Outcome::Lost,
    };
    let mut report = CallReport::new(outcome, began);
    report.first_output = Some(report.total);
    report.text_events = 1;
    report.text = text;
    report
}

fn refused(mut response: Response<Body>, began: Instant) -> CallReport {
    let Ok(body) = response.body_mut().read_json::<ErrorBody>() else {
        return CallReport::new(Outcome::Lost, began);
    };
    let mut report = CallReport::new(outcome_of(&body.error), began);
    report.retry_after = body.error.retry_after_ms.map(Duration::from_millis);
    report
}

const fn outcome_of(error: &ErrorInfo) -> Outcome {
    match error.ran {
        Ran::NotRun => Outcome::NotRun(error.code),
        Ran::Ran => Outcome::Failed(error.code),
        Ran::InDoubt => Outcome::InDoubt(error.code),
    }
}
