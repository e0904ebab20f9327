//! Every way in which an answer can end, on every kind of route: what a caller of a relay process
//! sees, byte by byte.

mod relay;

use core::{net::SocketAddr, time::Duration};
use googletest::prelude::*;
use poplarswitch_deployment::{
    AnswerCut, AnswerEnd, AnswerFraming, AnswerShape, CallRequest, Configuration, EarlyEnd,
    EarlyEndpoint, EarlyPlan, EndpointKind, SIGNATURE_HEADER, body_parts,
};
use relay::{Fleet, KEYS, wait_until};
use rustix::process::Signal;
use std::{
    io::{ErrorKind, Read as _, Write as _},
    net::TcpStream,
    thread,
};

/// Time limit for a response.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of events in a whole stream.
const EVENT_COUNT: u32 = 4;
const CUTS: [AnswerCut; 6] = [
    AnswerCut::Whole,
    AnswerCut::AfterHead,
    AnswerCut::InsidePart(0),
    AnswerCut::AfterPart(1),
    AnswerCut::InsidePart(1),
    AnswerCut::AfterPart(3),
];

/// A kind of route, with a path on it.
#[derive(Clone, Copy, Debug)]
struct RouteCase {
    path: &'static str,
    kind: EndpointKind,
    resumable: bool,
}

const ROUTES: [RouteCase; 4] = [
    RouteCase {
        path: "/brief/1",
        kind: EndpointKind::Engine,
        resumable: true,
    },
    RouteCase {
        path: "/chat/1",
        kind: EndpointKind::Engine,
        resumable: false,
    },
    RouteCase {
        path: "/seats/1",
        kind: EndpointKind::Service,
        resumable: false,
    },
    RouteCase {
        path: "/book/1",
        kind: EndpointKind::Service,
        resumable: false,
    },
];

/// All that a caller receives on a connection.
#[derive(Debug)]
struct Received {
    status: u16,
    head: String,
    rest: Vec<u8>,
    reset: bool,
}

impl Received {
    fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// The body, if it looks whole by its framing.
    fn framed_body(&self) -> Option<Vec<u8>> {
        if let Some(length) = self.header("content-length") {
            (self.rest.len() == length.parse::<usize>().unwrap()).then(|| self.rest.clone())
        } else if self.header("transfer-encoding").is_some() {
            decode_chunks(&self.rest)
        } else {
            (!self.reset).then(|| self.rest.clone())
        }
    }

    /// The body, if the answer looks whole: by its framing and, for a stream, by its last event.
    fn whole_body(&self, is_stream: bool) -> Option<String> {
        let body = String::from_utf8(self.framed_body()?).unwrap();
        let is_whole = !is_stream || body.is_empty() || body.ends_with("\n\n");
        is_whole.then_some(body)
    }

    fn is_close_framed(&self) -> bool {
        self.header("content-length").is_none() && self.header("transfer-encoding").is_none()
    }
}

fn decode_chunks(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = rest.windows(2).position(|w| w == b"\r\n")?;
        let size = core::str::from_utf8(&rest[..end]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        rest = &rest[end + 2..];
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(rest.get(..size)?);
        rest = rest.get(size + 2..)?;
    }
}

/// Makes a call on a new connection and reads until the connection ends.
fn raw_call(vm: SocketAddr, version: &str, path: &str, id: &str) -> Received {
    raw_request(vm, version, &CallRequest::new(id, path, KEYS[0]))
}

fn raw_request(vm: SocketAddr, version: &str, request: &CallRequest<'_>) -> Received {
    let id = request.id;
    let mut stream = TcpStream::connect(vm).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let bytes = request.to_bytes(Configuration::host(), version);
    stream.write_all(&bytes).unwrap();
    let mut bytes = Vec::new();
    let reset = match stream.read_to_end(&mut bytes) {
        Ok(_) => false,
        Err(error) if error.kind() == ErrorKind::ConnectionReset => true,
        Err(error) => panic!("{id}: {error}"),
    };
    let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        assert!(reset, "{id}: {:?}", String::from_utf8_lossy(&bytes));
        return Received {
            status: 0,
            head: String::new(),
            rest: Vec::new(),
            reset,
        };
    };
    let head = String::from_utf8(bytes[..end].to_vec()).unwrap();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    Received {
        status,
        head,
        rest: bytes[end + 4..].to_vec(),
        reset,
    }
}

fn start_fleet(net: u8) -> Fleet {
    let fleet = Fleet::start(net, 1);
    for endpoint in &fleet.endpoints {
        endpoint.update_behaviour(|behaviour| {
            behaviour.run_time = Duration::ZERO;
            behaviour.event_count = EVENT_COUNT;
            behaviour.event_interval = Duration::from_millis(3);
        });
    }
    fleet
}

