//! The error that a caller gets when its call has no answer.

use core::{fmt, time::Duration};
use poplarswitch_scheduler::{ConclusionKind, RefusalReason};
use serde::{Deserialize, Serialize};

/// Whether a call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The call did not run and will not.
    NotRun,
    /// The call ran.
    Ran,
    /// The call may or may not have run.
    InDoubt,
}

/// Processing step at which a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Reading the head and body of the call.
    Receive,
    /// Looking up the bearer key.
    Authenticate,
    /// Looking up the class, model or service.
    Resolve,
    /// Deciding whether to admit the call.
    Admit,
    /// Waiting for a slot.
    Queue,
    /// Claiming the idempotency key.
    Claim,
    /// Running at an endpoint.
    Run,
    /// Passing the answer on to the caller.
    Answer,
}

/// Reason why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// No workspace has the bearer key.
    Unauthorized,
    /// The path does not exist.
    UnknownPath,
    /// The path does not support the method.
    WrongMethod,
    /// The set in force has no such class.
    UnknownClass,
    /// The set in force has no such model.
    UnknownModel,
    /// The set in force has no such service.
    UnknownService,
    /// The class may not use the model or service.
    ClassMismatch,
    /// The body is incomplete or not a valid call.
    Malformed,
    /// The body is larger than the class or the VM allows.
    BodyTooLarge,
    /// The body was not received in time.
    BodyTimeout,
    /// The class needs an idempotency key.
    KeyRequired,
    /// The call ran, but its answer is no longer stored.
    AnswerGone,
    /// The call did not run here; whether an earlier call with its key ran is not known, for example
    /// because the VM that holds the key can't be reached.
    HomeUnreached,
    /// The same key was used for another call.
    KeyConflict,
    /// The workspace exceeds its rate.
    RateLimit,
    /// Too many calls are queued.
    QueueFull,
    /// The call could not be served within its latency bound.
    Overload,
    /// The call reached the maximum wait of its class.
    WaitExpired,
    /// No endpoint is usable.
    NoEndpoint,
    /// The VM is shutting down.
    Leaving,
    /// The VM is at its limit of open calls, or the home of the key at its limit of keys.
    Busy,
    /// The VM has no set of objects yet.
    NoSet,
    /// The VM can't confirm that its set is the newest.
    StaleSet,
    /// Calls with a section of the prompt have crashed engines.
    PromptHeld,
    /// The request has crashed endpoints.
    RequestHeld,
    /// The endpoint ran the call and failed.
    Failed,
    /// The call may have run.
    InDoubt,
}

