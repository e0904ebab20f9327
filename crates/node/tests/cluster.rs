//! Several nodes with links between them, in the process of the test.

mod common;

use common::{
    BEARER_KEY, Backends, LOOPBACK_ADDRESS, booking_call, chat_call, client, publish, settings,
    start_with, status, wait_until,
};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_client::{ChatCall, Client, Directory, Outcome};
use poplarswitch_deployment::Store;
use poplarswitch_entity::{Generation, VmName};
use poplarswitch_node::Node;
use poplarswitch_objects::ObjectSet;
use poplarswitch_publish::Outcome as Published;
use poplarswitch_settings::Settings;
use poplarswitch_standins::{EngineSpec, answer_text};
use poplarswitch_timeline::EventKind;
use poplarswitch_wire::ErrorCode;
use std::{
    collections::BTreeSet,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

/// An engine with many slots that is slow enough for calls to overlap other events.
fn slow_engine() -> EngineSpec {
    EngineSpec {
        token_time: Duration::from_millis(8),
        slots: 64,
        ..EngineSpec::default()
    }
}

/// Starts a node that has other nodes as its seeds.
fn start_member(vm: &str, others: &[&Node], set: Option<ObjectSet>) -> Node {
    start_member_with(settings(vm), others, set)
}

/// Starts a node with the given settings that has other nodes as its seeds.
fn start_member_with(settings: Settings, others: &[&Node], set: Option<ObjectSet>) -> Node {
    let seeds = others.iter().map(|node| node.addresses().peers).collect();
    start_with(Settings { seeds, ..settings }, set)
}

/// Settings with the default linger time, which is longer than callers cache addresses.
fn default_linger(vm: &str) -> Settings {
    Settings {
        linger_ms: 6_000,
        ..settings(vm)
    }
}

/// Whether a node knows exactly this number of other nodes that are alive.
fn has_members(node: &Node, others: usize) -> bool {
    let members = status(node).members;
    members
        .iter()
        .filter(|member| member.state == "alive")
        .count()
        == others
}

/// Starts three nodes that know each other.
fn start_three(backends: &Backends) -> Vec<Node> {
    start_three_with(backends, settings)
}

/// Starts three nodes with the given settings, and waits until they know each other.
fn start_three_with(backends: &Backends, settings: fn(&str) -> Settings) -> Vec<Node> {
    let a = start_member_with(settings("vm-a"), &[], Some(backends.set()));
    let b = start_member_with(settings("vm-b"), &[&a], Some(backends.set()));
    let c = start_member_with(settings("vm-c"), &[&a], Some(backends.set()));
    let nodes = vec![a, b, c];
    wait_until("all nodes know each other", || {
        nodes.iter().all(|node| has_members(node, 2))
    });
    nodes
}

#[gtest]
fn calls_through_any_of_three_nodes_are_answered() {
    let backends = Backends::start(2, &EngineSpec::default());
    let nodes = start_three(&backends);
    for (index, node) in nodes.iter().enumerate() {
        let prompt = format!("question {index}");
        let report = client(node).chat(&chat_call(&prompt));
        expect_that!(report.outcome, eq(Outcome::Answered));
        expect_that!(report.text, eq(&answer_text(&prompt, 64)));
    }
}

#[gtest]
fn timeline_shows_calls_forwarded_to_their_home() {
    let backends = Backends::start(2, &EngineSpec::default());
    let nodes = start_three(&backends);
    for node in &nodes {
        let report = common::fixed_client(node).chat(&chat_call("who is at home?"));
        expect_that!(report.outcome, eq(Outcome::Answered));
    }
    let targets: Vec<Option<VmName>> = nodes.iter().map(forwarding_target).collect();
    let distinct: BTreeSet<&VmName> = targets.iter().flatten().collect();
    expect_that!(targets.iter().flatten().count(), eq(2));
    expect_that!(distinct.len(), eq(1));
}

/// VM to which a node forwarded its first forwarded call.
fn forwarding_target(node: &Node) -> Option<VmName> {
    common::timeline(node)
        .into_iter()
        .find_map(|event| match event {
            EventKind::Forwarded { to } => Some(to),
            _ => None,
        })
}

#[gtest]
fn non_repeatable_call_repeated_at_other_nodes_runs_once() {
    let backends = Backends::start(1, &EngineSpec::default());
    let nodes = start_three(&backends);
    let key = client(&nodes[0]).new_key("seat-1");
    let book_at = |node: &Node| {
        let direct_caller = DirectCaller::new(node);
        direct_caller.book(key.as_deref().expect("an idempotency key"))
    };
    let answers: Vec<(u16, String)> = nodes.iter().map(book_at).collect();
    expect_that!(answers[0].0, eq(200));
    expect_that!(answers[1], eq(&answers[0]));
    expect_that!(answers[2], eq(&answers[0]));
    expect_that!(backends.service.stats().repeated_keys(), eq(0));
    let runs: Vec<u32> = backends.service.stats().runs.into_values().collect();
    expect_that!(runs, eq(&[1]));
}

/// A caller that sends all calls to one node, with idempotency keys that it is given.
struct DirectCaller {
    url: String,
}

impl DirectCaller {
    fn new(node: &Node) -> Self {
        Self {
            url: format!("http://{}/services/booking/seats", node.addresses().callers),
        }
    }

    /// Calls the service `booking` in the class `seats`; returns the status and the body.
    fn book(&self, key: &str) -> (u16, String) {
        let mut response = common::agent()
            .post(&self.url)
            .header("authorization", format!("Bearer {BEARER_KEY}"))
            .header("x-class", "seats")
            .header("idempotency-key", key)
            .send("{}")
            .expect("a response");
        let text = response.body_mut().read_to_string().expect("a UTF-8 body");
        (response.status().as_u16(), text)
    }
}

#[gtest]
fn published_set_reaches_nodes_with_and_without_the_platform() {
    let backends = Backends::start(1, &EngineSpec::default());
    let platform = Store::start(LOOPBACK_ADDRESS).expect("platform starts");
    let with_platform = |vm| Settings {
        platform: Some(platform.url()),
        ..settings(vm)
    };
    let a = start_with(with_platform("vm-a"), None);
    let b = start_member("vm-b", &[&a], None);
    let published = publish(&platform, &backends.set(), 1);
    expect_that!(matches!(published, Published::Accepted(_)), eq(true));
    let has_generation =
        |node: &Node, generation| status(node).generation == Generation(generation);
    wait_until("both nodes have the first set in force", || {
        has_generation(&a, 1) && has_generation(&b, 1)
    });
    let mut second = backends.set();
    second.tiers[0].floor_percent = 5;
    publish(&platform, &second, 2);
    wait_until("both nodes have the second set in force", || {
        has_generation(&a, 2) && has_generation(&b, 2)
    });
    let report = client(&b).chat(&chat_call("who serves"));
    expect_that!(report.outcome, eq(Outcome::Answered));
}

#[gtest]
fn draining_node_refuses_new_calls_and_names_the_others() {
    let backends = Backends::start(1, &slow_engine());
    let mut nodes = start_three(&backends);
    let draining = nodes.remove(0);
    let others: Vec<_> = nodes.iter().map(|node| node.addresses().callers).collect();
    std::thread::scope(|scope| {
        let caller = common::fixed_client(&draining);
        let running = scope.spawn(move || caller.chat(&chat_call("a running call")));
        wait_until("the call runs", || status(&draining).calls.running == 1);
        draining.drain();
        wait_until("the node drains", || {
            draining.phase() == poplarswitch_wire::Phase::Draining
        });
        let (code, error) =
            common::post_error(&draining, BEARER_KEY, None, &common::chat_body("late", 8));
        expect_that!(code, eq(503));
        expect_that!(error.ran, eq(poplarswitch_wire::Ran::NotRun));
        let mut addresses = error.others;
        addresses.sort();
        let mut expected = others.clone();
        expected.sort();
        expect_that!(addresses, eq(&expected));
        let report = running.join().expect("the caller does not panic");
        expect_that!(report.outcome, eq(Outcome::Answered));
        expect_that!(report.text, eq(&answer_text("a running call", 64)));
    });
    draining.join();
}

/// Counts of the outcomes that callers got during a rolling replacement.
#[derive(Default)]
struct CallTally {
    started: AtomicUsize,
    /// Calls with the complete answer.
    complete: AtomicUsize,
    /// Calls that were not run.
    refused: AtomicUsize,
    /// Descriptions of all other calls.
    failures: Mutex<Vec<String>>,
}

/// Makes streamed calls until `stop` is set.
fn call_until_stopped(caller: usize, client: &Client, stop: &AtomicBool, tally: &CallTally) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let prompt = format!("caller {caller} call {number}");
        let call = ChatCall {
            max_tokens: 48,
            ..chat_call(&prompt)
        };
        tally.started.fetch_add(1, Ordering::Relaxed);
        let report = client.chat(&call);
        match report.outcome {
            Outcome::Answered if report.text == answer_text(&prompt, 48) => {
                tally.complete.fetch_add(1, Ordering::Relaxed);
            }
            Outcome::NotRun(_) | Outcome::Unreached => {
                tally.refused.fetch_add(1, Ordering::Relaxed);
            }
            other => {
                let failure = format!(
                    "{prompt}: {other:?} after {} text events",
                    report.text_events
                );
                tally
                    .failures
                    .lock()
                    .expect("the mutex is not poisoned")
                    .push(failure);
            }
        }
    }
}

