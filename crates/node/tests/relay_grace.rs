//! Calls that arrive at each moment of the grace of a VM that was told to leave.

mod relay;

use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_deployment::{CallRequest, Configuration, LinkMode};
use relay::{Fleet, KEYS, wait_until};
use rustix::process::Signal;
use std::{
    io::{Read as _, Write as _},
    net::TcpStream,
    thread,
    time::Instant,
};

/// Time from the signal to the kill; from the settings.
const GRACE: Duration = Duration::from_secs(8);
/// Interval at which calls arrive.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time for which endpoints run a call.
const RUN_TIME: Duration = Duration::from_millis(1_800);
/// Number of calls that are under way when the signal comes, and how long before it they were made.
const EARLY_COUNT: usize = 6;
const EARLY_TIME: Duration = Duration::from_millis(400);
/// Time after the signal from which bodies come late.
const SLOW_FROM: Duration = Duration::from_millis(2_400);
/// Time for which a caller reads.
const READ_TIMEOUT: Duration = Duration::from_secs(9);
/// Time limit of calls that may end within the grace though they come in its second half.
const SHORT_LIMIT: Duration = Duration::from_millis(3_400);

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Served,
    /// Refused or not read, and not run.
    NotRun,
    /// Not answered, or answered with a failure, though an endpoint ran it; or refused on a connection
    /// that is not closed in order.
    Lost,
}

/// How a caller makes a call.
#[derive(Clone, Copy, Debug)]
struct Manner<'a> {
    path: &'a str,
    /// Whether a refusal is read until the connection is closed.
    closes: bool,
    /// Time between the head of the request and its body.
    body_delay: Duration,
    limit: Duration,
}

/// Calls of a path that callers wait for as long as they read.
fn calls(path: &str) -> Manner<'_> {
    Manner {
        path,
        closes: false,
        body_delay: Duration::ZERO,
        limit: READ_TIMEOUT,
    }
}

/// Whether an answer has a head and the whole body that it announces.
fn is_whole(answer: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1);
    match length.and_then(|text| text.lines().next()?.parse::<usize>().ok()) {
        Some(length) => body.len() >= length,
        None => body.ends_with("0\r\n\r\n"),
    }
}

/// Sends a call on a connection that stays open; returns the answer, empty if it is not whole.
fn exchange(stream: &mut TcpStream, id: &str, manner: Manner<'_>) -> String {
    let request = CallRequest {
        deadline: manner.limit,
        ..CallRequest::new(id, manner.path, KEYS[0])
    };
    let bytes = request.to_bytes(Configuration::host(), "HTTP/1.1");
    let text = String::from_utf8_lossy(&bytes).replace("connection: close\r\n", "");
    let (head, body) = text.split_at(text.len() - request.body.len());
    let mut send = |part: &str| stream.write_all(part.as_bytes()).is_ok();
    if !send(head) {
        return String::new();
    }
    thread::sleep(manner.body_delay);
    if !send(body) {
        return String::new();
    }
    let mut answer = String::new();
    let mut bytes = [0; 4_096];
    while !is_whole(&answer) {
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => return String::new(),
            Ok(length) => answer.push_str(&String::from_utf8_lossy(&bytes[..length])),
        }
    }
    while manner.closes && answer.starts_with("HTTP/1.1 503") {
        match stream.read(&mut bytes) {
            Ok(0) => break,
            Ok(_) => {}
            Err(error) => answer = format!("a refusal, then {error}"),
        }
    }
    answer
}

fn connect(fleet: &Fleet, vm: usize) -> Option<TcpStream> {
    let stream = TcpStream::connect(fleet.address(vm)).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    Some(stream)
}

/// Makes calls at a VM through the whole grace of VM 0, in turns on a new connection and on one that was
/// used before, late ones with a `body_delay`; returns when each was made after the signal, and how it
/// ended. Calls that were under way
/// when the signal came must be served.
fn play(fleet: &Fleet, vm: usize, manner: Manner<'_>) -> Vec<(Duration, String, End)> {
    let early_manner = Manner {
        closes: false,
        body_delay: Duration::ZERO,
        ..manner
    };
    let manner = Manner {
        closes: vm == 0,
        ..manner
    };
    let count = (GRACE.as_millis() / INTERVAL.as_millis()) as usize - 1;
    let ends = thread::scope(|scope| {
        let kept: Vec<_> = (0..count)
            .map(|n| {
                scope.spawn(move || {
                    let mut stream = (n % 2 == 0).then(|| connect(fleet, vm))??;
                    let answer = exchange(&mut stream, &format!("before-{vm}-{n}"), early_manner);
                    answer.starts_with("HTTP/1.1 200").then_some(stream)
                })
            })
            .collect();
        let kept: Vec<Option<TcpStream>> = kept.into_iter().map(|c| c.join().unwrap()).collect();
        let early: Vec<_> = (0..EARLY_COUNT)
            .map(|n| {
                scope.spawn(move || {
                    let stream = connect(fleet, vm);
                    let id = format!("early-{vm}-{n}");
                    stream.map(|mut stream| exchange(&mut stream, &id, early_manner))
                })
            })
            .collect();
        thread::sleep(EARLY_TIME);
        fleet.signal(0, Signal::TERM);
        let signalled = Instant::now();
        let calls: Vec<_> = kept
            .into_iter()
            .enumerate()
            .map(|(n, stream)| {
                scope.spawn(move || {
                    let at = INTERVAL * n as u32;
                    thread::sleep(at.saturating_sub(signalled.elapsed()));
                    let id = format!("late-{vm}-{n}");
                    let stream = stream.or_else(|| connect(fleet, vm));
                    let manner = if at < SLOW_FROM {
                        Manner {
                            body_delay: Duration::ZERO,
                            ..manner
                        }
                    } else {
                        manner
                    };
                    let answer = stream.map(|mut stream| exchange(&mut stream, &id, manner));
                    (at, id, answer.unwrap_or_default())
                })
            })
            .collect();
        let early = early.into_iter().map(|call| call.join().unwrap());
        let served = early.filter(|answer| {
            let answer = answer.as_deref().unwrap_or_default();
            answer.starts_with("HTTP/1.1 200")
        });
        expect_that!(served.count(), eq(EARLY_COUNT));
        let ends = calls.into_iter().map(|call| call.join().unwrap());
        ends.collect::<Vec<_>>()
    });
    let judge = |(at, id, answer): (Duration, String, String)| {
        let end = if answer.starts_with("HTTP/1.1 200") {
            End::Served
        } else if answer.starts_with("a refusal, then") {
            End::Lost
        } else if fleet.run_count(&id) == 0 {
            End::NotRun
        } else {
            End::Lost
        };
        let line = answer.lines().next().unwrap_or_default().to_owned();
        (at, line, end)
    };
    ends.into_iter().map(judge).collect()
}