impl ErrorCode {
    /// The code as written in JSON.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::UnknownPath => "unknown_path",
            Self::WrongMethod => "wrong_method",
            Self::UnknownClass => "unknown_class",
            Self::UnknownModel => "unknown_model",
            Self::UnknownService => "unknown_service",
            Self::ClassMismatch => "class_mismatch",
            Self::Malformed => "malformed",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTimeout => "body_timeout",
            Self::KeyRequired => "key_required",
            Self::AnswerGone => "answer_gone",
            Self::HomeUnreached => "home_unreached",
            Self::KeyConflict => "key_conflict",
            Self::RateLimit => "rate_limit",
            Self::QueueFull => "queue_full",
            Self::Overload => "overload",
            Self::WaitExpired => "wait_expired",
            Self::NoEndpoint => "no_endpoint",
            Self::Leaving => "leaving",
            Self::Busy => "busy",
            Self::NoSet => "no_set",
            Self::StaleSet => "stale_set",
            Self::PromptHeld => "prompt_held",
            Self::RequestHeld => "request_held",
            Self::Failed => "failed",
            Self::InDoubt => "in_doubt",
        }
    }

    /// The HTTP status for the code.
    pub const fn status(self) -> u16 {
        match self {
            Self::Unauthorized => 401,
            Self::UnknownPath | Self::UnknownModel | Self::UnknownService => 404,
            Self::WrongMethod => 405,
            Self::BodyTimeout => 408,
            Self::KeyConflict => 409,
            Self::AnswerGone => 410,
            Self::BodyTooLarge => 413,
            Self::UnknownClass | Self::ClassMismatch | Self::Malformed | Self::KeyRequired => 400,
            Self::RateLimit | Self::QueueFull => 429,
            Self::Overload
            | Self::WaitExpired
            | Self::NoEndpoint
            | Self::Leaving
            | Self::Busy
            | Self::NoSet
            | Self::StaleSet
            | Self::PromptHeld
            | Self::RequestHeld
            | Self::HomeUnreached => 503,
            Self::Failed => 502,
            Self::InDoubt => 504,
        }
    }

    /// Whether a call with this error ran.
    pub const fn ran(self) -> Ran {
        match self {
            Self::Failed | Self::AnswerGone => Ran::Ran,
            Self::InDoubt | Self::HomeUnreached => Ran::InDoubt,
            _ => Ran::NotRun,
        }
    }

    /// The step at which the error occurs.
    pub const fn step(self) -> Step {
        match self {
            Self::Unauthorized => Step::Authenticate,
            Self::UnknownPath
            | Self::WrongMethod
            | Self::Malformed
            | Self::BodyTooLarge
            | Self::BodyTimeout => Step::Receive,
            Self::UnknownClass
            | Self::UnknownModel
            | Self::UnknownService
            | Self::ClassMismatch => Step::Resolve,
            Self::KeyRequired | Self::KeyConflict | Self::AnswerGone | Self::HomeUnreached => {
                Step::Claim
            }
            Self::RateLimit
            | Self::QueueFull
            | Self::Overload
            | Self::Leaving
            | Self::Busy
            | Self::NoSet
            | Self::StaleSet
            | Self::PromptHeld
            | Self::RequestHeld => Step::Admit,
            Self::WaitExpired | Self::NoEndpoint => Step::Queue,
            Self::Failed | Self::InDoubt => Step::Run,
        }
    }

    /// The default message for the code.
    pub const fn message(self) -> &'static str {
        match self {
            Self::Unauthorized => "the bearer key is not valid",
            Self::UnknownPath => "no such path",
            Self::WrongMethod => "the path has other methods",
            Self::UnknownClass => "no such class",
            Self::UnknownModel => "no such model",
            Self::UnknownService => "no such service",
            Self::ClassMismatch => "the class may not use this model or service",
            Self::Malformed => "the body is not a valid call",
            Self::BodyTooLarge => "the body is larger than the class allows",
            Self::BodyTimeout => "the body did not come in time",
            Self::KeyRequired => "calls of this class need an Idempotency-Key header",
            Self::AnswerGone => "the call ran and its answer is no longer kept",
            Self::HomeUnreached => {
                "the call did not run here; whether an earlier one with its key did is not known"
            }
            Self::KeyConflict => "the Idempotency-Key was used for another call",
            Self::RateLimit => "the workspace is over its rate",
            Self::QueueFull => "too many calls wait",
            Self::Overload => "the call could not be served in time",
            Self::WaitExpired => "no slot became free in time",
            Self::NoEndpoint => "no endpoint is usable",
            Self::Leaving => "this VM is leaving; use another address",
            Self::Busy => "this VM holds as many calls as it may",
            Self::NoSet => "this VM has no configuration yet",
            Self::StaleSet => "this VM can't prove that its configuration is the newest",
            Self::PromptHeld => "engines crashed on calls with a section of this prompt",
            Self::RequestHeld => "endpoints crashed on this request",
            Self::Failed => "the endpoint ran the call and failed",
            Self::InDoubt => "the call may or may not have run",
        }
    }
}

impl From<RefusalReason> for ErrorCode {
    fn from(reason: RefusalReason) -> Self {
        match reason {
            RefusalReason::RateLimit => Self::RateLimit,
            RefusalReason::QueueFull => Self::QueueFull,
            RefusalReason::Overload => Self::Overload,
            RefusalReason::WaitExpired => Self::WaitExpired,
            RefusalReason::Unknown => Self::UnknownModel,
            RefusalReason::NoEndpoint => Self::NoEndpoint,
        }
    }
}

impl From<ConclusionKind> for ErrorCode {
    fn from(kind: ConclusionKind) -> Self {
        match kind {
            ConclusionKind::Failed => Self::Failed,
            ConclusionKind::InDoubt => Self::InDoubt,
        }
    }
}

impl fmt::Display for ErrorCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.message())
    }
}

/// Description of an error for a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorInfo {
    /// Reason of the error.
    pub code: ErrorCode,
    /// The reason as text.
    pub message: String,
    /// The step at which the error occurred.
    pub step: Step,
    /// The VM or endpoint at which the error occurred.
    pub peer: String,
    /// Whether the call ran.
    pub ran: Ran,
    /// Time after which the caller should try again, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Other addresses to use, if the VM is shutting down.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub others: Vec<core::net::SocketAddr>,
}

impl ErrorInfo {
    /// Creates the error that a code stands for, as it occurred at a VM or endpoint.
    pub fn new(code: ErrorCode, peer: impl Into<String>) -> Self {
        Self {
            code,
            message: code.message().to_owned(),
            step: code.step(),
            peer: peer.into(),
            ran: code.ran(),
            retry_after_ms: None,
            others: Vec::new(),
        }
    }

    /// Sets the time after which the caller should try again.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after_ms = Some(after.as_millis() as u64);
        self
    }

    /// Replaces the default message.
    #[must_use]
    pub fn with_message(mut self, message: impl Into<String>) -> Self {
        self.message = message.into();
        self
    }
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorInfo,
}

impl ErrorBody {
    /// The body as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
