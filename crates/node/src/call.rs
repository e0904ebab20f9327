//! A call in flight, shared by the caller's task, the decision thread and its run.

use bytes::Bytes;
use core::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use poplarswitch_entity::CallId;
use poplarswitch_scheduler::Request;
use poplarswitch_wire::headers;
use tokio::sync::mpsc;

/// A chat call.
#[derive(Debug)]
pub(crate) struct Chat {
    pub(crate) body: Bytes,
    pub(crate) stream: bool,
}

/// A call to a plain service.
#[derive(Debug)]
pub(crate) struct Forward {
    pub(crate) method: http::Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(http::HeaderName, http::HeaderValue)>,
    pub(crate) body: Bytes,
}

/// What an endpoint is asked to do.
#[derive(Debug)]
pub(crate) enum Work {
    /// Generate text.
    Chat(Chat),
    /// Answer a plain request.
    Forward(Forward),
}

/// The head of an endpoint's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    pub(crate) status: u16,
    pub(crate) kind: Option<http::HeaderValue>,
    not_run: bool,
}

impl Head {
    /// Reads what is passed on to the caller.
    pub(crate) fn of<T>(response: &http::Response<T>) -> Self {
        let headers = response.headers();
        Self {
            status: response.status().as_u16(),
            kind: headers.get(http::header::CONTENT_TYPE).cloned(),
            not_run: headers
                .get(headers::NOT_RUN)
                .is_some_and(|value| value == "true"),
        }
    }

    /// A head with no more than what is passed on.
    pub(crate) const fn new(status: u16, kind: Option<http::HeaderValue>) -> Self {
        Self {
            status,
            kind,
            not_run: false,
        }
    }

    /// Whether the endpoint proves that it did not run the call.
    pub(crate) const fn says_not_run(&self) -> bool {
        self.status == 503 && self.not_run
    }
}

/// A part of an answer on its way to the caller.
#[derive(Debug)]
pub(crate) enum Piece {
    /// The start of a stream.
    Head(Head),
    /// A part of a stream.
    Data(Bytes),
    /// The last part of a stream.
    Last(Bytes),
    /// An answer in one piece.
    Whole(Head, Bytes),
}

/// A call in flight.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) request: Request,
    pub(crate) rank: u8,
    pub(crate) repeatable: bool,
    pub(crate) key: Option<String>,
    pub(crate) work: Work,
    pub(crate) pieces: mpsc::Sender<Piece>,
    pub(crate) progress: Emission,
}

/// What the caller has been given.
#[derive(Debug, Default)]
pub(crate) struct Emission {
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
        self.progress.tokens.load(Ordering::Acquire)
    }

    /// Counts tokens; returns them all.
    pub(crate) fn add_emitted(&self, tokens: u32) -> u32 {
        self.progress.tokens.fetch_add(tokens, Ordering::AcqRel) + tokens
    }

    /// Whether the head of the answer is still to be given; true once.
    pub(crate) fn take_head(&self) -> bool {
        !self.progress.head.swap(true, Ordering::AcqRel)
    }

    /// Whether a run goes on after the caller has left: it may not be repeated, so that its
    /// outcome is worth having.
    pub(crate) const fn outlives_caller(&self) -> bool {
        !self.repeatable
    }
}
