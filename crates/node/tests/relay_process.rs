//! Real processes of the relay, with faults from outside.

mod relay;

use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_deployment::{Configuration, Endpoint, EndpointKind, StoreFault};
use relay::{Fleet, KEYS, await_that, events};
use rustix::process::Signal;
use std::thread;

#[gtest]
fn every_kind_of_call_gets_its_own_answer() {
    let fleet = Fleet::start(11, 3);
    for vm in 0..3 {
        for path in ["/book/1", "/seats/1"] {
            let (call, told) = fleet.call(vm, path);
            let told = told.unwrap();
            assert_that!(told.status, eq(200));
            assert_that!(told.body, starts_with(format!("{call} answered by")));
            assert_that!(fleet.runs(&call), eq(1));
        }
        for path in ["/chat/1", "/brief/1"] {
            let (call, told) = fleet.call(vm, path);
            assert_that!(told.unwrap().body, eq(&events(&call, 5)));
        }
    }
    let runs = fleet.endpoints.iter().flat_map(Endpoint::runs);
    for run in runs {
        assert_that!(run.workspace.as_deref(), some(eq("guides")));
    }
    expect_that!(fleet.call(0, "/none/1").1.unwrap().status, eq(404));
    expect_that!(
        fleet.call_with(0, "/book/1", "wrong").1.unwrap().status,
        eq(401)
    );
}

#[gtest]
fn a_vm_that_leaves_ends_its_streams_and_is_named_to_nobody() {
    let mut fleet = Fleet::start(12, 3);
    for endpoint in &fleet.endpoints {
        endpoint.update_behaviour(|behaviour| {
            behaviour.event_count = 20;
            behaviour.event_interval = Duration::from_millis(100);
        });
    }
    let leaving = fleet.address(1);
    let (call, told) = thread::scope(|scope| {
        let stream = scope.spawn(|| fleet.call(1, "/chat/1"));
        await_that("the stream runs", || {
            fleet.endpoints.iter().any(|e| !e.runs().is_empty())
        });
        fleet.signal(1, Signal::TERM);
        await_that("the others leave it out", || {
            !fleet.addresses(0).contains(&leaving)
        });
        stream.join().unwrap()
    });
    expect_that!(told.unwrap().body, eq(&events(&call, 20)));
    expect_that!(fleet.await_end(1), eq(true));
    expect_that!(
        fleet.log(1),
        contains_substring("\"event\":\"stopped\",\"in_flight\":0")
    );
}

#[gtest]
fn a_vm_that_leaves_takes_its_entry_out_of_the_platform() {
    let mut fleet = Fleet::start(23, 3);
    await_that("all VMs are listed", || fleet.store.vm_names().len() == 3);
    fleet.signal(1, Signal::TERM);
    expect_that!(fleet.await_end(1), eq(true));
    expect_that!(fleet.store.vm_names().len(), eq(2));
    fleet.run(1);
    await_that("it is listed again", || fleet.store.vm_names().len() == 3);
}

/// The platform may carry a removal out late, when the VM's next process has registered.
#[gtest]
fn each_process_of_a_vm_writes_an_entry_of_its_own() {
    let mut fleet = Fleet::start(25, 2);
    await_that("all VMs are listed", || fleet.store.vm_names().len() == 2);
    let name = fleet.store.vm_names().remove(1);
    let before = fleet.store.vm_revision(&name);
    fleet.kill(1);
    fleet.run(1);
    await_that("its entry is another", || {
        fleet.store.vm_revision(&name) > before
    });
}

#[gtest]
fn a_stream_goes_on_where_its_endpoint_broke_off() {
    let fleet = Fleet::start(13, 1);
    for endpoint in &fleet.endpoints {
        endpoint.update_behaviour(|behaviour| behaviour.cut_after = Some(3));
    }
    let (call, told) = fleet.call(0, "/brief/1");
    // Each of the two endpoints that the route allows makes three events at most.
    expect_that!(told.unwrap().body, eq(&events(&call, 5)));
    expect_that!(fleet.runs(&call), eq(2));
    let (_, told) = fleet.call(0, "/chat/1");
    expect_that!(told.is_err(), eq(true));
}

#[gtest]
fn a_booking_whose_answer_is_lost_runs_once_and_is_not_called_unrun() {
    let fleet = Fleet::start(14, 1);
    for endpoint in &fleet.endpoints {
        endpoint.update_behaviour(|behaviour| behaviour.lose_answers = true);
    }
    let (call, told) = fleet.call(0, "/book/1");
    let told = told.unwrap();
    expect_that!(told.not_run(), eq(false));
    expect_that!(told.status, eq(502));
    expect_that!(fleet.runs(&call), eq(1));
}