/// Views that a caller may have of an answer that its first endpoint sent in a shape.
fn check(route: RouteCase, shape: AnswerShape, id: &str, received: &Received) {
    let is_stream = route.kind == EndpointKind::Engine;
    let seen = received.whole_body(is_stream);
    let endpoint = received.header(SIGNATURE_HEADER).unwrap_or_default();
    let parts = body_parts(route.kind, id, endpoint, EVENT_COUNT);
    let sent = shape.sent(&parts).concat();
    let whole = parts.concat();
    let case = format!("{route:?} {shape:?} {id}: {received:?}");
    let framed = match (shape.framing, shape.end) {
        (AnswerFraming::Length | AnswerFraming::Chunked, AnswerEnd::Framed) => true,
        (AnswerFraming::Length, _) => sent == whole,
        _ => false,
    };
    let inside_event = is_stream && matches!(shape.cut, AnswerCut::InsidePart(_));
    let may_be_whole = shape.framing == AnswerFraming::Close
        && shape.end != AnswerEnd::Reset
        && shape.cut != AnswerCut::AfterHead;
    let succeeded = received.status == 200;
    if framed && !inside_event {
        expect_that!(seen, some(eq(&sent)), "{case}");
    } else if may_be_whole && !inside_event {
        // The caller knows as much as the VM: the end of the connection is the end of the answer.
        expect_that!(seen, some(eq(&sent)), "{case}");
        expect_that!(received.is_close_framed(), eq(true), "{case}");
    } else if route.resumable && sent.contains("\n\n") {
        expect_that!(seen, some(eq(&whole)), "{case}");
    } else {
        expect_that!(succeeded && seen.is_some(), eq(false), "{case}");
    }
}

/// Plays all shapes of answers on all routes for callers of one version of the protocol.
fn check_all_shapes(net: u8, version: &str) {
    let fleet = start_fleet(net);
    let mut count = 0;
    for framing in [
        AnswerFraming::Length,
        AnswerFraming::Chunked,
        AnswerFraming::Close,
    ] {
        for cut in CUTS {
            for end in [AnswerEnd::Framed, AnswerEnd::Closed, AnswerEnd::Reset] {
                let shape = AnswerShape { framing, cut, end };
                for endpoint in &fleet.endpoints {
                    endpoint.update_behaviour(|behaviour| behaviour.shape = Some(shape));
                }
                for route in ROUTES {
                    count += 1;
                    let id = format!("b{count}");
                    let received = raw_call(fleet.address(0), version, route.path, &id);
                    check(route, shape, &id, &received);
                }
            }
        }
    }
}

/// An answer without length and chunks that was broken off, or a stream that ended inside an event,
/// reached its caller framed as complete.
#[gtest]
fn broken_answer_never_looks_whole_to_its_caller() {
    check_all_shapes(21, "HTTP/1.1");
}

/// To a caller of HTTP/1.0, the end of a broken answer's connection was the end of the answer.
#[gtest]
fn broken_answer_never_looks_whole_to_a_caller_without_chunks() {
    check_all_shapes(22, "HTTP/1.0");
}

/// Size of an upload; more than a connection takes whose receiver does not read.
const UPLOAD_BYTES: usize = 900_000;
/// Time after which a connection is reset whose answer has ended.
const LATE_RESET: Duration = Duration::from_millis(50);
/// An answer without a length that ends in order.
const SHORT_ANSWER: EarlyPlan = EarlyPlan {
    read_first: usize::MAX,
    status: "200",
    body: "id: 1\ndata: early\n\n",
    has_length: false,
    end: EarlyEnd::EndsThenReads,
};

/// A VM whose only endpoint answers as planned.
struct EarlyFleet {
    fleet: Fleet,
    endpoint: EarlyEndpoint,
    /// Number of incarnations of the endpoint.
    count: u64,
}

impl EarlyFleet {
    fn start(net: u8) -> Self {
        let mut fleet = Fleet::new(net, 1);
        for endpoint in &fleet.endpoints {
            fleet.store.unregister(&endpoint.name());
        }
        fleet.start_all();
        fleet.await_ready();
        Self {
            fleet,
            endpoint: EarlyEndpoint::start(SHORT_ANSWER).unwrap(),
            count: 0,
        }
    }

    /// Makes a call to a new incarnation of the endpoint, which the VM has no opinion of yet.
    fn call(&mut self, route: RouteCase, version: &str, plan: EarlyPlan, body: &[u8]) -> Received {
        self.count += 1;
        let service = match route.kind {
            EndpointKind::Engine => "engines",
            EndpointKind::Service => "booking",
        };
        let store = &self.fleet.store;
        store.unregister(&format!("early-{}.", self.count - 1));
        let name = format!("early-{}.", self.count);
        store.register(&name, self.endpoint.entry(service, "bole", self.count));
        wait_until("the VM knows the endpoint", || {
            self.fleet.log(0).contains(&name)
        });
        self.endpoint.set_plan(plan);
        let before = self.endpoint.arrivals();
        let id = format!("e{}", self.count);
        // No two calls are alike, so that none is held for what another one did to the endpoint.
        let path = format!("{}{}", route.path, self.count);
        let prompt = format!("{0:x}0:800,{0:x}1:100", self.count);
        let request = CallRequest {
            body,
            prompt: &prompt,
            ..CallRequest::new(&id, &path, KEYS[0])
        };
        let received = raw_request(self.fleet.address(0), version, &request);
        expect_that!(self.endpoint.arrivals(), gt(before), "{route:?} {plan:?}");
        received
    }
}

