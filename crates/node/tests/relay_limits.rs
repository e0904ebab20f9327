//! Endpoints that name a limit on the rate of requests from all VMs together.

mod relay;

use core::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};
use googletest::prelude::*;
use poplarswitch_deployment::EndpointKind;
use relay::{Fleet, arrival_times};
use std::{thread, time::Instant};

/// Number of VMs.
const VM_COUNT: u8 = 6;
/// Time after the first naming of a limit from which it binds; from the operators' specification.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Window in which arrivals are counted; from the operators' specification.
const WINDOW: Duration = Duration::from_secs(4);
/// Arrivals allowed in a window, as a multiple of what the limit allows.
const ALLOWED_RATIO: f64 = 1.5;
/// Further arrivals allowed in a window.
const ALLOWED_EXTRA: f64 = 5.0;
/// Share of the limit that must be used while callers ask for more.
const MIN_USE: f64 = 0.5;
/// Time after its end within which a limit no longer holds.
const END_TIME: Duration = Duration::from_secs(4);

/// Paths of an idempotent call and of a stream.
const SEATS: &str = "/seats/1";
const BRIEF: &str = "/brief/1";

/// Result of a call.
struct Outcome {
    sent: Instant,
    status: Option<u16>,
    retry_after: bool,
}

/// Makes calls at all VMs until `stop`, at about `rate` a second.
fn make_calls(fleet: &Fleet, stop: &AtomicBool, path: &str, rate: f64) -> Vec<Outcome> {
    thread::scope(|scope| {
        let mut calls = Vec::new();
        for count in 0.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let sent = Instant::now();
            // Demand is unequal: one VM has half of it.
            let vm = if count % 2 == 0 {
                0
            } else {
                count / 2 % usize::from(VM_COUNT)
            };
            calls.push(scope.spawn(move || {
                let prompt = format!("f1:100,{:x}:50,{count:x}0:10", 0x5000 + count % 50);
                let (_, response) = fleet.call_with_prompt(vm, path, &prompt);
                let response = response.ok();
                Outcome {
                    sent,
                    status: response.as_ref().map(|r| r.status),
                    retry_after: response.is_some_and(|r| r.retry_after.is_some()),
                }
            }));
            thread::sleep(Duration::from_secs_f64(1.0 / rate));
        }
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    })
}

/// The most arrivals in any window that begins at or after `from`.
fn most_in_window(arrivals: &[Instant], from: Instant) -> usize {
    let late: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
    let counts = late.iter().map(|start| {
        late.iter()
            .filter(|at| (*start..*start + WINDOW).contains(at))
            .count()
    });
    counts.max().unwrap_or(0)
}

fn allowed(rate: f64) -> usize {
    (ALLOWED_RATIO * rate * WINDOW.as_secs_f64() + ALLOWED_EXTRA) as usize
}

/// Runs `during` while calls are made at all VMs; returns their outcomes.
fn with_calls(fleet: &Fleet, path: &str, rate: f64, during: impl FnOnce()) -> Vec<Outcome> {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let calls = scope.spawn(|| make_calls(fleet, &stop, path, rate));
        during();
        stop.store(true, Ordering::Relaxed);
        calls.join().unwrap()
    })
}

fn share_served(calls: &[Outcome], from: Instant) -> f64 {
    let late: Vec<&Outcome> = calls.iter().filter(|call| call.sent >= from).collect();
    let served = late.iter().filter(|call| call.status == Some(200)).count();
    served as f64 / late.len().max(1) as f64
}

/// Checks the arrivals at endpoints that named a limit at `named` while there was demand until
/// `end`.
fn check_use(arrivals: &[Instant], rate: f64, named: Instant, end: Instant) {
    let from = named + CONTACT_TIME;
    expect_that!(most_in_window(arrivals, from), le(allowed(rate)));
    let count = arrivals
        .iter()
        .filter(|at| (from..end).contains(at))
        .count();
    let share = count as f64 / (rate * end.duration_since(from).as_secs_f64());
    expect_that!(share, ge(MIN_USE));
}