#[gtest]
fn a_call_that_endpoints_refuse_is_told_that_it_has_not_run() {
    let fleet = Fleet::start(15, 1);
    for endpoint in &fleet.endpoints {
        endpoint.update_behaviour(|behaviour| behaviour.decline = true);
    }
    for path in ["/book/1", "/seats/1", "/chat/1"] {
        let (call, told) = fleet.call(0, path);
        expect_that!(told.unwrap().not_run(), eq(true));
        expect_that!(fleet.runs(&call), eq(0));
    }
}

#[gtest]
fn an_endpoint_that_drains_gets_no_more_work() {
    let fleet = Fleet::start(16, 3);
    fleet.register(2, EndpointKind::Service, 1, true);
    for vm in 0..3 {
        await_that("the VM knows of the drain", || {
            fleet
                .log(vm)
                .contains("\"event\":\"draining\",\"endpoint\":\"booking-1\"")
        });
    }
    let before = fleet.endpoints[2].runs().len();
    for n in 0..30 {
        assert_that!(fleet.call(n % 3, "/book/1").1.unwrap().status, eq(200));
    }
    expect_that!(fleet.endpoints[2].runs().len(), eq(before));
}

#[gtest]
fn a_key_that_is_taken_away_stops_working_on_all_vms() {
    let fleet = Fleet::start(17, 3);
    fleet.store.configure(&Configuration::sample(2, &KEYS[..1]));
    for vm in 0..3 {
        await_that("the key is refused", || {
            fleet.call_with(vm, "/book/1", KEYS[1]).1.unwrap().status == 401
        });
        assert_that!(fleet.call(vm, "/book/1").1.unwrap().status, eq(200));
    }
}

#[gtest]
fn vms_that_cant_prove_their_configuration_refuse_until_the_store_is_back() {
    let fleet = Fleet::start(18, 2);
    fleet.store.set_fault(StoreFault::Silent);
    for vm in 0..2 {
        await_that("calls are refused unrun", || {
            let (call, told) = fleet.call(vm, "/book/1");
            let told = told.unwrap();
            assert_that!(fleet.runs(&call), eq(usize::from(told.status == 200)));
            told.not_run()
        });
    }
    fleet.store.set_fault(StoreFault::None);
    for vm in 0..2 {
        await_that("calls are served", || {
            fleet.call(vm, "/book/1").1.unwrap().status == 200
        });
    }
    for event in ["lost", "regained"] {
        await_that("the outage is written down", || {
            let line = format!("\"message\":\"platform\",\"event\":\"{event}\"");
            (0..2).any(|vm| fleet.log(vm).contains(&line))
        });
    }
}

#[gtest]
fn a_vm_that_restarts_while_the_store_refuses_learns_from_the_others() {
    let mut fleet = Fleet::start(19, 3);
    fleet.kill(2);
    fleet.store.set_fault(StoreFault::Refuses(503));
    fleet.run(2);
    await_that("the set comes from a peer", || {
        fleet
            .log(2)
            .contains("\"version\":1,\"before\":0,\"routes\":4,\"source\":\"peer\"")
    });
}

#[gtest]
fn the_store_may_forget_its_history() {
    let mut fleet = Fleet::start(20, 2);
    fleet.store.clear_history();
    fleet.add_endpoint("booking-3", EndpointKind::Service);
    fleet.store.unregister("booking-1");
    fleet.store.unregister("booking-2");
    for vm in 0..2 {
        await_that("calls go to the endpoint that is left", || {
            let told = fleet.call(vm, "/seats/1").1.unwrap();
            told.endpoint.as_deref() == Some("booking-3")
        });
    }
}

#[gtest]
fn a_vm_that_dies_is_named_to_nobody_and_the_others_serve() {
    let mut fleet = Fleet::start(21, 3);
    let dead = fleet.address(0);
    fleet.kill(0);
    for vm in 1..3 {
        await_that("it is left out", || !fleet.addresses(vm).contains(&dead));
        assert_that!(fleet.call(vm, "/book/1").1.unwrap().status, eq(200));
    }
}

/// In calm, one VM of each data centre reads the platform for all.
#[gtest]
fn calls_to_the_platform_do_not_grow_with_the_vms() {
    let fleet = Fleet::start(22, 6);
    thread::sleep(Duration::from_secs(2));
    let before = fleet.store.stats().calls;
    thread::sleep(Duration::from_secs(4));
    let calls = fleet.store.stats().calls - before;
    // Two readers with a watch in 0.8 s and one in 2 s make 14; each VM for itself would make 42.
    expect_that!(calls, lt(30));
}
