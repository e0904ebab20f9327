//! An HTTP server that can be stopped at any moment, as by a crash of its process.

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

/// Handler of the requests to a server.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = HandlerResult> + Send;
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
            tokio::spawn(serve(stream, Arc::clone(&handler)));
        }
    }
}

async fn serve<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { handler.handle(request).await }
    });
    // Errors are ignored because tests cut connections on purpose.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
