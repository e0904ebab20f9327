//! Socket of a client, whose input ends only once its output is written.
//!
//! `hyper` takes the end of the input for the end of a response with neither a length nor chunks, also
//! while it still writes the request. A server that has not read the request resets the connection
//! later, and the response is incomplete; one that reads on has sent a whole one. So the end of the
//! input is held back until all of the output has been taken by the kernel, or a write has failed. A
//! write may also be told of a reset in place of the read that follows.

use core::{
    pin::Pin,
    task::{Context, Poll, ready},
};
use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Maximum number of bytes that the kernel takes before it has sent those before them. Without a limit,
/// it would take most of a request that its receiver doesn't read.
pub(crate) const MAX_UNSENT_BYTES: u32 = 16 << 10;

/// State of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Output {
    /// All of it has been written.
    Flushed,
    /// Some of it may not have been written yet.
    Unflushed,
    /// A write has failed.
    Failed,
}

impl Output {
    /// The state after a write has begun.
    const fn begin_write(self) -> Self {
        match self {
            Self::Flushed | Self::Unflushed => Self::Unflushed,
            Self::Failed => Self::Failed,
        }
    }
}

/// Socket of a client.
#[derive(Debug)]
pub(crate) struct ClientStream {
    stream: TcpStream,
    output: Output,
    /// Whether the end of the input has been read.
    has_ended: bool,
}

impl ClientStream {
    pub(crate) const fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            output: Output::Flushed,
            has_ended: false,
        }
    }

    /// Whether the input has ended in order.
    fn poll_end(&self) -> Poll<io::Result<()>> {
        match self.output {
            Output::Unflushed => Poll::Pending,
            Output::Failed => Poll::Ready(Err(ErrorKind::ConnectionReset.into())),
            Output::Flushed => {
                let error = SockRef::from(&self.stream).take_error()?;
                Poll::Ready(error.map_or(Ok(()), Err))
            }
        }
    }

    /// Records the result of a write or a flush after which the output is in a state; wakes the reader
    /// if it waits for that.
    fn record<T>(&mut self, cx: &Context<'_>, result: &io::Result<T>, output: Output) {
        let before = self.output;
        self.output = if before == Output::Failed || result.is_err() {
            Output::Failed
        } else {
            output
        };
        if self.has_ended && self.output != before {
            cx.waker().wake_by_ref();
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if !this.has_ended {
            let room = buf.remaining();
            ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
            this.has_ended = room > 0 && buf.remaining() == room;
        }
        if this.has_ended {
            this.poll_end()
        } else {
            Poll::Ready(Ok(()))
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.output = self.output.begin_write();
        let result = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        self.record(cx, &result, Output::Unflushed);
        Poll::Ready(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.output = self.output.begin_write();
        let result = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs));
        self.record(cx, &result, Output::Unflushed);
        Poll::Ready(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = ready!(Pin::new(&mut self.stream).poll_flush(cx));
        self.record(cx, &result, Output::Flushed);
        Poll::Ready(result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
