//! Endpoints that want nothing for a while, or that leave, and say so in their answers.

mod relay;

use core::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};
use googletest::prelude::*;
use http::StatusCode;
use poplarswitch_deployment::{
    Behaviour, CallError, CallResponse, EndpointKind, LinkMode, StoreFault,
};
use relay::{Fleet, arrival_times, stream_body, wait_until};
use std::{thread, time::Instant};

/// Time after an answer that asks for a pause from which the pause binds; from the operators'
/// specification.
const PAUSE_SLACK: Duration = Duration::from_millis(500);
/// Requests of a VM that may reach an endpoint in its pause; from the operators' specification.
const ALLOWED_IN_PAUSE: usize = 2;
/// Time after an answer that says that its endpoint leaves from which callers' new calls may not
/// reach that endpoint; far below the drain time of the operators' specification.
const NOTICE_TIME: Duration = Duration::from_millis(300);

/// Paths of an idempotent call and of a stream.
const SEATS: &str = "/seats/1";
const BRIEF: &str = "/brief/1";

/// Index of the first engine and of the first endpoint of the other service.
const ENGINE: usize = 0;
const BOOKING: usize = 2;

/// A call and its result.
struct Sent {
    vm: usize,
    id: String,
    at: Instant,
    ended: Instant,
    response: core::result::Result<CallResponse, CallError>,
}

impl Sent {
    fn is_answered(&self) -> bool {
        self.response.as_ref().is_ok_and(|r| r.status == 200)
    }

    fn is_answered_by(&self, name: &str) -> bool {
        let response = self.response.as_ref();
        response.is_ok_and(|r| r.endpoint.as_deref() == Some(name))
    }
}

/// Makes calls at all VMs in turn, at about 40 a second, while `during` runs.
fn with_calls(fleet: &Fleet, vms: usize, path: &str, during: impl FnOnce()) -> Vec<Sent> {
    let stop = AtomicBool::new(false);
    let make_call = |count: usize| {
        let vm = count % vms;
        let at = Instant::now();
        let prompt = format!("f1:100,{:x}:50,{count:x}0:10", 0x5000 + count % 50);
        let (id, response) = fleet.call_for(vm, path, &prompt, Duration::from_secs(8));
        Sent {
            vm,
            id,
            at,
            ended: Instant::now(),
            response,
        }
    };
    let (make_call, stop) = (&make_call, &stop);
    thread::scope(|scope| {
        let calls = scope.spawn(move || {
            let mut calls = Vec::new();
            for count in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                calls.push(scope.spawn(move || make_call(count)));
                thread::sleep(Duration::from_millis(25));
            }
            calls
        });
        during();
        stop.store(true, Ordering::Relaxed);
        let calls = calls.join().unwrap();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    })
}

/// Number of times between the beginning and the end of a pause.
fn count_in_pause(times: &[Instant], refused: Instant, length: Duration) -> usize {
    let times = times.iter();
    times
        .filter(|at| (refused + PAUSE_SLACK..refused + length).contains(at))
        .count()
}

/// Makes an endpoint refuse what arrives for a time; returns when that began.
fn refuse_for(
    fleet: &Fleet,
    index: usize,
    length: Duration,
    refuse: fn(&mut Behaviour),
) -> Instant {
    let began = Instant::now();
    fleet.endpoints[index].update_behaviour(refuse);
    thread::sleep(length);
    fleet.endpoints[index].update_behaviour(|b| *b = Behaviour::default());
    began
}

/// Checks that an endpoint asked each VM for a pause, and got nothing from it until the pause ended.
fn check_pause(fleet: &Fleet, calls: &[Sent], began: Instant, length: Duration) {
    let arrivals = fleet.endpoints[BOOKING].arrivals();
    let vms = calls.iter().map(|call| call.vm).max().unwrap() + 1;
    for vm in 0..vms {
        let of_vm = |id: &str| calls.iter().any(|call| call.vm == vm && call.id == id);
        let arrivals = arrivals.iter().filter(|arrival| of_vm(&arrival.call_id));
        let times: Vec<Instant> = arrivals.map(|arrival| arrival.at).collect();
        let refused = *times.iter().find(|at| **at >= began).unwrap();
        expect_that!(
            count_in_pause(&times, refused, length),
            le(ALLOWED_IN_PAUSE)
        );
        let resumed = refused + length..;
        expect_that!(times.iter().any(|at| resumed.contains(at)), eq(true));
    }
}

