//! Relay processes on loopback, with signals to them and faults of the store and the endpoints.

mod relay;

use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_deployment::{Configuration, Endpoint, EndpointKind, StoreFault};
use relay::{Fleet, KEYS, stream_body, wait_until};
use rustix::process::Signal;
use std::thread;

#[gtest]
fn calls_on_all_routes_get_their_own_answers() {
    let fleet = Fleet::start(11, 3);
    for vm in 0..3 {
        for path in ["/book/1", "/seats/1"] {
            let (id, response) = fleet.call(vm, path);
            let response = response.unwrap();
            assert_that!(response.status, eq(200));
            assert_that!(response.body, starts_with(format!("{id} answered by")));
            assert_that!(fleet.run_count(&id), eq(1));
        }
        for path in ["/chat/1", "/brief/1"] {
            let (id, response) = fleet.call(vm, path);
            assert_that!(response.unwrap().body, eq(&stream_body(&id, 5)));
        }
    }
    let runs = fleet.endpoints.iter().flat_map(Endpoint::runs);
    for run in runs {
        assert_that!(run.workspace.as_deref(), some(eq("guides")));
    }
    expect_that!(fleet.call(0, "/none/1").1.unwrap().status, eq(404));
    expect_that!(
        fleet.call_with_key(0, "/book/1", "wrong").1.unwrap().status,
        eq(401)
    );
}

#[gtest]
fn terminating_vm_completes_its_streams_and_is_removed_from_addresses() {
    let mut fleet = Fleet::start(12, 3);
    for endpoint in &fleet.endpoints {
        endpoint.update_behaviour(|behaviour| {
            behaviour.event_count = 20;
            behaviour.event_interval = Duration::from_millis(100);
        });
    }
    let address = fleet.address(1);
    let (id, response) = thread::scope(|scope| {
        let stream = scope.spawn(|| fleet.call(1, "/chat/1"));
        wait_until("the stream runs", || {
            fleet.endpoints.iter().any(|e| !e.runs().is_empty())
        });
        fleet.signal(1, Signal::TERM);
        wait_until("another VM no longer lists it", || {
            !fleet.addresses(0).contains(&address)
        });
        stream.join().unwrap()
    });
    expect_that!(response.unwrap().body, eq(&stream_body(&id, 20)));
    expect_that!(fleet.await_exit(1), eq(true));
    expect_that!(
        fleet.log(1),
        contains_substring("\"event\":\"stopped\",\"in_flight\":0")
    );
}

#[gtest]
fn terminating_vm_removes_its_entry_from_the_store() {
    let mut fleet = Fleet::start(23, 3);
    wait_until("all VMs are registered", || {
        fleet.store.vm_names().len() == 3
    });
    fleet.signal(1, Signal::TERM);
    expect_that!(fleet.await_exit(1), eq(true));
    expect_that!(fleet.store.vm_names().len(), eq(2));
    fleet.start_process(1);
    wait_until("the VM is registered again", || {
        fleet.store.vm_names().len() == 3
    });
}

/// The store may execute a removal late, when the next process of the VM has already registered.
/// The removal must not match the new entry, so the new process must write an entry with a new
/// revision.
#[gtest]
fn restarted_vm_writes_a_new_entry() {
    let mut fleet = Fleet::start(25, 2);
    wait_until("all VMs are registered", || {
        fleet.store.vm_names().len() == 2
    });
    let name = fleet.store.vm_names().remove(1);
    let before = fleet.store.vm_revision(&name);
    fleet.kill(1);
    fleet.start_process(1);
    wait_until("the entry has a new revision", || {
        fleet.store.vm_revision(&name) > before
    });
}

#[gtest]
fn cut_stream_is_resumed_only_if_its_route_allows_it() {
    let fleet = Fleet::start(13, 1);
    for endpoint in &fleet.endpoints {
        endpoint.update_behaviour(|behaviour| behaviour.cut_after = Some(3));
    }
    let (id, response) = fleet.call(0, "/brief/1");
    // The route allows two attempts, and each endpoint cuts the stream after three events.
    expect_that!(response.unwrap().body, eq(&stream_body(&id, 5)));
    expect_that!(fleet.run_count(&id), eq(2));
    let (_, response) = fleet.call(0, "/chat/1");
    expect_that!(response.is_err(), eq(true));
}

#[gtest]
fn non_idempotent_call_with_a_lost_answer_runs_once_and_is_not_reported_as_not_run() {
    let fleet = Fleet::start(14, 1);
    for endpoint in &fleet.endpoints {
        endpoint.update_behaviour(|behaviour| behaviour.lose_answers = true);
    }
    let (id, response) = fleet.call(0, "/book/1");
    let response = response.unwrap();
    expect_that!(response.not_run(), eq(false));
    expect_that!(response.status, eq(502));
    expect_that!(fleet.run_count(&id), eq(1));
}