/// An answer without a length was taken for complete although its endpoint had ended the connection
/// before the request was written, and reset it later (MIXED).
#[gtest]
fn answer_that_ends_during_the_upload_and_is_reset_is_incomplete() {
    let mut early = EarlyFleet::start(126);
    let upload = vec![b'x'; UPLOAD_BYTES];
    for route in ROUTES {
        let is_stream = route.kind == EndpointKind::Engine;
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            for end in [
                EarlyEnd::EndsThenResets(LATE_RESET),
                EarlyEnd::Reset(LATE_RESET),
                EarlyEnd::Reset(Duration::ZERO),
            ] {
                for read_first in [0, 100_000] {
                    let plan = EarlyPlan {
                        read_first,
                        end,
                        ..SHORT_ANSWER
                    };
                    let received = early.call(route, version, plan, &upload);
                    let seen = received.whole_body(is_stream);
                    let is_believed = received.status == 200 && seen.is_some();
                    expect_that!(is_believed, eq(false), "{route:?} {plan:?} {received:?}");
                }
            }
        }
    }
}

/// The other side: an endpoint may answer before it has read the request, and read on.
#[gtest]
fn answer_that_ends_during_the_upload_is_complete_if_the_request_is_read() {
    let mut early = EarlyFleet::start(127);
    let upload = vec![b'x'; UPLOAD_BYTES];
    for route in ROUTES {
        for read_first in [0, 100_000, UPLOAD_BYTES] {
            let plan = EarlyPlan {
                read_first,
                ..SHORT_ANSWER
            };
            let before = early.endpoint.whole_requests();
            let received = early.call(route, "HTTP/1.1", plan, &upload);
            let seen = received.whole_body(route.kind == EndpointKind::Engine);
            wait_until("the endpoint has the whole request", || {
                early.endpoint.whole_requests() > before
            });
            let expected = SHORT_ANSWER.body.to_owned();
            expect_that!(received.status, eq(200), "{route:?} {plan:?}");
            expect_that!(seen, some(eq(&expected)), "{route:?} {plan:?}");
        }
    }
}

/// Statuses that are none reached callers as answers: 101 without a request for it, and those above 599
/// (MIXED).
#[gtest]
fn status_that_is_none_is_no_answer() {
    let mut early = EarlyFleet::start(128);
    for route in ROUTES {
        for status in ["000", "099", "101", "199", "600", "999"] {
            for has_length in [true, false] {
                let plan = EarlyPlan {
                    status,
                    has_length,
                    ..SHORT_ANSWER
                };
                let received = early.call(route, "HTTP/1.1", plan, b"body");
                expect_that!(received.status, eq(502), "{route:?} {plan:?}");
            }
        }
    }
}

/// Size of an answer that a caller doesn't read for long; its kernel takes a part of it.
const LARGE_BYTES: usize = 600_000;
/// Time in which a VM passes such an answer on to its kernel.
const PASS_TIME: Duration = Duration::from_secs(1);

/// A VM that exited reset the connection of a caller that had not read all of an answer without a length,
/// though the kernel had all of it (LOST).
#[gtest]
fn whole_answer_without_length_outlives_its_vm() {
    let body: &'static str = Box::leak("x".repeat(LARGE_BYTES).into_boxed_str());
    let mut early = EarlyFleet::start(227);
    early.endpoint.set_plan(EarlyPlan {
        body,
        ..SHORT_ANSWER
    });
    let entry = early.endpoint.entry("booking", "bole", 1);
    early.fleet.store.register("early-1.", entry);
    wait_until("the VM knows the endpoint", || {
        early.fleet.log(0).contains("early-1.")
    });
    for signal in [Signal::TERM, Signal::KILL] {
        let address = early.fleet.address(0);
        let streams = ["HTTP/1.1", "HTTP/1.0"].map(|version| {
            let request = CallRequest::new("whole", "/seats/1", KEYS[0]);
            let mut stream = TcpStream::connect(address).unwrap();
            let bytes = request.to_bytes(Configuration::host(), version);
            stream.write_all(&bytes).unwrap();
            stream
        });
        thread::sleep(PASS_TIME);
        early.fleet.signal(0, signal);
        early.fleet.await_exit(0);
        for mut stream in streams {
            let mut answer = String::new();
            let end = stream.read_to_string(&mut answer);
            let end = end.map_err(|error| error.kind());
            expect_that!(end, ok(gt(LARGE_BYTES)), "{signal:?}");
            expect_that!(answer.contains(" 200 "), eq(true), "{signal:?}");
        }
        early.fleet.start_process(0);
        early.fleet.await_ready();
    }
}