/// An endpoint that turned calls away and wanted nothing for some seconds got more after 100 ms.
#[gtest]
fn endpoint_that_asks_for_a_pause_gets_nothing_until_its_end() {
    let fleet = Fleet::start(100, 2);
    let mut began = Instant::now();
    let calls = with_calls(&fleet, 2, SEATS, || {
        thread::sleep(Duration::from_millis(500));
        began = refuse_for(&fleet, BOOKING, Duration::from_secs(1), |b| {
            b.decline = true;
            b.retry_after = Some("2.5");
        });
        thread::sleep(Duration::from_secs(4));
    });
    check_pause(&fleet, &calls, began, Duration::from_millis(2_500));
    expect_that!(calls.iter().all(Sent::is_answered), eq(true));
}

/// The same for an endpoint that doesn't say whether it ran the calls.
#[gtest]
fn refusal_that_may_have_run_asks_for_a_pause_too() {
    let fleet = Fleet::start(101, 1);
    let mut began = Instant::now();
    let calls = with_calls(&fleet, 1, SEATS, || {
        thread::sleep(Duration::from_millis(500));
        began = refuse_for(&fleet, BOOKING, Duration::from_secs(1), |b| {
            b.status = Some(StatusCode::SERVICE_UNAVAILABLE);
            b.retry_after = Some("2.5");
        });
        thread::sleep(Duration::from_secs(4));
    });
    check_pause(&fleet, &calls, began, Duration::from_millis(2_500));
    expect_that!(calls.iter().all(Sent::is_answered), eq(true));
}

/// An engine that wanted nothing for some seconds got calls and requests for reports.
#[gtest]
fn engine_that_asks_for_a_pause_gets_no_requests_for_reports() {
    let fleet = Fleet::start(102, 1);
    let mut began = Instant::now();
    let calls = with_calls(&fleet, 1, BRIEF, || {
        thread::sleep(Duration::from_millis(500));
        began = refuse_for(&fleet, ENGINE, Duration::from_secs(1), |b| {
            b.decline = true;
            b.retry_after = Some("2.5");
        });
        thread::sleep(Duration::from_secs(4));
    });
    let arrivals = arrival_times(&fleet, ENGINE);
    let refused = *arrivals.iter().find(|at| **at >= began).unwrap();
    let all = [arrivals, fleet.endpoints[ENGINE].report_times()].concat();
    let length = Duration::from_millis(2_500);
    expect_that!(count_in_pause(&all, refused, length), le(ALLOWED_IN_PAUSE));
    expect_that!(all.iter().any(|at| *at >= refused + length), eq(true));
    expect_that!(calls.iter().all(Sent::is_answered), eq(true));
}

/// An engine that turned a request for a report away, and wanted nothing for some seconds, got calls.
#[gtest]
fn refused_request_for_a_report_asks_for_a_pause_too() {
    let fleet = Fleet::start(103, 1);
    let mut began = Instant::now();
    let calls = with_calls(&fleet, 1, BRIEF, || {
        thread::sleep(Duration::from_millis(500));
        began = refuse_for(&fleet, ENGINE, Duration::from_secs(1), |b| {
            b.report_status = Some(StatusCode::SERVICE_UNAVAILABLE);
            b.retry_after = Some("2.5");
        });
        thread::sleep(Duration::from_secs(4));
    });
    let reports = fleet.endpoints[ENGINE].report_times();
    let refused = *reports.iter().find(|at| **at >= began).unwrap();
    let all = [arrival_times(&fleet, ENGINE), reports].concat();
    let length = Duration::from_millis(2_500);
    expect_that!(count_in_pause(&all, refused, length), le(ALLOWED_IN_PAUSE));
    expect_that!(calls.iter().all(Sent::is_answered), eq(true));
}

