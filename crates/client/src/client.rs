//! Calls, their outcomes, and the client that sends them.

use crate::{
    Directory,
    stream::{StreamEvent, parse_line},
};
use core::{net::SocketAddr, time::Duration};
use poplarswitch_wire::{ErrorBody, ErrorCode, ErrorInfo, Ran, headers};
use serde_json::json;
use std::{
    io::{self, BufRead, BufReader, Read},
    time::Instant,
};
use ureq::{Agent, Body, http::Response};

/// Number of addresses that are tried while none can be reached, and number of VMs that are tried
/// while each asks for another one.
const MAX_ATTEMPTS: u32 = 4;
/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of the answer to a service call, in bytes; a longer one is lost.
pub(crate) const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// A chat call.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// Class of the call; `None` for the default class of the model.
    pub class: Option<String>,
    /// Name of the model.
    pub model: String,
    /// Text of a message that other calls may have too, before the prompt.
    pub shared: Option<String>,
    /// Text of the last message.
    pub prompt: String,
    /// Limit on the tokens of the answer.
    pub max_tokens: u32,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Class of the call; `None` for the default class of the service.
    pub class: Option<String>,
    /// Name of the service and the path below it, without a leading slash.
    pub path: String,
    /// Body of the request, as JSON.
    pub body: String,
    /// Idempotency key, for calls that must not run twice.
    pub key: Option<String>,
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was received.
    Answered,
    /// The call was not run.
    NotRun(ErrorCode),
    /// The call ran and failed.
    Failed(ErrorCode),
    /// The call may have run.
    InDoubt(ErrorCode),
    /// No VM could be reached; the call was not run.
    Unreached,
    /// The connection was lost before the end of the answer; the call may have run.
    Lost,
}

/// Outcome, timing and answer of a call, as its caller sees them.
#[derive(Clone, Debug)]
pub struct CallReport {
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Time from the start of the call to the first text of the answer; to the end of the answer
    /// of a service call.
    pub first_output: Option<Duration>,
    /// Time from the start of the call to its end.
    pub total: Duration,
    /// Longest time between two texts of the answer; of one that was broken off, also the time from the
    /// last text to its end. None before the first text, and for service calls.
    pub longest_pause: Option<Duration>,
    /// Number of events with text in the stream; 1 for the answer to a service call.
    pub text_events: u32,
    /// Text of the answer, as far as it was received.
    pub text: String,
    /// Time after which the VM asks the caller to retry.
    pub retry_after: Option<Duration>,
}

impl CallReport {
    /// Report of a call for which no VM could be reached, with a duration of 0.
    pub const fn unreached() -> Self {
        Self {
            outcome: Outcome::Unreached,
            first_output: None,
            total: Duration::ZERO,
            longest_pause: None,
            text_events: 0,
            text: String::new(),
            retry_after: None,
        }
    }

    /// Whether an answer began and was not received to its end.
    pub fn is_broken_off(&self) -> bool {
        self.outcome != Outcome::Answered && self.text_events > 0
    }

    /// Adds the time from the last text, if any, to `at`.
    fn add_pause(&mut self, last: &mut Option<Duration>, at: Duration) {
        let pause = at.saturating_sub(last.replace(at).unwrap_or(at));
        self.longest_pause = Some(
            self.longest_pause
                .map_or(pause, |longest| longest.max(pause)),
        );
    }

    fn new(outcome: Outcome, started: Instant) -> Self {
        Self {
            outcome,
            total: started.elapsed(),
            ..Self::unreached()
        }
    }
}

/// Function that reads the answer to a call; also given the time at which the call started.
type AnswerReader = fn(Response<Body>, Instant) -> CallReport;

/// The parts of a request that don't depend on the VM to which it is sent.
#[derive(Debug)]
struct OutgoingCall<'a> {
    path: &'a str,
    class: Option<&'a str>,
    key: Option<&'a str>,
    body: &'a str,
}

/// A caller with a bearer key.
#[derive(Debug)]
pub struct Client {
    directory: Directory,
    agent: Agent,
    authorization: String,
}

impl Client {
    /// Creates a caller that takes its addresses from a directory.
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

    /// Creates an idempotency key for a new operation. Each suffix must be used only once. Returns
    /// `None` if no VM gives a key token.
    pub fn new_key(&self, suffix: &str) -> Option<String> {
        let token = self.directory.key_token(&self.agent).ok()?;
        Some(format!("{token}.{suffix}"))
    }