/// Replaces the nodes one by one: starts a new node, then drains an old one until it ends.
fn replace_all_nodes(nodes: &mut Vec<Node>, backends: &Backends) {
    for round in 0..3 {
        let old = nodes.remove(0);
        let others: Vec<&Node> = nodes.iter().collect();
        let replacement = default_linger(&format!("vm-new-{round}"));
        let replacement = start_member_with(replacement, &others, Some(backends.set()));
        nodes.push(replacement);
        wait_until("all nodes know the new one", || {
            nodes.iter().all(|node| has_members(node, 3))
        });
        old.drain();
        old.join();
        wait_until("no node knows the old one", || {
            nodes.iter().all(|node| has_members(node, 2))
        });
    }
}

#[gtest]
fn rolling_replacement_cuts_loses_or_repeats_no_stream() {
    let backends = Backends::start(2, &slow_engine());
    let mut nodes = start_three_with(&backends, default_linger);
    let seeds: Vec<_> = nodes.iter().map(|node| node.addresses().callers).collect();
    let tally = CallTally::default();
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for caller in 0..12 {
            let (tally, stop) = (&tally, &stop);
            let client = Client::new(Directory::new(seeds.clone(), caller as u64), BEARER_KEY);
            scope.spawn(move || call_until_stopped(caller, &client, stop, tally));
        }
        wait_until("several calls are answered", || {
            tally.complete.load(Ordering::Relaxed) > 10
        });
        replace_all_nodes(&mut nodes, &backends);
        stop.store(true, Ordering::Relaxed);
    });
    let failures = tally.failures.lock().expect("the mutex is not poisoned");
    expect_that!(*failures, is_empty());
    let [started, complete, refused] = [&tally.started, &tally.complete, &tally.refused]
        .map(|count| count.load(Ordering::Relaxed));
    expect_that!(complete + refused, eq(started));
    let finished: u64 = backends
        .engines
        .iter()
        .map(|engine| engine.stats().finished)
        .sum();
    expect_that!(finished, eq(complete as u64));
}