/// While all endpoints of a service wanted nothing for some seconds, they got calls, and callers were
/// told to return before the first endpoint accepted any.
#[gtest]
fn callers_return_when_the_first_pause_of_a_service_ends() {
    let fleet = Fleet::start(104, 1);
    for (index, seconds) in [(BOOKING, "4"), (BOOKING + 1, "1.5")] {
        fleet.endpoints[index].update_behaviour(|b| {
            b.decline = true;
            b.retry_after = Some(seconds);
        });
    }
    let refuse = || {
        let (_, response) = fleet.call(0, SEATS);
        let response = response.unwrap();
        expect_that!(response.status, eq(503));
        response.retry_after.unwrap_or_default()
    };
    expect_that!(refuse(), all!(ge(1.3), le(1.6)));
    thread::sleep(Duration::from_millis(600));
    let arrivals = |index: usize| fleet.endpoints[index].arrivals().len();
    let before = arrivals(BOOKING) + arrivals(BOOKING + 1);
    let retry_after = refuse();
    expect_that!(retry_after, all!(ge(0.5), le(1.0)));
    expect_that!(arrivals(BOOKING) + arrivals(BOOKING + 1), eq(before));
    for endpoint in &fleet.endpoints[BOOKING..] {
        endpoint.update_behaviour(|b| *b = Behaviour::default());
    }
    thread::sleep(Duration::from_secs_f64(retry_after));
    let (_, response) = fleet.call(0, SEATS);
    let response = response.unwrap();
    expect_that!(response.status, eq(200));
    expect_that!(response.endpoint.as_deref(), some(eq("booking-2")));
}

/// A pause and the end of an incarnation concern that incarnation only.
#[gtest]
fn next_incarnation_gets_calls_at_once() {
    let fleet = Fleet::start(105, 1);
    for endpoint in &fleet.endpoints[BOOKING..] {
        endpoint.update_behaviour(|b| {
            b.decline = true;
            b.retry_after = Some("60");
            b.leaving = true;
        });
    }
    let (_, response) = fleet.call(0, SEATS);
    expect_that!(response.unwrap().status, eq(503));
    fleet.endpoints[BOOKING].update_behaviour(|b| *b = Behaviour::default());
    fleet.register(BOOKING, EndpointKind::Service, 2, false);
    let started = Instant::now();
    wait_until("the next incarnation gets a call", || {
        let (_, response) = fleet.call(0, SEATS);
        response.is_ok_and(|r| r.endpoint.as_deref() == Some("booking-1"))
    });
    expect_that!(started.elapsed(), le(Duration::from_secs(3)));
}

/// Checks that an endpoint has run no call that a VM got later than it passed on an answer that says
/// that the endpoint leaves; those answers began at `from`.
fn check_left(calls: &[Sent], name: &str, from: Instant) {
    let vms = calls.iter().map(|call| call.vm).max().unwrap() + 1;
    for vm in 0..vms {
        let of_vm = calls.iter().filter(|call| call.vm == vm);
        let answered = of_vm.filter(|call| call.is_answered_by(name) && call.ended >= from);
        let told = answered.clone().map(|call| call.ended).min().unwrap();
        let late = answered.filter(|call| call.at > told + NOTICE_TIME);
        expect_that!(late.count(), eq(0));
    }
    expect_that!(calls.iter().all(Sent::is_answered), eq(true));
}

/// While the platform was down, an endpoint that said that it leaves got calls until it was gone.
#[gtest]
fn endpoint_that_leaves_gets_no_calls_while_the_platform_is_down() {
    let fleet = Fleet::start(106, 2);
    let mut from = Instant::now();
    let calls = with_calls(&fleet, 2, SEATS, || {
        thread::sleep(Duration::from_millis(500));
        fleet.store.set_fault(StoreFault::Refuses(503));
        from = Instant::now();
        fleet.endpoints[BOOKING].update_behaviour(|b| b.leaving = true);
        thread::sleep(Duration::from_secs(3));
    });
    fleet.store.set_fault(StoreFault::None);
    check_left(&calls, "booking-1", from);
}

/// The same where the platform's entry says again and again that the endpoint accepts calls.
#[gtest]
fn entry_does_not_undo_that_an_endpoint_leaves() {
    let fleet = Fleet::start(107, 1);
    let mut from = Instant::now();
    let calls = with_calls(&fleet, 1, SEATS, || {
        thread::sleep(Duration::from_millis(500));
        from = Instant::now();
        fleet.endpoints[BOOKING].update_behaviour(|b| b.leaving = true);
        for slots in [17, 18] {
            thread::sleep(Duration::from_millis(800));
            fleet.set_slots(BOOKING, slots);
        }
        thread::sleep(Duration::from_millis(800));
        // The entry of the same incarnation is removed and written again.
        fleet.store.unregister("booking-1");
        thread::sleep(Duration::from_millis(500));
        fleet.set_slots(BOOKING, 19);
        thread::sleep(Duration::from_secs(1));
    });
    check_left(&calls, "booking-1", from);
}

