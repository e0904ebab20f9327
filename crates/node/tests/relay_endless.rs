//! Endpoints that send bytes without end, in the head or the body of an answer.

mod relay;

#[path = "common/usage.rs"]
mod usage;

use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_deployment::{CallRequest, Configuration, EndlessAnswer, LinkMode};
use relay::{Fleet, KEYS, wait_until};
use std::{io::Write as _, net::TcpStream, thread, time::Instant};
use usage::{cpu_seconds, resident_mb};

/// Kinds of routes; the two of a pair have different endpoints, and are called at the same time.
const ROUTES: [[&str; 2]; 2] = [["/brief/1", "/seats/1"], ["/chat/1", "/book/1"]];
/// Deadline of the calls.
const DEADLINE: Duration = Duration::from_secs(3);
/// Time after the deadline by which a call must have ended.
const END_MARGIN: Duration = Duration::from_millis(700);
/// Number of calls at the same time, on both routes of a pair.
const CALL_COUNT: usize = 8;
/// Memory that the calls may use, in MB.
const MAX_GROWTH_MB: f64 = 40.0;

/// The memory of the VM grew until it was killed, or the call and the connection never ended.
#[gtest]
fn bytes_without_end_are_cut_off_and_never_an_answer() {
    let fleet = Fleet::start(58, 1);
    let pid = fleet.pid(0);
    for endless in EndlessAnswer::ALL {
        for paths in ROUTES {
            let before = resident_mb(pid);
            let name = format!("{endless:?} on {paths:?}");
            for endpoint in &fleet.endpoints {
                endpoint.update_behaviour(|b| b.endless = Some(endless));
            }
            thread::scope(|scope| {
                let calls: Vec<_> = (0..CALL_COUNT)
                    .map(|n| {
                        let fleet = &fleet;
                        scope.spawn(move || {
                            let prompt = format!("f1:100,{n:x}:50,{n:x}0:10");
                            let started = Instant::now();
                            let (_, response) = fleet.call_with_prompt(0, paths[n % 2], &prompt);
                            (started.elapsed(), response)
                        })
                    })
                    .collect();
                thread::sleep(DEADLINE / 2);
                let growth = resident_mb(pid) - before;
                expect_that!(growth, lt(MAX_GROWTH_MB), "{name}");
                for call in calls {
                    let (took, response) = call.join().unwrap();
                    expect_that!(took, lt(DEADLINE + END_MARGIN), "{name}");
                    let is_answer = response.is_ok_and(|r| r.status < 400);
                    expect_that!(is_answer, eq(false), "{name}");
                }
            });
            let growth = resident_mb(pid) - before;
            expect_that!(growth, lt(MAX_GROWTH_MB), "{name}");
            for endpoint in &fleet.endpoints {
                endpoint.update_behaviour(|b| b.endless = None);
            }
        }
    }
    // No connection is read any longer.
    thread::sleep(Duration::from_millis(500));
    let used = cpu_seconds(pid);
    thread::sleep(Duration::from_secs(1));
    expect_that!(cpu_seconds(pid) - used, lt(0.2));
}

/// The memory of a VM would grow if it read on for callers that don't.
#[gtest]
fn bytes_without_end_do_not_pile_up_for_callers_that_do_not_read() {
    const CALLERS: usize = 40;
    let fleet = Fleet::start(216, 1);
    let pid = fleet.pid(0);
    for endless in [
        EndlessAnswer::Body,
        EndlessAnswer::Chunks,
        EndlessAnswer::Events,
        EndlessAnswer::LongBody,
    ] {
        let before = resident_mb(pid);
        for endpoint in &fleet.endpoints {
            endpoint.update_behaviour(|b| b.endless = Some(endless));
        }
        let callers: Vec<TcpStream> = (0..CALLERS)
            .map(|n| {
                let path = ROUTES[n % 2][n / 2 % 2];
                let id = format!("unread-{endless:?}-{n}");
                let request = CallRequest {
                    deadline: DEADLINE * 2,
                    ..CallRequest::new(&id, path, KEYS[0])
                };
                let bytes = request.to_bytes(Configuration::host(), "HTTP/1.1");
                let mut stream = TcpStream::connect(fleet.address(0)).unwrap();
                stream.write_all(&bytes).unwrap();
                stream
            })
            .collect();
        for _ in 0..4 {
            thread::sleep(DEADLINE / 4);
            let growth = resident_mb(pid) - before;
            expect_that!(growth, lt(MAX_GROWTH_MB), "{endless:?}");
        }
        drop(callers);
    }
}

/// The same for both VMs of calls that are forwarded.
#[gtest]
fn bytes_without_end_do_not_pile_up_in_forwarded_calls() {
    let fleet = Fleet::start_linked(217, 2);
    fleet.set_links(1, LinkMode::Resets);
    for path in ["/brief/1", "/book/1"] {
        wait_until("calls are forwarded", || {
            let (_, response) = fleet.call(1, path);
            response.is_ok_and(|response| response.status == 200)
        });
    }
    for endless in EndlessAnswer::ALL {
        let pids = [fleet.pid(0), fleet.pid(1)];
        let before = pids.map(resident_mb);
        for endpoint in &fleet.endpoints {
            endpoint.update_behaviour(|b| b.endless = Some(endless));
        }
        thread::scope(|scope| {
            let calls: Vec<_> = (0..CALL_COUNT)
                .map(|n| {
                    let fleet = &fleet;
                    let path = ["/brief/1", "/book/1"][n % 2];
                    scope.spawn(move || fleet.call(1, path).1)
                })
                .collect();
            for call in calls {
                let is_answer = call.join().unwrap().is_ok_and(|r| r.status < 400);
                expect_that!(is_answer, eq(false), "{endless:?}");
            }
        });
        for (pid, before) in pids.into_iter().zip(before) {
            let growth = resident_mb(pid) - before;
            expect_that!(growth, lt(MAX_GROWTH_MB), "{endless:?}");
        }
        for endpoint in &fleet.endpoints {
            endpoint.update_behaviour(|b| b.endless = None);
        }
    }
}

/// Calls went to an endpoint again and again that sends bytes without end.
#[gtest]
fn endpoint_that_sends_bytes_without_end_is_blamed() {
    for (net, endless) in [
        (59, EndlessAnswer::Garbage),
        (60, EndlessAnswer::HeaderLines),
        (61, EndlessAnswer::Chunks),
    ] {
        let fleet = Fleet::start(net, 1);
        fleet.endpoints[0].update_behaviour(|b| b.endless = Some(endless));
        let mut sessions = 0..;
        wait_until("the endpoint is ejected", || {
            let prompt = format!("f1:100,{:x}:50,10:10", sessions.next().unwrap_or(0));
            let _response = fleet.call_with_prompt(0, "/brief/1", &prompt);
            let log = fleet.log(0);
            let mut rests = log
                .lines()
                .filter(|line| line.contains(r#""event":"rests""#));
            rests.any(|line| line.contains("engine-1"))
        });
    }
}
