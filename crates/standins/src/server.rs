//! An HTTP server that can be stopped at any moment, as by a crash of its process.

use crate::body::Body;
use bytes::Bytes;
use core::{net::SocketAddr, time::Duration};
use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use socket2::SockRef;
use std::{
    io,
    sync::{Arc, Mutex, PoisonError},
    thread,
};
use tokio::{
    io::AsyncWriteExt as _,
    net::{TcpListener, TcpStream},
    runtime::{Builder, Runtime},
    sync::{oneshot, watch},
    time::sleep,
};

/// Time between the last byte of a response and the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// Error in starting the server of a stand-in.
#[derive(Debug, Snafu)]
#[snafu(display("{operation} at {bind_address}: {source}"))]
pub struct ServerError {
    operation: &'static str,
    bind_address: SocketAddr,
    source: io::Error,
}

/// Error of a handler by which the connection is cut without a response.
#[derive(Debug, Snafu)]
#[snafu(display("connection cut by an injected fault"))]
pub struct ConnectionCut;

/// Result of a request: the response, or a cut of the connection.
pub type HandlerResult = Result<Response<Body>, ConnectionCut>;

/// A response that is written to the connection byte by byte as given, and then ends the
/// connection. A handler returns it as an extension of an otherwise empty response.
#[derive(Clone, Debug)]
pub struct RawResponse {
    /// Head and body, with the time to wait before each part.
    pub parts: Vec<(Duration, Bytes)>,
    /// Bytes that are repeated after the parts until the peer closes the connection.
    pub repeated: Option<Bytes>,
    /// Whether the connection ends with a reset instead of an orderly close.
    pub reset: bool,
}

/// Handler of the requests to a server.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = HandlerResult> + Send;

    /// Receiver of crashes, each of which cuts all connections; none if the server never crashes.
    fn crashes(&self) -> Option<watch::Receiver<u32>> {
        None
    }

    /// Whether the server is down after a crash, so that new connections are reset.
    fn is_down(&self) -> bool {
        false
    }
}

/// A running server; dropping it closes its listener and all connections at once.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Starts a server that listens on an address and runs in a thread of its own; port 0 selects
    /// a free port.
    ///
    /// # Errors
    ///
    /// Fails if the runtime can't be built or the server can't listen on the address.
    pub fn start<H: Handler>(address: SocketAddr, handler: Arc<H>) -> Result<Self, ServerError> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .context(ServerSnafu {
                operation: "build runtime",
                bind_address: address,
            })?;
        let listener = runtime
            .block_on(TcpListener::bind(address))
            .context(ServerSnafu {
                operation: "listen",
                bind_address: address,
            })?;
        let address = listener.local_addr().context(ServerSnafu {
            operation: "read address",
            bind_address: address,
        })?;
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(move || run(&runtime, listener, handler, stopped));
        Ok(Self {
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Address on which the server listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run<H: Handler>(
    runtime: &Runtime,
    listener: TcpListener,
    handler: Arc<H>,
    stopped: oneshot::Receiver<()>,
) {
    runtime.block_on(async {
        tokio::select! {
            () = accept(listener, handler) => {}
            _ = stopped => {}
        }
    });
}

async fn accept<H: Handler>(listener: TcpListener, handler: Arc<H>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            if handler.is_down() {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                continue;
            }
            let crashes = handler.crashes();
            let connection = serve(stream, Arc::clone(&handler));
            tokio::spawn(async move {
                tokio::select! {
                    () = connection => {}
                    () = await_crash(crashes) => {}
                }
            });
        }
    }
}

async fn await_crash(crashes: Option<watch::Receiver<u32>>) {
    let ended = match crashes {
        Some(mut crashes) => crashes.changed().await.is_ok(),
        None => false,
    };
    if !ended {
        core::future::pending::<()>().await;
    }
}

async fn serve<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    let raw_slot = Arc::new(Mutex::new(None));
    // Without a file descriptor for the second handle, the connection is dropped.
    let Ok((stream, raw_stream)) = share(stream) else {
        return;
    };
    let service = service_fn(|request| {
        let handler = Arc::clone(&handler);
        let raw_slot = Arc::clone(&raw_slot);
        async move {
            let mut response = handler.handle(request).await?;
            match response.extensions_mut().remove::<RawResponse>() {
                None => Ok(response),
                Some(raw) => {
                    *raw_slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(raw);
                    Err(ConnectionCut)
                }
            }
        }
    });
    // Errors are ignored because tests cut connections on purpose.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    let raw = raw_slot
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .take();
    if let Some(raw) = raw {
        let _ = write_raw(raw_stream, raw).await;
    }
}

/// A second handle of a stream, which stays open when the first one is dropped.
fn share(stream: TcpStream) -> io::Result<(TcpStream, TcpStream)> {
    let stream = stream.into_std()?;
    let second = stream.try_clone()?;
    Ok((TcpStream::from_std(stream)?, TcpStream::from_std(second)?))
}

async fn write_raw(mut stream: TcpStream, raw: RawResponse) -> io::Result<()> {
    for (delay, bytes) in raw.parts {
        sleep(delay).await;
        stream.write_all(&bytes).await?;
    }
    if let Some(bytes) = raw.repeated {
        loop {
            stream.write_all(&bytes).await?;
            // Lets other connections of the stand-in proceed.
            tokio::task::yield_now().await;
        }
    }
    if raw.reset {
        // The peer reads what was sent before it sees the reset.
        sleep(RESET_DELAY).await;
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))
    } else {
        stream.shutdown().await
    }
}
