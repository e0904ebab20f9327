//! A call in flight, shared by the caller's task, the event loop and the call's run.

use bytes::Bytes;
use core::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use poplarswitch_entity::CallId;
use poplarswitch_scheduler::Request;
use poplarswitch_wire::headers;
use tokio::sync::mpsc;

/// A chat completion request to a model engine.
#[derive(Debug)]
pub(crate) struct ChatCall {
    pub(crate) body: Bytes,
    pub(crate) stream: bool,
}

/// A request to a plain service.
#[derive(Debug)]
pub(crate) struct ServiceCall {
    pub(crate) method: http::Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(http::HeaderName, http::HeaderValue)>,
    pub(crate) body: Bytes,
}

/// Request that an endpoint is to process.
#[derive(Debug)]
pub(crate) enum Operation {
    /// A chat completion.
    Chat(ChatCall),
    /// A request to a plain service.
    Service(ServiceCall),
}

/// The parts of an endpoint's response head that are used or passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) content_type: Option<http::HeaderValue>,
    not_run: bool,
}

impl ResponseHead {
    /// Reads the status and the relevant headers of a response.
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

    /// A head with the fields that are passed on to the caller.
    pub(crate) const fn new(status: u16, content_type: Option<http::HeaderValue>) -> Self {
        Self {
            status,
            content_type,
            not_run: false,
        }
    }

    /// Whether the endpoint states that it did not run the call.
    pub(crate) const fn declares_not_run(&self) -> bool {
        self.status == 503 && self.not_run
    }
}

/// A part of a response, passed from a run to the caller's task.
#[derive(Debug)]
pub(crate) enum ResponsePart {
    /// The head of a streamed response.
    Head(ResponseHead),
    /// A chunk of a streamed response.
    Data(Bytes),
    /// The last chunk of a streamed response.
    Last(Bytes),
    /// A complete response that is not streamed.
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

/// Output that has been passed on to the caller.
#[derive(Debug, Default)]
pub(crate) struct SentOutput {
    tokens: AtomicU32,
    head: AtomicBool,
}

impl Call {
    /// Identifier of the call.
    pub(crate) const fn id(&self) -> CallId {
        self.request.call
    }

    /// Number of tokens passed on to the caller.
    pub(crate) fn emitted(&self) -> u32 {
        self.sent.tokens.load(Ordering::Acquire)
    }

    /// Adds tokens that were passed on; returns the new total.
    pub(crate) fn add_emitted(&self, tokens: u32) -> u32 {
        self.sent.tokens.fetch_add(tokens, Ordering::AcqRel) + tokens
    }

    /// Marks the response head as passed on; returns false if it was marked before.
    pub(crate) fn claim_head(&self) -> bool {
        !self.sent.head.swap(true, Ordering::AcqRel)
    }

    /// Whether a run continues after the caller has disconnected, as runs of non-repeatable
    /// calls do, so that their outcome is known.
    pub(crate) const fn continues_without_caller(&self) -> bool {
        !self.repeatable
    }
}
