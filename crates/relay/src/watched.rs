//! A caller's connection whose idle time and time for a head are bounded.
//!
//! `hyper` bounds the time for a head from the end of the answer before, which would end idle
//! connections that callers may still use. Here the time for a head starts with its first byte.

use crate::clock;
use core::{
    pin::Pin,
    sync::atomic::{AtomicU64, AtomicUsize, Ordering},
    task::{Context, Poll},
    time::Duration,
};
use poplarswitch_entity::Time;
use poplarswitch_ingress::Limits;
use std::{io, sync::Arc};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// What a connection is doing.
#[derive(Debug, Default)]
pub(crate) struct Activity {
    /// When bytes last came or an answer last ended, in microseconds.
    last: AtomicU64,
    /// When the head that is being read began; 0 if none is.
    head: AtomicU64,
    /// Calls that are being answered.
    serving: AtomicUsize,
}

impl Activity {
    pub(crate) fn start(now: Time) -> Arc<Self> {
        let activity = Self::default();
        activity.last.store(now.0, Ordering::Relaxed);
        Arc::new(activity)
    }

    /// A head has been read; the guard counts the call until its answer is out.
    pub(crate) fn serve(self: &Arc<Self>) -> Serving {
        self.head.store(0, Ordering::Relaxed);
        self.serving.fetch_add(1, Ordering::Relaxed);
        Serving(Arc::clone(self))
    }

    /// Until when the connection may stay as it is.
    pub(crate) fn expires(&self, limits: Limits) -> Time {
        let last = Time(self.last.load(Ordering::Relaxed));
        let head = self.head.load(Ordering::Relaxed);
        if self.serving.load(Ordering::Relaxed) > 0 {
            clock::now() + limits.idle_timeout
        } else if head > 0 {
            Time(head) + limits.head_timeout
        } else {
            last + limits.idle_timeout
        }
    }

    /// Waits until the connection has been idle, or at one head, for too long.
    pub(crate) async fn expired(&self, limits: impl Fn() -> Limits) {
        loop {
            let now = clock::now();
            let until = self.expires(limits());
            if until <= now {
                return;
            }
            let left = until.since(now);
            // A head may begin while this sleeps, and its time is shorter than the idle time.
            tokio::time::sleep(
                left.min(limits().head_timeout)
                    .max(Duration::from_millis(10)),
            )
            .await;
        }
    }

    fn note_read(&self) {
        let now = clock::now().0;
        self.last.store(now, Ordering::Relaxed);
        if self.serving.load(Ordering::Relaxed) == 0 && self.head.load(Ordering::Relaxed) == 0 {
            self.head.store(now, Ordering::Relaxed);
        }
    }
}

/// Counts a call until its answer is out.
#[derive(Debug)]
pub(crate) struct Serving(Arc<Activity>);

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.last.store(clock::now().0, Ordering::Relaxed);
        self.0.serving.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The stream under a connection.
#[derive(Debug)]
pub(crate) struct Watched {
    stream: TcpStream,
    activity: Arc<Activity>,
}

impl Watched {
    pub(crate) const fn new(stream: TcpStream, activity: Arc<Activity>) -> Self {
        Self { stream, activity }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.note_read();
        }
        polled
    }
}

impl AsyncWrite for Watched {
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
