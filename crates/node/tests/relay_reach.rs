//! VMs that lose their links to endpoints while callers and the other VMs reach them.

mod relay;

use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_deployment::{
    CallRequest, CallResponse, Caller, Configuration, Endpoint, LinkMode,
};
use relay::{Fleet, KEYS, stream_body, wait_until};
use rustix::process::Signal;
use std::{
    collections::HashMap, io::Write as _, net::TcpStream, sync::mpsc, thread, time::Instant,
};

/// Time after which a VM that is cut off must serve its callers; from the operators' bounds.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time limit of each call.
const DEADLINE: Duration = Duration::from_secs(4);
/// Paths of calls of each kind: not idempotent, idempotent, and streams.
const PATHS: [&str; 4] = ["/book/1", "/seats/1", "/chat/1", "/brief/1"];
/// Calls of each kind that are made at a VM that is cut off.
const ROUNDS: usize = 6;

/// Time for which a VM that is cut off from the platform keeps an earlier configuration, at least.
const EARLIER_TIME: Duration = Duration::from_millis(1_500);
/// Pause between calls at a VM that has to forward them.
const CALL_PAUSE: Duration = Duration::from_millis(20);

/// Results of calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Tally {
    served: usize,
    not_run: usize,
    in_doubt: usize,
    /// Identifiers of calls with the most runs that they may have.
    max_runs: Vec<(String, usize)>,
}

/// Makes calls of all kinds at a VM, one after the other.
fn call_all(fleet: &Fleet, vm: usize, rounds: usize) -> Tally {
    let mut tally = Tally::default();
    for path in PATHS.iter().cycle().take(PATHS.len() * rounds) {
        let request = CallRequest {
            deadline: DEADLINE,
            ..CallRequest::new("", path, KEYS[0])
        };
        let (id, response) = fleet.request(vm, &request);
        let is_not_run = response.as_ref().is_ok_and(CallResponse::not_run);
        let max_runs = match *path {
            _ if is_not_run => 0,
            "/seats/1" | "/brief/1" => 2,
            _ => 1,
        };
        tally.max_runs.push((id, max_runs));
        match response {
            Ok(response) if response.status == 200 => tally.served += 1,
            _ if is_not_run => tally.not_run += 1,
            _ => tally.in_doubt += 1,
        }
    }
    tally
}

/// Makes calls at a VM for a time, as its callers do from the start of a cut on.
fn call_for(fleet: &Fleet, vm: usize, length: Duration) -> Vec<Tally> {
    let start = Instant::now();
    let mut tallies = Vec::new();
    while start.elapsed() < length {
        tallies.push(call_all(fleet, vm, 1));
    }
    tallies
}

/// Makes calls at a VM for as long as it may take to serve them again.
fn call_until_contact(fleet: &Fleet, vm: usize) {
    for tally in call_for(fleet, vm, CONTACT_TIME) {
        expect_allowed_runs(fleet, &tally);
    }
}

/// Checks that no call has run more often than it may, and that none has run whose caller was told
/// that it has not.
fn expect_allowed_runs(fleet: &Fleet, tally: &Tally) {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for run in fleet.endpoints.iter().flat_map(Endpoint::runs) {
        *runs.entry(run.call_id).or_default() += 1;
    }
    for (id, max_runs) in &tally.max_runs {
        let count = runs.get(id).copied().unwrap_or_default();
        expect_that!(count, le(*max_runs), "call {id}");
    }
}

fn expect_served_during(net: u8, mode: LinkMode) {
    let fleet = Fleet::start_linked(net, 3);
    fleet.set_links(0, mode);
    call_until_contact(&fleet, 0);
    let tally = call_all(&fleet, 0, ROUNDS);
    expect_that!(tally.served, eq(PATHS.len() * ROUNDS), "{tally:?}");
    expect_allowed_runs(&fleet, &tally);
}

/// A VM whose connections to all endpoints hung answered 503 while the other VMs served.
#[gtest]
fn vm_whose_links_hang_serves_calls_through_other_vms() {
    expect_served_during(171, LinkMode::Hangs);
}

/// A VM whose connections to all endpoints were reset answered 503 while the other VMs served.
#[gtest]
fn vm_whose_links_are_reset_serves_calls_through_other_vms() {
    expect_served_during(172, LinkMode::Resets);
}

