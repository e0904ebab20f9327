//! What a caller is told when its call has no answer.

use core::{fmt, time::Duration};
use poplarswitch_scheduler::{ConclusionKind, RefusalReason};
use serde::{Deserialize, Serialize};

/// Whether a call was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It was not, and it will not be.
    NotRun,
    /// It was.
    Ran,
    /// Nobody knows.
    InDoubt,
}

/// The step at which a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Its head or body was read.
    Receive,
    /// Its bearer key was looked up.
    Authenticate,
    /// Its class, model or service was looked up.
    Resolve,
    /// It was admitted or not.
    Admit,
    /// It waited for a slot.
    Queue,
    /// Its idempotency key was claimed.
    Claim,
    /// It ran at an endpoint.
    Run,
    /// Its answer was passed on.
    Answer,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// No workspace has the bearer key.
    Unauthorized,
    /// The path does not exist.
    UnknownPath,
    /// The path has other methods.
    WrongMethod,
    /// The set in force has no such class.
    UnknownClass,
    /// The set in force has no such model.
    UnknownModel,
    /// The set in force has no such service.
    UnknownService,
    /// The class may not use the model or service.
    ClassMismatch,
    /// The body is not a call.
    Malformed,
    /// The body is larger than the class allows.
    BodyTooLarge,
    /// The body did not come in time.
    BodyTimeout,
    /// The class needs an idempotency key.
    KeyRequired,
    /// The call ran, and its answer is no longer kept.
    AnswerGone,
    /// The VM that holds the key can't be asked.
    HomeUnreached,
    /// The same key came with another call.
    KeyConflict,
    /// The workspace is over its rate.
    RateLimit,
    /// Too many calls wait.
    QueueFull,
    /// The call could not meet its bound.
    Overload,
    /// It waited for as long as its class allows.
    WaitExpired,
    /// No endpoint is usable.
    NoEndpoint,
    /// The VM is leaving.
    Leaving,
    /// The VM holds as many calls as it may.
    Busy,
    /// The VM has no set of objects yet.
    NoSet,
    /// The VM can't prove that its set is the newest.
    StaleSet,
    /// The endpoint ran the call and failed.
    Failed,
    /// The call may have run.
    InDoubt,
}

impl ErrorCode {
    /// The code as it is written in JSON.
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
            Self::Failed => "failed",
            Self::InDoubt => "in_doubt",
        }
    }

    /// The HTTP status that goes with the code.
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
            | Self::HomeUnreached => 503,
            Self::Failed => 502,
            Self::InDoubt => 504,
        }
    }

    /// Whether the call was run.
    pub const fn ran(self) -> Ran {
        match self {
            Self::Failed | Self::AnswerGone => Ran::Ran,
            Self::InDoubt | Self::HomeUnreached => Ran::InDoubt,
            _ => Ran::NotRun,
        }
    }

    /// The step at which it arises.
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
            | Self::StaleSet => Step::Admit,
            Self::WaitExpired | Self::NoEndpoint => Step::Queue,
            Self::Failed | Self::InDoubt => Step::Run,
        }
    }

    /// The text that goes with the code.
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

/// An error as a caller sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorInfo {
    /// Why.
    pub code: ErrorCode,
    /// The same in words.
    pub message: String,
    /// The step at which it arose.
    pub step: Step,
    /// The VM or endpoint at which it arose.
    pub peer: String,
    /// Whether the call was run.
    pub ran: Ran,
    /// When a new attempt is worth while, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Other addresses to use, where this one is leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub others: Vec<core::net::SocketAddr>,
}

impl ErrorInfo {
    /// An error that arose at a peer.
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

    /// With a retry time.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after_ms = Some(after.as_millis() as u64);
        self
    }

    /// With words of its own.
    #[must_use]
    pub fn with_message(mut self, message: impl Into<String>) -> Self {
        self.message = message.into();
        self
    }
}

/// The body of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorInfo,
}

impl ErrorBody {
    /// The JSON form.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