/// Checks that no call was lost and that those which had time were served.
fn check(ends: &[(Duration, String, End)], served: usize) {
    let lost: Vec<_> = ends
        .iter()
        .filter(|(_, _, end)| *end == End::Lost)
        .collect();
    expect_that!(lost.len(), eq(0), "{lost:?}");
    let count = ends
        .iter()
        .filter(|(_, _, end)| *end == End::Served)
        .count();
    expect_that!(count, ge(served), "{ends:?}");
}

fn set_run_time(fleet: &Fleet, run_time: Duration) {
    for endpoint in &fleet.endpoints {
        endpoint.update_behaviour(|b| b.run_time = run_time);
    }
}

/// Calls that came late in the grace were passed on, and got a failure at its end (LOST); those that may
/// not be repeated among them.
#[gtest]
fn calls_that_cannot_end_within_the_grace_are_refused_and_not_run() {
    for (net, path) in [(213, "/book/1"), (214, "/seats/1")] {
        let fleet = Fleet::start(net, 2);
        set_run_time(&fleet, RUN_TIME);
        let manner = Manner {
            limit: SHORT_LIMIT,
            ..calls(path)
        };
        check(&play(&fleet, 0, manner), 20);
    }
}

/// The same for calls that were in time when their heads arrived, and late when their bodies had.
#[gtest]
fn calls_that_have_waited_too_long_are_not_sent() {
    let fleet = Fleet::start(219, 2);
    set_run_time(&fleet, RUN_TIME);
    let manner = Manner {
        body_delay: Duration::from_millis(3_200),
        ..calls("/book/1")
    };
    check(&play(&fleet, 0, manner), 12);
}

/// Streams that can't be resumed were accepted and cut at the end of the grace (LOST).
#[gtest]
fn streams_that_can_not_be_resumed_are_accepted_only_if_they_end_in_time() {
    let fleet = Fleet::start(220, 2);
    for endpoint in &fleet.endpoints {
        endpoint.update_behaviour(|b| {
            b.event_count = 50;
            b.event_interval = Duration::from_millis(100);
        });
    }
    check(&play(&fleet, 0, calls("/chat/1")), 5);
}

/// The same for calls that another VM forwards to the one that leaves; it stops as soon as it hears of that.
#[gtest]
fn forwarded_calls_that_cannot_end_within_the_grace_do_not_run() {
    let fleet = Fleet::start_linked(215, 2);
    fleet.set_links(1, LinkMode::Resets);
    wait_until("calls are forwarded", || {
        let (id, response) = fleet.call(1, "/book/1");
        response.is_ok_and(|response| response.status == 200) && fleet.run_count(&id) == 1
    });
    set_run_time(&fleet, RUN_TIME);
    check(&play(&fleet, 1, calls("/book/1")), 0);
}

/// Calls that came late in the grace were accepted because shorter ones of their route had been seen, and
/// ended at the exit (LOST). Calls whose limits end in time are served.
#[gtest]
fn calls_without_a_bound_within_the_grace_are_refused_late_though_others_were_short() {
    let fleet = Fleet::start(221, 2);
    for path in ["/chat/1", "/seats/1", "/book/1"] {
        let (_, answer) = fleet.call(0, path);
        expect_that!(answer.map(|answer| answer.status), ok(eq(&200)));
    }
    for endpoint in &fleet.endpoints {
        endpoint.update_behaviour(|b| {
            b.event_count = 60;
            b.event_interval = Duration::from_millis(100);
        });
    }
    set_run_time(&fleet, Duration::from_millis(500));
    fleet.signal(0, Signal::TERM);
    thread::sleep(Duration::from_millis(3_200));
    let (stream, call) = (calls("/chat/1"), calls("/seats/1"));
    let short = Manner {
        limit: SHORT_LIMIT,
        ..call
    };
    let answers = thread::scope(|scope| {
        let sent = [stream, call, calls("/book/1"), short].map(|manner| {
            let fleet = &fleet;
            scope.spawn(move || {
                let id = format!("late{}-{:?}", manner.path, manner.limit);
                let answer = connect(fleet, 0).map(|mut s| exchange(&mut s, &id, manner));
                let answer = answer.unwrap_or_default();
                (answer.get(9..12).map(str::to_owned), fleet.run_count(&id))
            })
        });
        sent.map(|call| call.join().unwrap())
    });
    let ends = answers.each_ref();
    let ends = ends.map(|(status, runs)| (status.as_deref(), *runs));
    let refused = (Some("503"), 0);
    expect_that!(ends, eq([refused, refused, refused, (Some("200"), 1)]));
}