#[gtest]
fn result_of_a_non_repeatable_call_survives_the_node_that_accepted_it() {
    let backends = Backends::start(1, &EngineSpec::default());
    let mut nodes = start_three(&backends);
    let key = client(&nodes[0])
        .new_key("seat-2")
        .expect("an idempotency key");
    let first = DirectCaller::new(&nodes[0]).book(&key);
    let old = nodes.remove(0);
    old.drain();
    old.join();
    // The successor announces to the other VMs that it has taken over the keys. A VM that has not
    // learned of it yet reports the call as in doubt.
    wait_until("the repeated call gets the first answer", || {
        let again = DirectCaller::new(&nodes[0]).book(&key);
        let in_doubt = again.1.contains("\"ran\":\"in_doubt\"");
        assert!(in_doubt || again == first, "{again:?}");
        again == first
    });
    expect_that!(backends.service.stats().repeated_keys(), eq(0));
    // So does the other VM, until it has learned of it as well.
    wait_until("another VM repeats the answer", || {
        let report = client(&nodes[1]).invoke(&booking_call(Some(key.clone())));
        let in_doubt = report.outcome == Outcome::InDoubt(ErrorCode::HomeUnreached);
        let is_answered = report.outcome == Outcome::Answered;
        assert!(in_doubt || is_answered, "{:?}", report.outcome);
        is_answered
    });
    expect_that!(backends.service.stats().repeated_keys(), eq(0));
}