    /// Sends a chat call and reads the streamed answer to its end.
    pub fn chat(&self, call: &ChatCall) -> CallReport {
        let message = |role, content: &str| json!({"role": role, "content": content});
        let shared = call.shared.iter().map(|text| message("system", text));
        let messages: Vec<_> = shared.chain([message("user", &call.prompt)]).collect();
        let body = json!({
            "model": call.model,
            "stream": true,
            "max_tokens": call.max_tokens,
            "messages": messages,
        })
        .to_string();
        let outgoing = OutgoingCall {
            path: "v1/chat/completions",
            class: call.class.as_deref(),
            key: None,
            body: &body,
        };
        self.send_with_retry(&outgoing, read_stream)
    }

    /// Sends a call to a plain service and reads the answer to its end.
    pub fn invoke(&self, call: &ServiceCall) -> CallReport {
        let outgoing = OutgoingCall {
            path: &format!("services/{}", call.path),
            class: call.class.as_deref(),
            key: call.key.as_deref(),
            body: &call.body,
        };
        self.send_with_retry(&outgoing, read_body)
    }

    /// Sends a call to one VM after another, while each states that another one should be used.
    fn send_with_retry(&self, outgoing: &OutgoingCall<'_>, read: AnswerReader) -> CallReport {
        let started = Instant::now();
        let mut report = CallReport::new(Outcome::Unreached, started);
        for _ in 0..MAX_ATTEMPTS {
            match self.send_to_any(outgoing) {
                Ok(response) if response.status().is_success() => return read(response, started),
                Ok(response) => report = read_error(response, started),
                Err(outcome) => return CallReport::new(outcome, started),
            }
            if !may_retry_elsewhere(report.outcome) {
                return report;
            }
            self.directory.invalidate();
        }
        report
    }

    /// Sends a call to one address after another until a VM can be reached.
    fn send_to_any(&self, outgoing: &OutgoingCall<'_>) -> Result<Response<Body>, Outcome> {
        for _ in 0..MAX_ATTEMPTS {
            let Ok(address) = self.directory.pick(&self.agent) else {
                return Err(Outcome::Unreached);
            };
            match self.send_to(address, outgoing) {
                Ok(response) => return Ok(response),
                Err(error) if is_unsent(&error) => self.directory.invalidate(),
                Err(_) => return Err(Outcome::Lost),
            }
        }
        Err(Outcome::Unreached)
    }

    fn send_to(
        &self,
        address: SocketAddr,
        outgoing: &OutgoingCall<'_>,
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

/// Whether the VM did not run the call, and another VM may run it.
const fn may_retry_elsewhere(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::NotRun(ErrorCode::Leaving | ErrorCode::NoSet | ErrorCode::Busy)
    )
}

fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

pub(crate) fn read_stream(response: Response<Body>, started: Instant) -> CallReport {
    let mut report = CallReport::new(Outcome::Lost, started);
    let mut last = None;
    let lines = BufReader::new(response.into_body().into_reader()).lines();
    for line in lines.map_while(Result::ok) {
        match parse_line(&line) {
            Some(StreamEvent::Text(text)) => {
                let at = started.elapsed();
                report.first_output.get_or_insert(at);
                report.add_pause(&mut last, at);
                report.text_events += 1;
                report.text.push_str(&text);
            }
            Some(StreamEvent::Done) => report.outcome = Outcome::Answered,
            Some(StreamEvent::Error(error)) => report.outcome = error_outcome(&error),
            Some(StreamEvent::Empty) | None => {}
        }
    }
    report.total = started.elapsed();
    if report.outcome != Outcome::Answered && last.is_some() {
        let end = report.total;
        report.add_pause(&mut last, end);
    }
    report
}

pub(crate) fn read_body(response: Response<Body>, started: Instant) -> CallReport {
    let mut text = String::new();
    let reader = response.into_body().into_reader();
    let read = reader.take(MAX_ANSWER_BYTES + 1).read_to_string(&mut text);
    let outcome = match read {
        Ok(length) if length as u64 <= MAX_ANSWER_BYTES => Outcome::Answered,
        Ok(_) | Err(_) => Outcome::Lost,
    };
    let mut report = CallReport::new(outcome, started);
    report.first_output = Some(report.total);
    report.text_events = 1;
    report.text = text;
    report
}

fn read_error(mut response: Response<Body>, started: Instant) -> CallReport {
    let Ok(body) = response.body_mut().read_json::<ErrorBody>() else {
        return CallReport::new(Outcome::Lost, started);
    };
    let mut report = CallReport::new(error_outcome(&body.error), started);
    report.retry_after = body.error.retry_after_ms.map(Duration::from_millis);
    report
}

const fn error_outcome(error: &ErrorInfo) -> Outcome {
    match error.ran {
        Ran::NotRun => Outcome::NotRun(error.code),
        Ran::Ran => Outcome::Failed(error.code),
        Ran::InDoubt => Outcome::InDoubt(error.code),
    }
}