#[gtest]
fn call_that_endpoints_decline_is_reported_as_not_run() {
    let fleet = Fleet::start(15, 1);
    for endpoint in &fleet.endpoints {
        endpoint.update_behaviour(|behaviour| behaviour.decline = true);
    }
    for path in ["/book/1", "/seats/1", "/chat/1"] {
        let (id, response) = fleet.call(0, path);
        expect_that!(response.unwrap().not_run(), eq(true));
        expect_that!(fleet.run_count(&id), eq(0));
    }
}

#[gtest]
fn draining_endpoint_gets_no_further_calls() {
    let fleet = Fleet::start(16, 3);
    fleet.register(2, EndpointKind::Service, 1, true);
    for vm in 0..3 {
        wait_until("the VM knows that the endpoint is draining", || {
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
fn revoked_key_is_refused_by_all_vms() {
    let fleet = Fleet::start(17, 3);
    fleet.store.configure(&Configuration::sample(2, &KEYS[..1]));
    for vm in 0..3 {
        wait_until("the revoked key is refused", || {
            fleet
                .call_with_key(vm, "/book/1", KEYS[1])
                .1
                .unwrap()
                .status
                == 401
        });
        assert_that!(fleet.call(vm, "/book/1").1.unwrap().status, eq(200));
    }
}

#[gtest]
fn vms_with_an_unconfirmed_configuration_refuse_calls_until_the_store_recovers() {
    let fleet = Fleet::start(18, 2);
    fleet.store.set_fault(StoreFault::Silent);
    for vm in 0..2 {
        wait_until("calls are refused and not run", || {
            let (id, response) = fleet.call(vm, "/book/1");
            let response = response.unwrap();
            assert_that!(
                fleet.run_count(&id),
                eq(usize::from(response.status == 200))
            );
            response.not_run()
        });
    }
    fleet.store.set_fault(StoreFault::None);
    for vm in 0..2 {
        wait_until("calls are served", || {
            fleet.call(vm, "/book/1").1.unwrap().status == 200
        });
    }
    for event in ["lost", "regained"] {
        wait_until("the start and the end of the outage are logged", || {
            let line = format!("\"message\":\"platform\",\"event\":\"{event}\"");
            (0..2).any(|vm| fleet.log(vm).contains(&line))
        });
    }
}

#[gtest]
fn vm_restarted_while_the_store_refuses_calls_gets_the_configuration_from_a_peer() {
    let mut fleet = Fleet::start(19, 3);
    fleet.kill(2);
    fleet.store.set_fault(StoreFault::Refuses(503));
    fleet.start_process(2);
    wait_until("the configuration is applied from a peer", || {
        fleet
            .log(2)
            .contains("\"version\":1,\"before\":0,\"routes\":4,\"source\":\"peer\"")
    });
}

#[gtest]
fn changes_are_seen_after_the_store_clears_its_history() {
    let mut fleet = Fleet::start(20, 2);
    fleet.store.clear_history();
    fleet.add_endpoint("booking-3", EndpointKind::Service);
    fleet.store.unregister("booking-1");
    fleet.store.unregister("booking-2");
    for vm in 0..2 {
        wait_until("calls go to the only registered endpoint", || {
            let response = fleet.call(vm, "/seats/1").1.unwrap();
            response.endpoint.as_deref() == Some("booking-3")
        });
    }
}

#[gtest]
fn killed_vm_is_removed_from_addresses_and_the_others_serve() {
    let mut fleet = Fleet::start(21, 3);
    let address = fleet.address(0);
    fleet.kill(0);
    for vm in 1..3 {
        wait_until("the other VM no longer lists it", || {
            !fleet.addresses(vm).contains(&address)
        });
        assert_that!(fleet.call(vm, "/book/1").1.unwrap().status, eq(200));
    }
}

/// While nothing fails, one VM of each data centre reads the store, and the others get its data
/// from that VM.
#[gtest]
fn store_calls_do_not_grow_with_the_number_of_vms() {
    let fleet = Fleet::start(22, 6);
    thread::sleep(Duration::from_secs(2));
    let before = fleet.store.stats().calls;
    thread::sleep(Duration::from_secs(4));
    let calls = fleet.store.stats().calls - before;
    // Each reader makes one call every 0.8 s to watch the configuration and one every 2 s to watch
    // the endpoints. Two readers make 14 calls in 4 s; if all six VMs read, they would make 42.
    expect_that!(calls, lt(30));
}
