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
/// Time for which a caller reads.
const READ_TIMEOUT: Duration = Duration::from_secs(9);

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

/// Sends a call on a connection that stays open; returns the answer. With `closes`, a refusal is read
/// until the connection is closed.
fn exchange(stream: &mut TcpStream, id: &str, path: &str, closes: bool) -> String {
    let request = CallRequest {
        deadline: READ_TIMEOUT,
        ..CallRequest::new(id, path, KEYS[0])
    };
    let bytes = request.to_bytes(Configuration::host(), "HTTP/1.1");
    let text = String::from_utf8_lossy(&bytes).replace("connection: close\r\n", "");
    let mut answer = String::new();
    if stream.write_all(text.as_bytes()).is_err() {
        return answer;
    }
    let mut bytes = [0; 4_096];
    while !answer.contains("\r\n\r\n") {
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => break,
            Ok(length) => answer.push_str(&String::from_utf8_lossy(&bytes[..length])),
        }
    }
    while closes && answer.starts_with("HTTP/1.1 503") {
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
/// used before; returns when each was made after the signal, and how it ended. Calls that were under way
/// when the signal came must be served.
fn play(fleet: &Fleet, vm: usize, path: &str) -> Vec<(Duration, String, End)> {
    let count = (GRACE.as_millis() / INTERVAL.as_millis()) as usize - 1;
    let ends = thread::scope(|scope| {
        let kept: Vec<_> = (0..count)
            .map(|n| {
                scope.spawn(move || {
                    let mut stream = (n % 2 == 0).then(|| connect(fleet, vm))??;
                    let answer = exchange(&mut stream, &format!("before-{vm}-{n}"), path, false);
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
                    stream.map(|mut stream| exchange(&mut stream, &id, path, false))
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
                    let answer = stream.map(|mut stream| exchange(&mut stream, &id, path, vm == 0));
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
        check(&play(&fleet, 0, path), 20);
    }
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
    let ends = play(&fleet, 1, "/book/1");
    check(&ends, 0);
}
