//! Time-outs of a caller's connection: for the head of a request and between requests.
//!
//! `hyper` starts its time-out for a head at the end of the previous response, so it would close
//! idle connections on which callers may be sending their next request. Here, the time-out for a
//! head starts with its first byte, or when the connection is accepted.

use bytes::Buf;
use core::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};
use http_body::{Body, Frame, SizeHint};
use poplarswitch_settings::Limits;
use std::{
    io,
    sync::{Arc, Mutex, PoisonError},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, sleep_until},
};

/// Minimum interval at which the time-out of a connection is checked.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Use of a connection.
#[derive(Clone, Copy, Debug)]
enum Stage {
    /// The first head is awaited or being read, since the connection was accepted.
    FirstHead(Instant),
    /// The head of a later request is being read, since its first byte.
    Head(Instant),
    /// A request is being served.
    Serving,
    /// No request has arrived since the last response ended.
    Idle(Instant),
}

/// Stage of a connection, shared by its stream, its responses and its time-out.
#[derive(Clone, Debug)]
pub(super) struct Usage(Arc<Mutex<Stage>>);

impl Usage {
    /// Usage of a connection that has just been accepted.
    pub(super) fn new() -> Self {
        Self(Arc::new(Mutex::new(Stage::FirstHead(Instant::now()))))
    }

    fn stage(&self) -> Stage {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn enter(&self, stage: Stage) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = stage;
    }

    /// Whether the connection has not brought a whole head yet.
    pub(super) fn awaits_first_head(&self) -> bool {
        matches!(self.stage(), Stage::FirstHead(_))
    }

    /// Records that a head has been read; the connection is idle again when the guard is dropped.
    pub(super) fn begin_request(&self) -> RequestGuard {
        self.enter(Stage::Serving);
        RequestGuard(self.clone())
    }

    fn record_read(&self) {
        if let Stage::Idle(_) = self.stage() {
            self.enter(Stage::Head(Instant::now()));
        }
    }

    /// Waits until the connection has timed out.
    pub(super) async fn time_out(&self, limits: &Limits) {
        loop {
            let now = Instant::now();
            let deadline = match self.stage() {
                Stage::FirstHead(since) | Stage::Head(since) => since + limits.head_timeout(),
                Stage::Serving => now + limits.head_timeout(),
                Stage::Idle(since) => since + limits.keep_alive_timeout(),
            };
            if deadline <= now {
                return;
            }
            // A head may begin meanwhile, whose time-out ends earlier.
            let next_check = deadline.min(now + limits.head_timeout());
            sleep_until(next_check.max(now + MIN_CHECK_INTERVAL)).await;
        }
    }
}

/// Guard of a request until its response has ended.
#[derive(Debug)]
pub(super) struct RequestGuard(Usage);

impl RequestGuard {
    /// Keeps the guard until a response body is dropped.
    pub(super) const fn keep<B>(self, body: B) -> GuardedBody<B> {
        GuardedBody { body, _guard: self }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.enter(Stage::Idle(Instant::now()));
    }
}

/// Body of a response that keeps the guard of its request.
#[derive(Debug)]
pub(super) struct GuardedBody<B> {
    body: B,
    _guard: RequestGuard,
}

impl<D: Buf, B: Body<Data = D> + Unpin> Body for GuardedBody<B> {
    type Data = D;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<D>, B::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A caller's stream that records when bytes arrive.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    usage: Usage,
}

impl CallerStream {
    pub(super) const fn new(stream: TcpStream, usage: Usage) -> Self {
        Self { stream, usage }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.usage.record_read();
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
