//! Ends of answers whose callers read slowly, on loopback connections.

use crate::{
    activity::{Activity, MonitoredStream},
    clock,
    memory::CallMemory,
    reply::{BodyPart, Guards, ReplyBody},
    shared::InFlight,
};
use bytes::Bytes;
use core::{
    convert::Infallible,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};
use googletest::prelude::*;
use http::{HeaderValue, Response, Version, header};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use socket2::{Domain, SockRef, Socket, Type};
use std::{
    io::{ErrorKind, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    sync::Arc,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    runtime::Builder,
    sync::mpsc,
    task::JoinHandle,
    time::sleep,
};

/// Memory of the VM.
const MEMORY: u64 = 160 << 20;
/// Size of the answer; more than the sockets' buffers hold, by less than `hyper` buffers.
const ANSWER_BYTES: usize = 16 << 10;
/// Size of an answer of which the caller's kernel takes a small part.
const LARGE_BYTES: usize = 48 << 10;
/// Size of the sockets' buffers, of which the kernel uses a multiple.
const BUFFER_BYTES: usize = 1 << 10;
/// Time within which the connections make progress.
const PROGRESS_TIME: Duration = Duration::from_millis(300);

/// A connection on which one answer is sent, and the number of calls in flight.
struct Answering {
    caller: TcpStream,
    task: JoinHandle<()>,
    in_flight: Arc<AtomicUsize>,
}

impl Answering {
    async fn start(length: Option<u64>, size: usize) -> Self {
        Self::start_with(length, size, BUFFER_BYTES).await
    }

    /// Starts with a buffer of a size for what is sent.
    async fn start_with(length: Option<u64>, size: usize, buffer: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let caller = connect(listener.local_addr().unwrap());
        let (stream, _) = listener.accept().await.unwrap();
        SockRef::from(&stream).set_send_buffer_size(buffer).unwrap();
        let in_flight = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&in_flight);
        let activity = Activity::start(clock::now());
        let io = TokioIo::new(MonitoredStream::new(stream, Arc::clone(&activity)));
        let service = service_fn(move |_| {
            let guards = Guards::new(
                activity.begin_request(),
                InFlight::new(&count, &CallMemory::new(MEMORY)),
            );
            async move { Ok::<_, Infallible>(answer(length, size, guards)) }
        });
        let task = tokio::spawn(async move {
            let _broken = http1::Builder::new().serve_connection(io, service).await;
        });
        Self {
            caller,
            task,
            in_flight,
        }
    }

    fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Reads until the connection ends; returns the number of bytes, and whether it was reset.
    async fn read(&self) -> (usize, bool) {
        let mut caller = self.caller.try_clone().unwrap();
        let read = move || {
            let mut bytes = Vec::new();
            let end = caller.read_to_end(&mut bytes);
            let is_reset = end.is_err_and(|error| error.kind() == ErrorKind::ConnectionReset);
            (bytes.len(), is_reset)
        };
        tokio::task::spawn_blocking(read).await.unwrap()
    }
}

/// Opens a connection whose caller reads nothing yet.
fn connect(server: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(BUFFER_BYTES).unwrap();
    socket.connect(&server.into()).unwrap();
    let mut caller = TcpStream::from(socket);
    caller
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .unwrap();
    caller
}