/// An engine got many times the requests that it accepts from all VMs.
#[gtest]
fn limited_engine_gets_no_more_than_its_limit_from_all_vms() {
    let mut fleet = Fleet::start(47, VM_COUNT);
    for name in ["engine-3", "engine-4"] {
        fleet.add_endpoint(name, EndpointKind::Engine);
    }
    fleet.await_ready();
    let (rate, mut named, mut end) = (1.4, Instant::now(), Instant::now());
    let calls = with_calls(&fleet, BRIEF, 60.0, || {
        thread::sleep(Duration::from_secs(1));
        named = Instant::now();
        fleet.endpoints[0].update_behaviour(|b| b.limit = Some(rate));
        thread::sleep(Duration::from_secs(14));
        end = Instant::now();
    });
    check_use(&arrival_times(&fleet, 0), rate, named, end);
    // The other engines have room for all calls.
    expect_that!(share_served(&calls, named), ge(0.98));
}

/// The same where every endpoint of the service names a limit: what is too much is refused at once,
/// and told when to return.
#[gtest]
fn calls_beyond_the_limits_of_all_endpoints_are_refused_with_a_time() {
    let fleet = Fleet::start(48, VM_COUNT);
    let (rate, mut named, mut end) = (6.0, Instant::now(), Instant::now());
    let calls = with_calls(&fleet, SEATS, 40.0, || {
        named = Instant::now();
        for endpoint in &fleet.endpoints[2..4] {
            endpoint.update_behaviour(|b| b.limit = Some(rate));
        }
        thread::sleep(Duration::from_secs(12));
        end = Instant::now();
    });
    for index in 2..4 {
        check_use(&arrival_times(&fleet, index), rate, named, end);
    }
    let from = named + CONTACT_TIME;
    let late: Vec<&Outcome> = calls.iter().filter(|call| call.sent >= from).collect();
    let unexplained = late
        .iter()
        .filter(|call| !(call.status == Some(200) || call.status == Some(503) && call.retry_after));
    expect_that!(unexplained.count(), eq(0));
}

/// A limit that an endpoint no longer names is free within seconds.
#[gtest]
fn ended_limit_is_free_within_seconds() {
    let fleet = Fleet::start(49, VM_COUNT);
    let mut ended = Instant::now();
    let calls = with_calls(&fleet, SEATS, 40.0, || {
        for endpoint in &fleet.endpoints[2..4] {
            endpoint.update_behaviour(|b| b.limit = Some(0.1));
        }
        thread::sleep(Duration::from_secs(8));
        ended = Instant::now();
        for endpoint in &fleet.endpoints[2..4] {
            endpoint.update_behaviour(|b| b.limit = None);
        }
        thread::sleep(END_TIME + Duration::from_secs(4));
    });
    expect_that!(share_served(&calls, ended + END_TIME), ge(0.98));
}

/// A VM that started knew nothing of limits that no answer had named for 5 s, so its first calls took
/// no tokens.
#[gtest]
fn vm_that_starts_is_told_of_old_limits() {
    let mut fleet = Fleet::start(64, VM_COUNT);
    for endpoint in &fleet.endpoints[2..4] {
        endpoint.update_behaviour(|b| b.limit = Some(1.4));
    }
    let calls = with_calls(&fleet, SEATS, 20.0, || {
        thread::sleep(Duration::from_secs(2));
    });
    expect_that!(calls.len(), gt(10));
    fleet.kill(0);
    // Longer than news is repeated.
    thread::sleep(Duration::from_secs(6));
    let log_start = fleet.log(0).len();
    fleet.start_process(0);
    relay::wait_until("the VM knows both limits", || {
        let log = fleet.log(0);
        let named = log.get(log_start..).unwrap_or_default();
        named.matches("limit_named").count() == 2
    });
}