/// A VM that could open no connection answered 503 although its open ones lived on.
#[gtest]
fn vm_that_can_open_no_connection_serves_calls_through_other_vms() {
    expect_served_during(173, LinkMode::RefusesNew);
}

/// A VM that had lost the endpoints of one service refused the calls to it.
#[gtest]
fn vm_that_has_lost_one_service_serves_its_calls_through_other_vms() {
    let fleet = Fleet::start_linked(174, 3);
    for link in &fleet.links[0][2..] {
        link.set_mode(LinkMode::Hangs);
    }
    call_until_contact(&fleet, 0);
    let tally = call_all(&fleet, 0, ROUNDS);
    expect_that!(tally.served, eq(PATHS.len() * ROUNDS), "{tally:?}");
    expect_that!(fleet.addresses(1), contains(eq(&fleet.address(0))));
}

/// Most VMs were cut off at once, and the calls of their callers were refused.
#[gtest]
fn single_vm_with_links_serves_the_calls_of_all_others() {
    let fleet = Fleet::start_linked(175, 4);
    for vm in 0..3 {
        fleet.set_links(vm, LinkMode::Hangs);
    }
    let tallies = thread::scope(|scope| {
        let fleet = &fleet;
        let calls = [0, 1, 2].map(|vm| scope.spawn(move || call_for(fleet, vm, CONTACT_TIME)));
        calls.map(|calls| calls.join().unwrap())
    });
    for tally in tallies.iter().flatten() {
        expect_allowed_runs(&fleet, tally);
    }
    for vm in 0..3 {
        let tally = call_all(&fleet, vm, ROUNDS);
        expect_that!(tally.served, eq(PATHS.len() * ROUNDS), "{tally:?}");
        expect_allowed_runs(&fleet, &tally);
    }
}

/// The VMs went on naming a VM that reached no endpoint to callers.
#[gtest]
fn vm_without_links_is_not_named_to_callers_until_it_returns() {
    let fleet = Fleet::start_linked(176, 3);
    fleet.set_links(0, LinkMode::Hangs);
    call_until_contact(&fleet, 0);
    expect_that!(fleet.addresses(1), not(contains(eq(&fleet.address(0)))));
    expect_that!(fleet.is_ready(0), eq(true));
    fleet.set_links(0, LinkMode::Passes);
    wait_until("the VM is named again", || {
        fleet.addresses(1).contains(&fleet.address(0))
    });
}

/// Endpoints that were down for all VMs must not make calls go in circles.
#[gtest]
fn calls_are_refused_soon_if_no_vm_reaches_an_endpoint() {
    let fleet = Fleet::start_linked(177, 3);
    for vm in 0..3 {
        fleet.set_links(vm, LinkMode::Resets);
    }
    for vm in 0..3 {
        call_until_contact(&fleet, vm);
    }
    let addresses = fleet.addresses(1);
    expect_that!(addresses.len(), eq(3));
    let start = Instant::now();
    let tally = call_all(&fleet, 0, ROUNDS);
    expect_that!(tally.not_run, eq(PATHS.len() * ROUNDS), "{tally:?}");
    expect_allowed_runs(&fleet, &tally);
    expect_that!(start.elapsed(), lt(CONTACT_TIME));
}

/// After a cut, a VM must use its own links again without opening many connections at once.
#[gtest]
fn vm_sends_calls_itself_again_after_a_cut() {
    let fleet = Fleet::start_linked(178, 3);
    fleet.set_links(0, LinkMode::Hangs);
    call_until_contact(&fleet, 0);
    fleet.set_links(0, LinkMode::Passes);
    thread::sleep(Duration::from_secs(1));
    let accepted = |vm| -> u32 { fleet.accepted(vm).iter().sum() };
    let (own, others) = (accepted(0), accepted(1) + accepted(2));
    let tally = call_all(&fleet, 0, ROUNDS);
    expect_that!(tally.served, eq(PATHS.len() * ROUNDS), "{tally:?}");
    expect_that!(accepted(1) + accepted(2), eq(others));
    expect_that!(accepted(0), gt(own));
    expect_that!(accepted(0) - own, le((PATHS.len() * ROUNDS) as u32));
}