#[gtest]
fn stopped_node_is_excluded_and_its_pools_get_new_homes() {
    let backends = Backends::start(2, &slow_engine());
    let mut nodes = start_three(&backends);
    let stopped = nodes.remove(0);
    let complete = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        let (nodes, complete) = (&nodes, &complete);
        for caller in 0..8 {
            scope.spawn(move || {
                let prompt = format!("caller {caller} meanwhile");
                let report = common::fixed_client(&nodes[caller % 2]).chat(&chat_call(&prompt));
                assert_eq!(
                    report.text,
                    answer_text(&prompt, 64),
                    "{:?}",
                    report.outcome
                );
                complete.fetch_add(1, Ordering::Relaxed);
            });
        }
        wait_until("some calls run", || {
            nodes.iter().any(|node| status(node).calls.running > 0)
        });
        stopped.stop();
        wait_until("all calls are answered", || {
            complete.load(Ordering::Relaxed) == 8
        });
    });
    wait_until("the others exclude the stopped node", || {
        nodes.iter().all(|node| has_members(node, 1))
    });
}

#[gtest]
fn new_version_is_ordered_by_one_node_and_loaded_once() {
    let backends = Backends::start(2, &EngineSpec::default());
    let platform = Store::start(LOOPBACK_ADDRESS).expect("platform starts");
    let with_platform = |vm| Settings {
        platform: Some(platform.url()),
        ..settings(vm)
    };
    publish(&platform, &backends.set(), 1);
    let a = start_with(with_platform("vm-a"), None);
    let b = start_member("vm-b", &[&a], None);
    wait_until("both nodes have the set in force", || {
        [&a, &b].iter().all(|node| status(node).generation.0 == 1)
    });
    let text = serde_json::to_string(&backends.set()).expect("JSON");
    let text = text.replace("\"version\":\"1\"", "\"version\":\"2\"");
    let text = text.replace("\"versions\":[\"1\"]", "\"versions\":[\"2\",\"1\"]");
    publish(
        &platform,
        &serde_json::from_str(&text).expect("the set parses"),
        2,
    );
    let orders = || {
        backends
            .engines
            .iter()
            .map(|engine| engine.stats().orders)
            .sum::<u64>()
    };
    wait_until("both engines have got an order", || orders() == 2);
    for engine in &backends.engines {
        let url = format!("http://{}/v1/desired", engine.address());
        wait_until("the version is ready", || {
            let text = common::agent().get(&url).call().expect("a response");
            let text = text.into_body().read_to_string().expect("a UTF-8 body");
            text.contains("\"version\":\"2\"") && text.contains("\"ready\":true")
        });
    }
}
