//! Trials that endpoints refuse, and connections of callers that outlast a suspension or a new
//! configuration.

#[allow(dead_code, reason = "this test target uses only some of the items")]
mod culprits;
mod relay;

use core::time::Duration;
use culprits::{
    ALWAYS, CONTACT_TIME, MAX_LATE_SENDS, Made, Plan, Subject, account, crash_endpoints_on,
    third_crash, with_callers,
};
use googletest::prelude::*;
use poplarswitch_deployment::{CallRequest, Configuration, CrashPoint, EndpointKind};
use relay::{Fleet, KEYS, wait_until};
use rustix::process::Signal;
use std::{
    io::{self, Read as _, Write as _},
    net::TcpStream,
    thread,
    time::Instant,
};

/// Number of VMs.
const VM_COUNT: u8 = 3;
/// Interval at which a caller repeats a request.
const PAUSE: Duration = Duration::from_millis(150);
/// Time for which a request is repeated after it must be known.
const WATCHED_TIME: Duration = Duration::from_secs(10);
/// Number of idle connections.
const CONNECTION_COUNT: usize = 40;
/// Time-out of idle connections of callers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit for connection attempts and answers.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// A request that had crashed three endpoints was sent again and again while all endpoints were full:
/// a trial that an endpoint refuses is given back without a limit.
#[gtest]
fn trials_that_full_endpoints_refuse_are_limited() {
    let mut fleet = Fleet::new(120, VM_COUNT);
    fleet.add_endpoint("booking-3", EndpointKind::Service);
    fleet.start_all();
    fleet.await_ready();
    thread::sleep(CONTACT_TIME);
    let subject = Subject::get("/seats/bad");
    let request = |_| subject.clone();
    let plans = [[0], [1], [2]];
    let plans = plans.each_ref().map(|vms| Plan {
        vms,
        pause: PAUSE,
        request: &request,
        active: &ALWAYS,
        repeats: false,
    });
    // Since it is answered well first, it is held only some time after its third crash.
    let made = with_callers(&mut fleet, &plans, |fleet| {
        fleet.register_for(Duration::from_secs(1));
        crash_endpoints_on(
            fleet,
            EndpointKind::Service,
            &[&subject],
            CrashPoint::BeforeHead,
        );
        fleet.register_until(|fleet| third_crash(fleet, &subject).is_some());
        for endpoint in &fleet.endpoints {
            endpoint.update_behaviour(|behaviour| behaviour.decline = true);
        }
        fleet.register_for(CONTACT_TIME + WATCHED_TIME);
    });
    let held = made.iter().flatten().filter(|call: &&Made| call.held);
    expect_that!(held.count(), gt(0));
    let account = account(&fleet, &subject, &made, &[]);
    expect_that!(account.late, le(MAX_LATE_SENDS), "{account:?}");
}

/// A connection of a caller, without a buffer.
struct Connection(TcpStream);

impl Connection {
    fn open(fleet: &Fleet) -> Self {
        let stream = TcpStream::connect(fleet.address(0)).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        Self(stream)
    }

    /// Sends a call whose head has `fill` bytes more than it needs.
    fn send(&mut self, id: &str, fill: usize) -> io::Result<()> {
        let path = format!("/seats/1?fill={}", "f".repeat(fill));
        let request = CallRequest::new(id, &path, KEYS[0]);
        let bytes = request.to_bytes(Configuration::host(), "HTTP/1.1");
        let text = String::from_utf8_lossy(&bytes).replace("connection: close\r\n", "");
        self.0.write_all(text.as_bytes())
    }

    /// The beginning of an answer; empty if the connection has ended.
    fn receive(&mut self) -> String {
        let mut bytes = [0; 4_096];
        let length = self.0.read(&mut bytes).unwrap_or(0);
        String::from_utf8_lossy(&bytes[..length]).into_owned()
    }
}

/// Starts a VM with a configuration that differs from the sample in its limits.
fn start_with_limits(net: u8, limits: &[(&str, u64)]) -> Fleet {
    let mut fleet = Fleet::new(net, 1);
    configure_limits(&fleet, 2, limits);
    fleet.start_all();
    fleet.await_ready();
    fleet
}

fn configure_limits(fleet: &Fleet, version: u64, limits: &[(&str, u64)]) {
    let Configuration(mut changed) = Configuration::sample(version, &KEYS);
    for (name, value) in limits {
        changed["limits"][*name] = (*value).into();
    }
    fleet.store.configure(&Configuration(changed));
}

/// A VM that had been suspended closed connections of callers as idle whose next request had arrived
/// in time.
#[gtest]
fn suspended_vm_reads_requests_before_it_closes_idle_connections() {
    let timeout = IDLE_TIMEOUT.as_millis() as u64;
    let fleet = start_with_limits(121, &[("idle_timeout_ms", timeout)]);
    let mut connections: Vec<Connection> = (0..CONNECTION_COUNT)
        .map(|_| Connection::open(&fleet))
        .collect();
    for (number, connection) in connections.iter_mut().enumerate() {
        connection.send(&format!("first-{number}"), 0).unwrap();
        expect_that!(connection.receive(), starts_with("HTTP/1.1 200"));
    }
    let idle_since = Instant::now();
    thread::sleep(IDLE_TIMEOUT / 2);
    fleet.signal(0, Signal::STOP);
    for (number, connection) in connections.iter_mut().enumerate() {
        connection.send(&format!("second-{number}"), 0).unwrap();
    }
    thread::sleep((IDLE_TIMEOUT * 3 / 2).saturating_sub(idle_since.elapsed()));
    fleet.signal(0, Signal::CONT);
    let answers = connections.iter_mut().map(Connection::receive);
    let served = answers.filter(|answer| answer.starts_with("HTTP/1.1 200"));
    expect_that!(served.count(), eq(CONNECTION_COUNT));
    // Connections that stay idle are closed as before.
    let ended = connections.iter_mut();
    let ended = ended.filter(|connection| matches!((&connection.0).read(&mut [0]), Ok(0)));
    expect_that!(ended.count(), eq(CONNECTION_COUNT));
}

/// A request on an open connection was refused with 431, though a new configuration had raised the
/// limit of heads long before.
#[gtest]
fn open_connection_takes_heads_within_a_limit_that_has_been_raised() {
    const LIMIT: u64 = 16_384;
    let fleet = start_with_limits(122, &[("max_header_bytes", LIMIT)]);
    let mut open = Connection::open(&fleet);
    open.send("before", 1_000).unwrap();
    expect_that!(open.receive(), starts_with("HTTP/1.1 200"));
    configure_limits(&fleet, 3, &[("max_header_bytes", 3 * LIMIT)]);
    wait_until("the configuration is applied", || {
        fleet.log(0).contains("\"version\":3,\"before\":2")
    });
    thread::sleep(Duration::from_secs(1));
    let long = 2 * LIMIT as usize;
    let mut new = Connection::open(&fleet);
    new.send("new", long).unwrap();
    expect_that!(new.receive(), starts_with("HTTP/1.1 200"), "new");
    open.send("open", long).unwrap();
    expect_that!(open.receive(), starts_with("HTTP/1.1 200"), "open");
}
