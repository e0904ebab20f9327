//! Incoming connections: time-outs of idle connections and for reading the head of a request, and the
//! ends of answers.
//!
//! `hyper` starts the time-out for a head at the end of the previous response, which would close
//! idle connections that callers may still use. Here, the time-out for a head starts with its first
//! byte.
//!
//! `hyper` drops the body of an answer when it has buffered the last bytes. The call stays in flight
//! until they have been written to the socket. The end of the connection may be the end of the answer; see
//! [`EndMark`]. Then the call stays in flight until the caller has closed the connection as well.

use crate::{clock, shared::InFlight};
use bytes::Bytes;
use core::{
    mem::MaybeUninit,
    pin::Pin,
    sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    task::{Context, Poll, ready},
    time::Duration,
};
use poplarswitch_entity::Time;
use poplarswitch_ingress::Limits;
use socket2::SockRef;
use std::{
    io,
    sync::{Arc, Mutex, PoisonError},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    task::yield_now,
};

/// Size of the buffer for bytes that a caller sends after the end of its last answer.
const DISCARD_BYTES: usize = 1 << 10;
/// Maximum number of reads of such bytes when a connection is closed.
const MAX_DISCARDS: usize = 64;

/// Progress of a response to the caller, as far as the end of the connection marks its end.
///
/// Until the kernel has all of the response, the connection is set to be reset when it is closed, also by
/// the end of this process. From then on it ends in order: the kernel sends the rest and the end, however
/// slowly the caller reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum EndMark {
    /// The end of the connection marks nothing.
    #[default]
    None,
    /// A part of the response is still to come.
    Unfinished,
    /// `hyper` has all of the response.
    Buffered,
    /// The kernel has all of the response.
    Written,
}

impl EndMark {
    /// The progress after `hyper` has written all that it has been given.
    const fn flush(self) -> Self {
        match self {
            Self::Buffered => Self::Written,
            Self::None | Self::Unfinished | Self::Written => self,
        }
    }

    /// Whether the end of the connection would cut the response off, and must not look like its end.
    const fn must_reset(self) -> bool {
        matches!(self, Self::Unfinished | Self::Buffered)
    }
}

/// Activity on a connection.
#[derive(Debug, Default)]
pub(crate) struct Activity {
    /// When bytes last arrived, or were written after the end of a response, or a response last ended,
    /// in microseconds.
    last_active: AtomicU64,
    /// When the first byte of the current head arrived, in microseconds; 0 if no head is being
    /// read.
    head_start: AtomicU64,
    /// Number of requests whose response has not ended.
    active_requests: AtomicUsize,
    end_mark: Mutex<EndMark>,
    /// Whether a part of a response may not be written yet.
    unflushed: AtomicBool,
    /// Whether a part of a request may not have been read; its bytes must not pass for a head.
    unread: AtomicBool,
    /// Calls whose responses `hyper` has not written yet, or whose callers may not have received the
    /// end.
    unwritten: Mutex<Vec<InFlight>>,
}

impl Activity {
    pub(crate) fn start(now: Time) -> Arc<Self> {
        let activity = Self::default();
        activity.last_active.store(now.0, Ordering::Relaxed);
        Arc::new(activity)
    }

    /// Records that a head has been read; the guard counts the request until its response has
    /// ended.
    pub(crate) fn begin_request(self: &Arc<Self>) -> ActivityGuard {
        self.head_start.store(0, Ordering::Relaxed);
        self.active_requests.fetch_add(1, Ordering::Relaxed);
        self.unflushed.store(true, Ordering::Relaxed);
        ActivityGuard(Arc::clone(self))
    }

    /// Time at which the connection times out if nothing changes; `idle_timeout` is that of an idle
    /// connection.
    pub(crate) fn deadline(&self, limits: Limits, idle_timeout: Duration) -> Time {
        let last_active = Time(self.last_active.load(Ordering::Relaxed));
        let head_start = self.head_start.load(Ordering::Relaxed);
        if self.active_requests.load(Ordering::Relaxed) > 0 {
            clock::now() + limits.idle_timeout
        } else if head_start > 0 {
            Time(head_start) + limits.head_timeout
        } else {
            last_active + idle_timeout
        }
    }

    /// Waits until the connection has timed out, either idle or while a head was being read.
    ///
    /// The longest idle time-out of the connection's lifetime applies, because its caller may not
    /// know a shorter one yet.
    pub(crate) async fn wait_for_timeout(&self, limits: impl Fn() -> Limits) {
        let mut idle_timeout = Duration::ZERO;
        let mut confirmed = false;
        loop {
            let now = clock::now();
            idle_timeout = idle_timeout.max(limits().idle_timeout);
            let deadline = self.deadline(limits(), idle_timeout);
            if deadline <= now {
                if confirmed {
                    return;
                }
                // After a suspension of the process, the connection has to read what has arrived.
                confirmed = true;
                yield_now().await;
                continue;
            }
            confirmed = false;
            let time_left = deadline.since(now);
            // A head may begin during the sleep, and its time-out is shorter than the idle
            // time-out.
            tokio::time::sleep(
                time_left
                    .min(limits().head_timeout)
                    .max(Duration::from_millis(10)),
            )
            .await;
        }
    }

    fn record_read(&self) {
        let now = clock::now().0;
        self.last_active.store(now, Ordering::Relaxed);
        if self.active_requests.load(Ordering::Relaxed) == 0
            && self.head_start.load(Ordering::Relaxed) == 0
        {
            self.head_start.store(now, Ordering::Relaxed);
        }
    }