/// A VM whose links were reset took all endpoints for crashed, and sound calls were held at all VMs.
#[gtest]
fn links_that_are_reset_are_no_evidence_of_crashes() {
    let fleet = Fleet::start_linked(179, 3);
    for endpoint in &fleet.endpoints {
        endpoint.update_behaviour(|behaviour| {
            behaviour.run_time = Duration::from_millis(400);
        });
    }
    for _ in 0..3 {
        thread::scope(|scope| {
            let calls = PATHS.iter().cycle().take(12);
            for path in calls {
                scope.spawn(|| fleet.call(0, path));
            }
            thread::sleep(Duration::from_millis(200));
            fleet.set_links(0, LinkMode::Resets);
            thread::sleep(Duration::from_millis(1_200));
            fleet.set_links(0, LinkMode::Passes);
        });
        thread::sleep(Duration::from_millis(1_500));
    }
    for vm in 0..3 {
        let log = fleet.log(vm);
        expect_that!(log, not(contains_substring("\"event\":\"crashed\"")));
        expect_that!(log, not(contains_substring("\"event\":\"held\"")));
        let tally = call_all(&fleet, vm, 2);
        expect_that!(tally.served, eq(PATHS.len() * 2), "{tally:?}");
    }
}

/// A VM that had passed on the answer of an endpoint that leaves sent it calls after the cut, because only
/// the VM in between had read that it leaves.
#[gtest]
fn endpoint_that_leaves_gets_no_calls_from_a_vm_that_has_passed_its_answer_on() {
    let fleet = Fleet::start_linked(180, 2);
    fleet.set_links(0, LinkMode::Hangs);
    call_until_contact(&fleet, 0);
    let answered_by = fleet.call(0, "/seats/1").1.unwrap().endpoint;
    let mut endpoints = fleet.endpoints.iter();
    let leaving = endpoints
        .find(|endpoint| Some(endpoint.name()) == answered_by)
        .unwrap();
    leaving.update_behaviour(|behaviour| behaviour.leaving = true);
    wait_until("the endpoint has said that it leaves", || {
        let (_, response) = fleet.call(0, "/seats/1");
        response.is_ok_and(|response| response.endpoint == Some(leaving.name()))
    });
    fleet.set_links(0, LinkMode::Passes);
    thread::sleep(Duration::from_secs(1));
    let before = leaving.arrivals().len();
    for _ in 0..ROUNDS {
        let tally = call_all(&fleet, 0, 1);
        expect_that!(tally.served, eq(PATHS.len()), "{tally:?}");
    }
    expect_that!(leaving.arrivals().len(), eq(before));
}

/// Number of events of a slow stream.
const EVENT_COUNT: u32 = 25;
/// Interval between two events of a slow stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which endpoints stop after a caller has left; from the operators' specification.
const CANCEL_TIME: Duration = Duration::from_millis(500);

/// Starts VMs, of which the first has lost its links if `is_cut`, and engines with slow streams.
fn start_with_slow_streams(net: u8, vms: u8, is_cut: bool) -> Fleet {
    let fleet = Fleet::start_linked(net, vms);
    if is_cut {
        fleet.set_links(0, LinkMode::Hangs);
        call_until_contact(&fleet, 0);
    }
    for endpoint in &fleet.endpoints[..2] {
        endpoint.update_behaviour(|behaviour| {
            behaviour.event_count = EVENT_COUNT;
            behaviour.event_interval = EVENT_INTERVAL;
        });
    }
    fleet
}

/// Makes a call for a slow stream at the first VM, and does something in the middle of it.
fn call_disturbed(fleet: &mut Fleet, disturb: impl FnOnce(&mut Fleet)) -> (String, String) {
    let started = Instant::now();
    let (sender, receiver) = mpsc::channel();
    let address = fleet.address(0);
    let id = format!("slow{}", address.port());
    let call_id = id.clone();
    let caller = Caller::new(Configuration::host());
    let call = thread::spawn(move || {
        let request = CallRequest {
            id: &call_id,
            deadline: Duration::from_secs(9),
            ..CallRequest::new("", "/brief/1", KEYS[0])
        };
        sender.send(caller.call(address, &request)).unwrap();
    });
    wait_until("the stream runs", || {
        let runs = fleet.endpoints[..2].iter().flat_map(Endpoint::runs);
        runs.filter(|run| run.started > started).count() > 0
    });
    thread::sleep(EVENT_INTERVAL * 5);
    disturb(fleet);
    let response = receiver.recv().unwrap();
    call.join().unwrap();
    (
        id,
        response.map_or_else(|error| error.to_string(), |response| response.body),
    )
}

