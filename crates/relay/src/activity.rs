//! Time-outs of incoming connections: for idle connections and for reading the head of a request.
//!
//! `hyper` starts the time-out for a head at the end of the previous response, which would close
//! idle connections that callers may still use. Here, the time-out for a head starts with its first
//! byte.

use crate::clock;
use core::{
    pin::Pin,
    sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    task::{Context, Poll},
    time::Duration,
};
use poplarswitch_entity::Time;
use poplarswitch_ingress::Limits;
use socket2::SockRef;
use std::{io, sync::Arc};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    task::yield_now,
};

/// Activity on a connection.
#[derive(Debug, Default)]
pub(crate) struct Activity {
    /// When bytes last arrived or a response last ended, in microseconds.
    last_active: AtomicU64,
    /// When the first byte of the current head arrived, in microseconds; 0 if no head is being
    /// read.
    head_start: AtomicU64,
    /// Number of requests whose response has not ended.
    active_requests: AtomicUsize,
    /// Whether the connection must end with a reset, because an orderly close would mark the end of
    /// a response that is not complete.
    reset_on_close: AtomicBool,
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
}

/// Guard that counts a request until its response has ended.
#[derive(Debug)]
pub(crate) struct ActivityGuard(Arc<Activity>);

impl ActivityGuard {
    /// Sets whether the connection must end with a reset.
    pub(crate) fn set_reset_on_close(&self, reset: bool) {
        self.0.reset_on_close.store(reset, Ordering::Relaxed);
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
/// While [`Activity`] says that the connection must end with a reset, the socket is set so that the
/// kernel resets it when it is closed, also if this process is killed.
#[derive(Debug)]
pub(crate) struct MonitoredStream {
    stream: TcpStream,
    activity: Arc<Activity>,
    resets: bool,
}

impl MonitoredStream {
    pub(crate) const fn new(stream: TcpStream, activity: Arc<Activity>) -> Self {
        Self {
            stream,
            activity,
            resets: false,
        }
    }

    fn update_close_mode(&mut self) {
        let reset = self.activity.reset_on_close.load(Ordering::Relaxed);
        if reset != self.resets {
            let linger = reset.then_some(Duration::ZERO);
            match SockRef::from(&self.stream).set_linger(linger) {
                Ok(()) => self.resets = reset,
                Err(error) => tracing::debug!(%error, reset, "set how the connection is closed"),
            }
        }
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
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
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.update_close_mode();
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_close_mode();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
