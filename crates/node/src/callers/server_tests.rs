use super::server::{PortState, serve};
use crate::{Setup, shared::Shared};
use core::{net::SocketAddr, time::Duration};
use crossbeam::channel::unbounded;
use googletest::prelude::*;
use poplarswitch_entity::Incarnation;
use poplarswitch_settings::{Addresses, Secret, Secrets, Settings};
use poplarswitch_wire::Phase;
use std::{
    io::{Read as _, Write as _},
    net::{TcpListener, TcpStream},
    sync::Arc,
};
use tokio::{
    runtime::{Builder, Runtime},
    sync::watch,
    task::JoinHandle,
    time::{sleep, timeout},
};

const REQUEST: &[u8] = b"GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n";
/// Longest wait for a condition; after it the test fails.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// A callers' port of a VM that has drained, whose tasks run only while a method waits.
struct DrainedPort {
    runtime: Runtime,
    shared: Arc<Shared>,
    listener: Option<TcpListener>,
    address: SocketAddr,
    state: watch::Sender<PortState>,
}

impl DrainedPort {
    fn new(state: PortState) -> Self {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let settings = Settings::builder()
            .vm("vm-1")
            .data_centre("ifrane")
            .cell("atlas")
            .addresses(Addresses::loopback())
            .build();
        let secrets = Secrets {
            operators: Secret::new("operators"),
            peers: Secret::new("peers"),
        };
        let setup = Setup::builder().settings(settings).secrets(secrets).build();
        let (events, _) = unbounded();
        let handle = runtime.handle().clone();
        let shared = Arc::new(Shared::new(setup, Incarnation(1), handle, events));
        shared.set_phase(Phase::Drained);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        Self {
            runtime,
            shared,
            address: listener.local_addr().unwrap(),
            listener: Some(listener),
            state: watch::channel(state).0,
        }
    }

    /// Starts to serve the port; the task ends when no more connections are accepted.
    fn start(&mut self) -> JoinHandle<()> {
        let listener = self.listener.take().unwrap();
        let (shared, state) = (Arc::clone(&self.shared), self.state.subscribe());
        self.runtime.spawn(async move {
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            serve(shared, listener, state).await;
        })
    }

    /// Waits until a number of connections are open.
    fn wait_for_connections(&self, count: i64) {
        let reached = async {
            while self.shared.counters.connections.get() != count {
                sleep(Duration::from_millis(1)).await;
            }
        };
        self.runtime
            .block_on(async { timeout(WAIT_TIMEOUT, reached).await })
            .unwrap();
    }
}

fn read_response(mut stream: TcpStream) -> String {
    let mut response = String::new();
    drop(stream.read_to_string(&mut response));
    response
}

/// A call was reset when its connection was open but not accepted yet as the VM closed its port.
#[gtest]
fn waiting_connections_are_served_when_the_port_closes() {
    let mut port = DrainedPort::new(PortState::Closing);
    let mut streams: Vec<TcpStream> = (0..20)
        .map(|_| TcpStream::connect(port.address).unwrap())
        .collect();
    for stream in &mut streams {
        stream.write_all(REQUEST).unwrap();
    }
    let serving = port.start();
    port.runtime.block_on(serving).unwrap();
    // The process ends once no connection is counted.
    expect_that!(port.shared.counters.connections.get(), eq(20));
    port.wait_for_connections(0);
    for stream in streams {
        expect_that!(read_response(stream), starts_with("HTTP/1.1 503"));
    }
}

/// A call was lost when its connection was accepted but had brought nothing as the VM closed its
/// port.
#[gtest]
fn first_call_on_an_accepted_connection_is_refused_after_the_port_closes() {
    let mut port = DrainedPort::new(PortState::Open);
    let serving = port.start();
    let mut stream = TcpStream::connect(port.address).unwrap();
    port.wait_for_connections(1);
    port.state.send_replace(PortState::Closing);
    port.runtime.block_on(serving).unwrap();
    // Lets the connection's task see the change.
    port.runtime
        .block_on(async { sleep(Duration::from_millis(5)).await });
    stream.write_all(REQUEST).unwrap();
    port.wait_for_connections(0);
    expect_that!(read_response(stream), starts_with("HTTP/1.1 503"));
}