/// A stream that went through another VM broke off when that VM was killed.
#[gtest]
fn stream_through_another_vm_outlasts_its_end() {
    let mut fleet = start_with_slow_streams(182, 3, true);
    let (id, body) = call_disturbed(&mut fleet, |fleet| {
        let forwarded = fleet.log(0);
        let line = forwarded
            .lines()
            .rfind(|line| line.contains("\"event\":\"forwarded\""));
        let is_second = line.is_some_and(|line| line.contains("127.0.182.2"));
        fleet.kill(if is_second { 1 } else { 2 });
    });
    expect_that!(body, eq(&stream_body(&id, EVENT_COUNT)));
}

/// A stream broke off when its VM lost the links to the endpoints.
#[gtest]
fn stream_outlasts_the_loss_of_links() {
    for (net, mode) in [(183, LinkMode::Hangs), (184, LinkMode::Resets)] {
        let mut fleet = start_with_slow_streams(net, 2, false);
        let (id, body) = call_disturbed(&mut fleet, |fleet| {
            fleet.set_links(0, mode);
            // Other calls find out that no endpoint can be reached.
            call_for(fleet, 0, Duration::from_millis(500));
        });
        expect_that!(body, eq(&stream_body(&id, EVENT_COUNT)), "{mode:?}");
    }
}

/// Endpoints went on with calls whose callers had left, because the VM in between kept its connection.
#[gtest]
fn caller_that_leaves_ends_its_call_through_another_vm() {
    let fleet = start_with_slow_streams(185, 2, true);
    let id = "left";
    let request = CallRequest {
        id,
        deadline: Duration::from_secs(9),
        ..CallRequest::new("", "/brief/1", KEYS[0])
    };
    let mut connection = TcpStream::connect(fleet.address(0)).unwrap();
    let bytes = request.to_bytes(Configuration::host(), "HTTP/1.1");
    connection.write_all(&bytes).unwrap();
    let run = || {
        let mut runs = fleet.endpoints[..2].iter().flat_map(Endpoint::runs);
        runs.find(|run| run.call_id == id)
    };
    wait_until("the stream runs", || run().is_some());
    thread::sleep(EVENT_INTERVAL * 3);
    drop(connection);
    let left = Instant::now();
    wait_until("the run ends", || run().unwrap().ended.is_some());
    expect_that!(left.elapsed(), lt(CANCEL_TIME));
}

/// A call waited for a VM that was suspended until its deadline.
#[gtest]
fn call_leaves_a_vm_that_is_suspended() {
    let fleet = start_with_slow_streams(186, 3, true);
    fleet.signal(1, Signal::STOP);
    let start = Instant::now();
    let tally = call_all(&fleet, 0, 4);
    fleet.signal(1, Signal::CONT);
    // Calls that may run only once and were sent to that VM are in doubt.
    expect_that!(tally.served, ge(PATHS.len() * 4 - 2), "{tally:?}");
    expect_that!(start.elapsed(), lt(Duration::from_mins(1)));
    expect_allowed_runs(&fleet, &tally);
}

/// A call whose VM had shown a later configuration was run as an earlier one says, by a VM that had been
/// cut off from the platform (CONFIG).
#[gtest]
fn forwarded_call_goes_to_no_vm_with_an_earlier_configuration() {
    let fleet = Fleet::start_linked(129, 2);
    fleet.store_proxies[1].set_mode(LinkMode::Hangs);
    let mut configuration = Configuration::sample(2, &KEYS);
    configuration.set_targets("seats", &[("engines", 1.0)]);
    fleet.store.configure(&configuration);
    wait_until("the VM has the configuration", || {
        fleet.log(0).contains("\"version\":2,\"before\":1")
    });
    fleet.set_links(0, LinkMode::Resets);
    let start = Instant::now();
    let mut ids = Vec::new();
    while start.elapsed() < EARLIER_TIME {
        ids.push(fleet.call(0, "/seats/1").0);
        thread::sleep(CALL_PAUSE);
    }
    let is_run_early = |id: &&String| {
        let runs = fleet.endpoints[2..].iter().flat_map(Endpoint::runs);
        runs.into_iter().any(|run| run.call_id == **id)
    };
    let early: Vec<&String> = ids.iter().filter(is_run_early).collect();
    expect_that!(early, is_empty());
    // The other VM gets the configuration from this one, as its view is old.
    wait_until("calls are served", || {
        let response = fleet.call(0, "/seats/1").1;
        response.is_ok_and(|response| response.status == 200)
    });
}
