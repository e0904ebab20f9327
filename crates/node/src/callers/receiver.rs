//! Receives the response of a call for its caller, and cancels the call when dropped early.

use super::reply;
use crate::{call::ResponsePart, event::Event, shared::Shared};
use bytes::Bytes;
use core::{
    future::Future as _,
    pin::Pin,
    task::{Context, Poll, ready},
};
use poplarswitch_entity::CallId;
use poplarswitch_wire::{ErrorBody, ErrorCode, ErrorInfo};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Next item that a [`ResponseReceiver`] yields.
#[derive(Debug)]
pub(super) enum NextPart {
    /// A part of the response.
    Part(ResponsePart),
    /// The call has no complete answer.
    Error(ErrorInfo),
}

/// Error that the event loop sends for a call without a complete answer.
#[derive(Debug)]
enum Failure {
    Pending(oneshot::Receiver<ErrorInfo>),
    Received(ErrorInfo),
}

/// Receiving side of a call's response.
#[derive(Debug)]
pub(crate) struct ResponseReceiver {
    shared: Arc<Shared>,
    call: CallId,
    parts: mpsc::Receiver<ResponsePart>,
    failure: Failure,
    finished: bool,
}

impl ResponseReceiver {
    /// Receiver for a call that is about to be submitted.
    pub(super) const fn new(
        shared: Arc<Shared>,
        call: CallId,
        parts: mpsc::Receiver<ResponsePart>,
        failure: oneshot::Receiver<ErrorInfo>,
    ) -> Self {
        Self {
            shared,
            call,
            parts,
            failure: Failure::Pending(failure),
            finished: false,
        }
    }

    /// Identifier of the call.
    pub(super) const fn call(&self) -> CallId {
        self.call
    }

    /// Whether the last part or the error has been received.
    pub(crate) const fn is_finished(&self) -> bool {
        self.finished
    }

    /// Receives the next part or the final error.
    pub(super) async fn next(&mut self) -> NextPart {
        core::future::poll_fn(|context| self.poll(context)).await
    }

    /// Polls for the next bytes of a stream; an error is sent as the last server-sent event.
    pub(crate) fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Bytes>> {
        loop {
            if self.finished {
                return Poll::Ready(None);
            }
            let bytes = match ready!(self.poll(context)) {
                NextPart::Part(ResponsePart::Data(bytes) | ResponsePart::Last(bytes)) => bytes,
                NextPart::Part(ResponsePart::Head(_) | ResponsePart::Whole(..)) => continue,
                NextPart::Error(error) => error_event(&self.shared, error),
            };
            return Poll::Ready(Some(bytes));
        }
    }

    /// Yields parts before the error, since a run sends all of its parts before it ends.
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<NextPart> {
        if let Poll::Ready(Some(part)) = self.parts.poll_recv(context) {
            return Poll::Ready(self.accept(part));
        }
        if let Failure::Pending(failure) = &mut self.failure {
            let received = ready!(Pin::new(failure).poll(context));
            let error = received.unwrap_or_else(|_| self.shared.error(ErrorCode::InDoubt));
            self.failure = Failure::Received(error);
        }
        if let Ok(part) = self.parts.try_recv() {
            return Poll::Ready(self.accept(part));
        }
        let Failure::Received(error) = &self.failure else {
            return Poll::Pending;
        };
        self.finished = true;
        Poll::Ready(NextPart::Error(error.clone()))
    }

    fn accept(&mut self, part: ResponsePart) -> NextPart {
        self.finished = matches!(part, ResponsePart::Last(_) | ResponsePart::Whole(..));
        NextPart::Part(part)
    }
}

impl Drop for ResponseReceiver {
    fn drop(&mut self) {
        if !self.finished {
            self.shared.send_event(Event::CallerLeft(self.call));
        }
    }
}

fn error_event(shared: &Shared, error: ErrorInfo) -> Bytes {
    reply::count_error(shared, &error);
    let json = ErrorBody { error }.to_json();
    Bytes::from(format!("event: error\ndata: {json}\n\n"))
}
