//! An HTTP server that can be ended like a crashed process.

use crate::body::Body;
use core::net::SocketAddr;
use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use std::{io, sync::Arc, thread};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::{Builder, Runtime},
    sync::oneshot,
};

/// A stand-in that could not start.
#[derive(Debug, Snafu)]
#[snafu(display("{step} at {peer}: {source}"))]
pub struct ServerError {
    step: &'static str,
    peer: SocketAddr,
    source: io::Error,
}

/// The connection is cut without an answer.
#[derive(Debug, Snafu)]
#[snafu(display("connection cut by an injected fault"))]
pub struct ConnectionCut;

/// What becomes of a request.
pub type HandlerResult = Result<Response<Body>, ConnectionCut>;

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = HandlerResult> + Send;
}

/// A running server; dropping it closes its port and all connections at once.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Listens on an address and answers in a thread of its own.
    pub fn start<H: Handler>(address: SocketAddr, handler: Arc<H>) -> Result<Self, ServerError> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .context(ServerSnafu {
                step: "build runtime",
                peer: address,
            })?;
        let listener = runtime
            .block_on(TcpListener::bind(address))
            .context(ServerSnafu {
                step: "listen",
                peer: address,
            })?;
        let address = listener.local_addr().context(ServerSnafu {
            step: "read address",
            peer: address,
        })?;
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(move || run(&runtime, listener, handler, stopped));
        Ok(Self {
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Where it listens.
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
            tokio::spawn(serve(stream, Arc::clone(&handler)));
        }
    }
}

async fn serve<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { handler.handle(request).await }
    });
    // A connection that its peer cuts is part of the tests.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
