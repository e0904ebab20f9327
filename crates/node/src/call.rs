//! A call in flight, shared by the caller's task, the decision thread and its run.

use bytes::Bytes;
use core::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use poplarswitch_entity::CallId;
use poplarswitch_scheduler::Request;
use poplarswitch_wire::headers;
use tokio::sync::mpsc;

/// A chat call.
#[derive(Debug)]
pub(crate) struct ChatCall {
    pub(crate) body: Bytes,
    pub(crate) stream: bool,
}

/// A call to a plain service.
#[derive(Debug)]
pub(crate) struct ServiceCall {
    pub(crate) method: http::Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(http::HeaderName, http::HeaderValue)>,
    pub(crate) body: Bytes,
}

/// What an endpoint is asked to do.
#[derive(Debug)]
pub(crate) enum Operation {
    /// Generate text.
    Chat(ChatCall),
    /// Answer a plain request.
    Service(ServiceCall),
}

/// The head of an endpoint's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) content_type: Option<http::HeaderValue>,
    not_run: bool,
}

impl ResponseHead {
    /// Reads what is passed on to the caller.
    pub(crate) fn from_response<T>(response: &http::Response<T>) -> Self {
        let headers = response.headers();
        Self {
            status: response.status().as_u16(),
            content_type: headers.get(http::header::CONTENT_TYPE).cloned(),
            not_run: headers
                .get(headers::NOT_RUN)
                .is_some_and(|value| value == "true"),
        }
    }

    /// A head with no more than what is passed on.
    pub(crate) const fn new(status: u16, content_type: Option<http::HeaderValue>) -> Self {
        Self {
            status,
            content_type,
            not_run: false,
        }
    }

    /// Whether the endpoint proves that it did not run the call.
    pub(crate) const fn declares_not_run(&self) -> bool {
        self.status == 503 && self.not_run
    }
}

/// A part of an answer on its way to the caller.
#[derive(Debug)]
pub(crate) enum ResponsePart {
    /// The start of a stream.
    Head(ResponseHead),
    /// A part of a stream.
    Data(Bytes),
    /// The last part of a stream.
    Last(Bytes),
    /// An answer in one part.
    Whole(ResponseHead, Bytes),
}

/// A call in flight.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) request: Request,
    pub(crate) rank: u8,
    pub(crate) repeatable: bool,
    pub(crate) key: Option<String>,
    pub(crate) operation: Operation,
    pub(crate) parts: mpsc::Sender<ResponsePart>,
    pub(crate) sent: SentOutput,
}

/// What the caller has been given.
#[derive(Debug, Default)]
pub(crate) struct SentOutput {
    tokens: AtomicU32,
    head: AtomicBool,
}

impl Call {
    /// Its identifier.
    pub(crate) const fn id(&self) -> CallId {
        self.request.call
    }

    /// Tokens that the caller has been given.
    pub(crate) fn emitted(&self) -> u32 {
        self.sent.tokens.load(Ordering::Acquire)
    }

    /// Counts tokens; returns them all.
    pub(crate) fn add_emitted(&self, tokens: u32) -> u32 {
        self.sent.tokens.fetch_add(tokens, Ordering::AcqRel) + tokens
    }

    /// Whether the head of the answer is still to be given; true once.
    pub(crate) fn claim_head(&self) -> bool {
        !self.sent.head.swap(true, Ordering::AcqRel)
    }

    /// Whether a run goes on after the caller has left: it may not be repeated, so that its
    /// outcome is worth having.
    pub(crate) const fn continues_without_caller(&self) -> bool {
        !self.repeatable
    }
}
