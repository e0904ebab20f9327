//! Compares a port on `astra` with the callers' port when callers connect and send nothing.
//!
//! Both ports serve the same number of connections or workers at once; the question is
//! whether, and after how long, a caller that behaves is still answered.

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

const ANY: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));
/// Workers, or connections, of each port.
const PLACES: u32 = 16;
/// Longest time for a caller to send the head of a call, in milliseconds.
const HEAD_MS: u32 = 1_000;
/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(10);
/// Wait between two attempts.
const AGAIN: Duration = Duration::from_millis(50);

fn main() {
    let server = astra::Server::bind(ANY).max_workers(PLACES as usize);
    let address = server.local_addr().expect("an address");
    thread::spawn(move || server.serve(|_, _| astra::Response::new(astra::Body::new("ok"))));
    report("astra", address);
    let settings = Settings::builder()
        .vm("vm-1")
        .data_centre("d")
        .cell("c")
        .addresses(Addresses::loopback())
        .limits(
            Limits::builder()
                .connections(PLACES)
                .head_ms(HEAD_MS)
                .build(),
        )
        .build();
    let secrets = Secrets {
        operators: Secret::new("o"),
        peers: Secret::new("p"),
    };
    let setup = Setup::builder().settings(settings).secrets(secrets).build();
    let node = Node::start(setup).expect("node starts");
    report("callers' port", node.addresses().callers);
}

fn report(name: &str, address: SocketAddr) {
    let idle: Vec<TcpStream> = (0..PLACES)
        .map(|_| TcpStream::connect(address).expect("connects"))
        .collect();
    thread::sleep(Duration::from_millis(200));
    let began = Instant::now();
    let mut answered = false;
    while !answered && began.elapsed() < PATIENCE {
        answered = asks(address);
        if !answered {
            thread::sleep(AGAIN);
        }
    }
    let millis = began.elapsed().as_millis();
    let outcome = if answered { "answered" } else { "not answered" };
    println!(
        "{name}: {} idle connections, {outcome} after {millis} ms",
        idle.len()
    );
}

fn asks(address: SocketAddr) -> bool {
    let ask = || {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")?;
        let mut head = [0; 12];
        stream.read_exact(&mut head)?;
        Ok::<_, std::io::Error>(head.ends_with(b"200"))
    };
    ask().unwrap_or(false)
}