/// An engine that says at the head of a stream that it leaves gets no other calls while the stream
/// goes on to its end.
#[gtest]
fn head_of_a_stream_tells_that_its_engine_leaves() {
    let fleet = Fleet::start(108, 1);
    for engine in &fleet.endpoints[..BOOKING] {
        engine.update_behaviour(|b| {
            b.event_count = 20;
            b.event_interval = Duration::from_millis(100);
        });
    }
    let mut from = Instant::now();
    let calls = with_calls(&fleet, 1, BRIEF, || {
        thread::sleep(Duration::from_millis(300));
        from = Instant::now();
        fleet.endpoints[ENGINE].update_behaviour(|b| b.leaving = true);
        thread::sleep(Duration::from_millis(1_500));
    });
    let runs = fleet.endpoints[ENGINE].runs();
    let told = runs.iter().map(|run| run.started).find(|at| *at >= from);
    let told = told.unwrap();
    let late = runs.iter().filter(|run| run.started > told + NOTICE_TIME);
    expect_that!(late.count(), eq(0));
    for call in &calls {
        let body = call.response.as_ref().map(|response| &*response.body);
        expect_that!(body.ok(), some(eq(&*stream_body(&call.id, 20))));
    }
    expect_that!(runs.iter().all(|run| run.after_event == 0), eq(true));
}

/// An endpoint that declined calls, and said that it leaves, got more.
#[gtest]
fn refusal_tells_that_an_endpoint_leaves() {
    let fleet = Fleet::start(109, 1);
    let mut from = Instant::now();
    let calls = with_calls(&fleet, 1, SEATS, || {
        thread::sleep(Duration::from_millis(500));
        from = Instant::now();
        fleet.endpoints[BOOKING].update_behaviour(|b| {
            b.decline = true;
            b.leaving = true;
        });
        thread::sleep(Duration::from_secs(2));
    });
    let arrivals = arrival_times(&fleet, BOOKING);
    let told = *arrivals.iter().find(|at| **at >= from).unwrap();
    let late = arrivals.iter().filter(|at| **at > told + NOTICE_TIME);
    expect_that!(late.count(), eq(0));
    expect_that!(calls.iter().all(Sent::is_answered), eq(true));
}

/// An endpoint that turned calls away at their deadline, when nobody read its answer any more, got
/// further calls in the pause that it had asked for.
#[gtest]
fn pause_that_is_asked_for_at_the_deadline_of_a_call_holds() {
    const PAUSE: Duration = Duration::from_secs(3);
    let fleet = Fleet::start(84, 1);
    fleet.register(BOOKING + 1, EndpointKind::Service, 1, true);
    let line = "\"event\":\"draining\"";
    wait_until("one endpoint is left", || fleet.log(0).contains(line));
    let endpoint = &fleet.endpoints[BOOKING];
    // As between data centres, an answer that is sent at the deadline arrives after it.
    fleet.proxies[BOOKING].set_mode(LinkMode::Delays(Duration::from_millis(15)));
    endpoint.set_room(1, 20);
    endpoint.update_behaviour(|behaviour| {
        behaviour.run_time = PAUSE * 2;
        behaviour.retry_after = Some("3");
    });
    let call = |deadline| fleet.call_for(0, SEATS, "f1:100,aa:10", Duration::from_millis(deadline));
    thread::scope(|scope| {
        scope.spawn(|| call(8_000));
        wait_until("the only slot is taken", || endpoint.runs().len() == 1);
        for _ in 0..4 {
            scope.spawn(|| call(600));
        }
        wait_until("calls are turned away", || {
            !endpoint.asked_pauses().is_empty()
        });
        for _ in 0..20 {
            scope.spawn(|| call(500));
            thread::sleep(Duration::from_millis(100));
        }
    });
    let asked = endpoint.asked_pauses()[0].at;
    let arrivals = arrival_times(&fleet, BOOKING);
    expect_that!(
        count_in_pause(&arrivals, asked, PAUSE),
        le(ALLOWED_IN_PAUSE)
    );
}
