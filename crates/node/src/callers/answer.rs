//! The caller's end of a call: pieces in, bytes out, and a cancellation when it is dropped.

use super::reply;
use crate::{call::Piece, event::Event, shared::Shared};
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

/// What comes next on the way to the caller.
#[derive(Debug)]
pub(super) enum Next {
    /// A piece of the answer.
    Piece(Piece),
    /// The call has no whole answer.
    Error(ErrorInfo),
}

/// How a call without a whole answer ends.
#[derive(Debug)]
enum Verdict {
    Awaited(oneshot::Receiver<ErrorInfo>),
    Known(ErrorInfo),
}

/// The caller's end of a call.
#[derive(Debug)]
pub(crate) struct Answer {
    shared: Arc<Shared>,
    call: CallId,
    pieces: mpsc::Receiver<Piece>,
    verdict: Verdict,
    over: bool,
}

impl Answer {
    /// Waits for a call that is about to be submitted.
    pub(super) const fn new(
        shared: Arc<Shared>,
        call: CallId,
        pieces: mpsc::Receiver<Piece>,
        verdict: oneshot::Receiver<ErrorInfo>,
    ) -> Self {
        Self {
            shared,
            call,
            pieces,
            verdict: Verdict::Awaited(verdict),
            over: false,
        }
    }

    /// The call.
    pub(super) const fn call(&self) -> CallId {
        self.call
    }

    /// Whether the answer is complete.
    pub(crate) const fn is_over(&self) -> bool {
        self.over
    }

    /// Waits for the next piece or the final error.
    pub(super) async fn next(&mut self) -> Next {
        core::future::poll_fn(|context| self.poll(context)).await
    }

    /// The next bytes of a stream; an error becomes the last event.
    pub(crate) fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Bytes>> {
        loop {
            if self.over {
                return Poll::Ready(None);
            }
            let bytes = match ready!(self.poll(context)) {
                Next::Piece(Piece::Data(bytes) | Piece::Last(bytes)) => bytes,
                Next::Piece(Piece::Head(_) | Piece::Whole(..)) => continue,
                Next::Error(error) => error_event(&self.shared, error),
            };
            return Poll::Ready(Some(bytes));
        }
    }

    /// Pieces come before the verdict: a run has passed on all of its pieces before it ends.
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Next> {
        if let Poll::Ready(Some(piece)) = self.pieces.poll_recv(context) {
            return Poll::Ready(self.take(piece));
        }
        if let Verdict::Awaited(verdict) = &mut self.verdict {
            let received = ready!(Pin::new(verdict).poll(context));
            let error = received.unwrap_or_else(|_| self.shared.error(ErrorCode::InDoubt));
            self.verdict = Verdict::Known(error);
        }
        if let Ok(piece) = self.pieces.try_recv() {
            return Poll::Ready(self.take(piece));
        }
        let Verdict::Known(error) = &self.verdict else {
            return Poll::Pending;
        };
        self.over = true;
        Poll::Ready(Next::Error(error.clone()))
    }

    fn take(&mut self, piece: Piece) -> Next {
        self.over = matches!(piece, Piece::Last(_) | Piece::Whole(..));
        Next::Piece(piece)
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if !self.over {
            self.shared.tell(Event::Left(self.call));
        }
    }
}

fn error_event(shared: &Shared, error: ErrorInfo) -> Bytes {
    reply::count(shared, &error);
    let json = ErrorBody { error }.to_json();
    Bytes::from(format!("event: error\ndata: {json}\n\n"))
}