    /// Records that the caller takes the end of a response that it reads slowly.
    fn record_written(&self) {
        if self.active_requests.load(Ordering::Relaxed) == 0 {
            self.last_active.store(clock::now().0, Ordering::Relaxed);
        }
    }

    /// Whether the connection is between two requests: all of the last response has been written, and
    /// what arrives next is a head.
    pub(crate) fn is_between_requests(&self) -> bool {
        let is_busy = self.active_requests.load(Ordering::Relaxed) > 0
            || self.unflushed.load(Ordering::Relaxed)
            || self.unread.load(Ordering::Relaxed)
            || self.end_mark() != EndMark::None;
        !is_busy
    }

    /// Records that all bytes that `hyper` has been given are written.
    fn record_flushed(&self) {
        if self.active_requests.load(Ordering::Relaxed) == 0 {
            self.unflushed.store(false, Ordering::Relaxed);
        }
        let mark = self.end_mark();
        self.set_end_mark(mark.flush());
        if mark == EndMark::None {
            self.release_calls();
        }
    }

    /// Ends the calls whose responses have been sent.
    fn release_calls(&self) {
        let mut unwritten = self
            .unwritten
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        unwritten.clear();
    }

    fn end_mark(&self) -> EndMark {
        *self.end_mark.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_end_mark(&self, mark: EndMark) {
        *self.end_mark.lock().unwrap_or_else(PoisonError::into_inner) = mark;
    }
}

/// Guard that counts a request until its response has ended.
#[derive(Debug)]
pub(crate) struct ActivityGuard(Arc<Activity>);

impl ActivityGuard {
    /// Records the start of a response whose end is marked by an orderly close.
    pub(crate) fn begin_close_framed(&self) {
        self.0.set_end_mark(EndMark::Unfinished);
    }

    /// Records the end of a response whose end is marked by an orderly close.
    pub(crate) fn end_close_framed(&self) {
        self.0.set_end_mark(EndMark::Buffered);
    }

    /// Records that the request may not have been read to its end.
    pub(crate) fn mark_unread(&self) {
        self.0.unread.store(true, Ordering::Relaxed);
    }

    /// Holds a call in flight until its response has been written.
    pub(crate) fn hold_until_written(&self, call: InFlight) {
        let mut unwritten = self.0.unwritten.lock();
        let unwritten = unwritten.as_mut().unwrap_or_else(|error| error.get_mut());
        unwritten.push(call);
    }
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        self.0.last_active.store(clock::now().0, Ordering::Relaxed);
        self.0.active_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A TCP stream that records when bytes arrive.
///
/// While [`EndMark`] says that the connection must end with a reset, the socket is set so that the
/// kernel resets it when it is closed, also if this process is killed.
#[derive(Debug)]
pub(crate) struct MonitoredStream {
    stream: TcpStream,
    /// Bytes that have been read before, and are read again.
    unparsed: Bytes,
    activity: Arc<Activity>,
    resets: bool,
    /// Whether the sending side has been closed.
    sent_end: bool,
    /// Whether the caller has closed the connection after the end of its last response.
    caller_closed: bool,
}

impl MonitoredStream {
    pub(crate) const fn new(stream: TcpStream, activity: Arc<Activity>) -> Self {
        Self {
            stream,
            unparsed: Bytes::new(),
            activity,
            resets: false,
            sent_end: false,
            caller_closed: false,
        }
    }

    /// Lets bytes be read again that have been read without being used.
    pub(crate) fn unread(mut self, bytes: Bytes) -> Self {
        self.unparsed = bytes;
        self
    }

    /// Sets how the kernel ends the connection.
    fn update_close_mode(&mut self) {
        let reset = self.activity.end_mark().must_reset();
        if reset != self.resets {
            let linger = reset.then_some(Duration::ZERO);
            match SockRef::from(&self.stream).set_linger(linger) {
                Ok(()) => self.resets = reset,
                Err(error) => tracing::debug!(%error, reset, "set how the connection is closed"),
            }
        }
    }

    /// Waits until the caller has closed the connection; discards what it still sends.
    fn poll_caller_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while !self.caller_closed {
            let mut bytes = [MaybeUninit::uninit(); DISCARD_BYTES];
            let mut buf = ReadBuf::uninit(&mut bytes);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf));
            self.caller_closed = read.is_err() || buf.filled().is_empty();
        }
        Poll::Ready(())
    }

    /// Discards what the caller has sent: the kernel resets a connection that is closed with unread bytes. A
    /// caller that sends without end is not read for ever.
    fn discard_received(&self) {
        let mut bytes = [MaybeUninit::uninit(); DISCARD_BYTES];
        let socket = SockRef::from(&self.stream);
        for _ in 0..MAX_DISCARDS {
            if !matches!(socket.recv(&mut bytes), Ok(count) if count > 0) {
                return;
            }
        }
    }
}

impl Drop for MonitoredStream {
    fn drop(&mut self) {
        self.update_close_mode();
        if self.activity.end_mark() == EndMark::Written {
            self.discard_received();
        }
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.unparsed.is_empty() {
            let count = self.unparsed.len().min(buf.remaining());
            buf.put_slice(&self.unparsed.split_to(count));
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.record_read();
        }
        polled
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update_close_mode();
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        self.activity.record_written();
        Poll::Ready(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.activity.record_flushed();
        self.update_close_mode();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.update_close_mode();
        if !self.sent_end {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            self.sent_end = true;
        }
        if self.activity.end_mark() == EndMark::Written {
            ready!(self.poll_caller_closed(cx));
            self.activity.release_calls();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_close_mode();
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs));
        self.activity.record_written();
        Poll::Ready(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