/// An answer whose endpoint has sent all of it.
fn answer(length: Option<u64>, size: usize, guards: Guards) -> Response<ReplyBody> {
    let (sender, parts) = mpsc::channel(2);
    let data = BodyPart::Data(Bytes::from(vec![b'a'; size]));
    sender.try_send(data).unwrap();
    sender.try_send(BodyPart::End).unwrap();
    let is_close_framed = length.is_none();
    let body = ReplyBody::parts(parts, length, is_close_framed, guards);
    let mut response = Response::new(body);
    if is_close_framed {
        *response.version_mut() = Version::HTTP_10;
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn block_on(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(test);
}

/// A VM that was told to leave exited with unwritten ends of answers.
#[gtest]
fn call_is_in_flight_until_its_answer_has_been_written() {
    for length in [Some(ANSWER_BYTES as u64), None] {
        block_on(async {
            let answering = Answering::start(length, ANSWER_BYTES).await;
            sleep(PROGRESS_TIME).await;
            expect_that!(answering.in_flight(), eq(1));
            let (bytes, is_reset) = answering.read().await;
            expect_that!((bytes > ANSWER_BYTES, is_reset), eq((true, false)));
            drop(answering.caller);
            sleep(PROGRESS_TIME).await;
            expect_that!(answering.in_flight.load(Ordering::Relaxed), eq(0));
        });
    }
}

/// The unwritten end of an answer that ends with its connection was cut off by an orderly close, so
/// that the answer looked complete.
#[gtest]
fn exit_resets_an_answer_without_length_unless_its_caller_has_received_it() {
    for (size, is_received) in [(ANSWER_BYTES, false), (1, true)] {
        block_on(async {
            let answering = Answering::start(None, size).await;
            sleep(PROGRESS_TIME).await;
            answering.task.abort();
            let (bytes, is_reset) = answering.read().await;
            expect_that!((bytes > size, is_reset), eq((is_received, !is_received)));
        });
    }
}

/// A VM that exited reset the connection of a caller that read slowly, though the kernel had all of the
/// answer (LOST).
#[gtest]
fn exit_doesn_t_cut_off_an_answer_without_length_that_the_kernel_has() {
    for size in [0, 1, ANSWER_BYTES, LARGE_BYTES] {
        block_on(async {
            let answering = Answering::start_with(None, size, 4 * LARGE_BYTES).await;
            sleep(PROGRESS_TIME).await;
            answering
                .caller
                .try_clone()
                .unwrap()
                .write_all(b"GET")
                .unwrap();
            answering.task.abort();
            sleep(PROGRESS_TIME).await;
            let (bytes, is_reset) = answering.read().await;
            expect_that!((bytes > size, is_reset), eq((true, false)), "{size}");
        });
    }
}

/// A caller that doesn't close its connection may not have received the end of the answer.
#[gtest]
fn call_is_in_flight_until_its_caller_closes_the_connection_that_ends_the_answer() {
    block_on(async {
        let answering = Answering::start(None, ANSWER_BYTES).await;
        let (bytes, is_reset) = answering.read().await;
        expect_that!((bytes > ANSWER_BYTES, is_reset), eq((true, false)));
        expect_that!(answering.in_flight(), eq(1));
        drop(answering.caller);
        sleep(PROGRESS_TIME).await;
        expect_that!(answering.in_flight.load(Ordering::Relaxed), eq(0));
    });
}

/// Guards the change of a connection's buffer: bytes of a request that was not read must not pass for a
/// head, and none of a response may be lost.
#[gtest]
fn connection_is_between_requests_only_when_all_is_read_and_written() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        for (is_read, is_flushed) in [(true, true), (true, false), (false, true)] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let _caller = connect(listener.local_addr().unwrap());
            let (stream, _) = listener.accept().await.unwrap();
            let activity = Activity::start(clock::now());
            expect_that!(activity.is_between_requests(), eq(true));
            let guard = activity.begin_request();
            if !is_read {
                guard.mark_unread();
            }
            let stream = MonitoredStream::new(stream, Arc::clone(&activity));
            let mut stream = stream.unread(Bytes::from_static(b"part "));
            stream.flush().await.unwrap();
            expect_that!(activity.is_between_requests(), eq(false));
            drop(guard);
            if is_flushed {
                stream.flush().await.unwrap();
            }
            expect_that!(activity.is_between_requests(), eq(is_read && is_flushed));
            let mut bytes = [0; 10];
            stream.read_exact(&mut bytes).await.unwrap();
            expect_that!(&bytes, eq(b"part GET /"));
        }
    });
}
