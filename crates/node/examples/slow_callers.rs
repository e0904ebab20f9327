//! Compares a server on `astra` with the callers' port of a node while idle connections are open.
//!
//! As many connections as the server can serve at the same time are opened and send nothing. The
//! example measures whether, and after which time, a request on a further connection is answered.

use core::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Duration,
};
use poplarswitch_node::{Node, Setup};
use poplarswitch_settings::{Addresses, Limits, Secret, Secrets, Settings};
use std::{
    io::{Read as _, Write as _},
    net::TcpStream,
    thread,
    time::Instant,
};

/// Loopback address with port 0, for which the system chooses a free port.
const LOOPBACK_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));
/// Number of workers of the `astra` server, and limit on the connections of the callers' port.
const MAX_CONNECTIONS: u32 = 16;
/// Time within which a caller must send the head of a call.
const HEAD_TIMEOUT_MS: u32 = 1_000;
/// Longest wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

fn main() {
    let server = astra::Server::bind(LOOPBACK_ADDRESS).max_workers(MAX_CONNECTIONS as usize);
    let address = server.local_addr().expect("a local address");
    thread::spawn(move || server.serve(|_, _| astra::Response::new(astra::Body::new("ok"))));
    measure("astra", address);
    let settings = Settings::builder()
        .vm("vm-1")
        .data_centre("d")
        .cell("c")
        .addresses(Addresses::loopback())
        .limits(
            Limits::builder()
                .connections(MAX_CONNECTIONS)
                .head_ms(HEAD_TIMEOUT_MS)
                .build(),
        )
        .build();
    let secrets = Secrets {
        operators: Secret::new("o"),
        peers: Secret::new("p"),
    };
    let setup = Setup::builder().settings(settings).secrets(secrets).build();
    let node = Node::start(setup).expect("node starts");
    measure("callers' port", node.addresses().callers);
}

/// Prints whether and after which time a server answers while idle connections are open.
fn measure(name: &str, address: SocketAddr) {
    let idle: Vec<TcpStream> = (0..MAX_CONNECTIONS)
        .map(|_| TcpStream::connect(address).expect("connection opens"))
        .collect();
    thread::sleep(Duration::from_millis(200));
    let started = Instant::now();
    let mut answered = false;
    while !answered && started.elapsed() < RESPONSE_TIMEOUT {
        answered = is_answered(address);
        if !answered {
            thread::sleep(RETRY_INTERVAL);
        }
    }
    let millis = started.elapsed().as_millis();
    let outcome = if answered { "answered" } else { "not answered" };
    println!(
        "{name}: {} idle connections, {outcome} after {millis} ms",
        idle.len()
    );
}

/// Whether a health check on a new connection is answered with status 200.
fn is_answered(address: SocketAddr) -> bool {
    let request = || {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")?;
        let mut head = [0; 12];
        stream.read_exact(&mut head)?;
        Ok::<_, std::io::Error>(head.ends_with(b"200"))
    };
    request().unwrap_or(false)
}
