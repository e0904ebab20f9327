//! Several nodes with peer links, over real HTTP.

mod common;

use common::{ANY, Backs, KEY, booking, chat, client, publish, settings, start, status, until};
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
use std::{
    collections::BTreeSet,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

fn slow() -> EngineSpec {
    EngineSpec {
        token_time: Duration::from_millis(8),
        slots: 64,
        ..EngineSpec::default()
    }
}

/// A node that knows some others.
fn joined(vm: &str, others: &[&Node], set: Option<ObjectSet>) -> Node {
    joined_as(settings(vm), others, set)
}

fn joined_as(settings: Settings, others: &[&Node], set: Option<ObjectSet>) -> Node {
    let seeds = others.iter().map(|node| node.addresses().peers).collect();
    start(Settings { seeds, ..settings }, set)
}

/// As long as by default: longer than callers keep an address.
fn lasting(vm: &str) -> Settings {
    Settings {
        linger_ms: 6_000,
        ..settings(vm)
    }
}

fn knows(node: &Node, others: usize) -> bool {
    let members = status(node).members;
    members
        .iter()
        .filter(|member| member.state == "alive")
        .count()
        == others
}

fn three(backs: &Backs) -> Vec<Node> {
    three_as(backs, settings)
}

fn three_as(backs: &Backs, settings: fn(&str) -> Settings) -> Vec<Node> {
    let a = joined_as(settings("vm-a"), &[], Some(backs.set()));
    let b = joined_as(settings("vm-b"), &[&a], Some(backs.set()));
    let c = joined_as(settings("vm-c"), &[&a], Some(backs.set()));
    let nodes = vec![a, b, c];
    until("all know each other", || {
        nodes.iter().all(|node| knows(node, 2))
    });
    nodes
}

#[gtest]
fn calls_through_any_of_three_nodes_are_answered() {
    let backs = Backs::start(2, &EngineSpec::default());
    let nodes = three(&backs);
    for (index, node) in nodes.iter().enumerate() {
        let prompt = format!("question {index}");
        let report = client(node).chat(&chat(&prompt));
        expect_that!(report.outcome, eq(Outcome::Answered));
        expect_that!(report.text, eq(&answer_text(&prompt, 64)));
    }
}

#[gtest]
fn the_time_line_shows_calls_that_cross_to_their_home() {
    let backs = Backs::start(2, &EngineSpec::default());
    let nodes = three(&backs);
    for node in &nodes {
        let report = common::client_at(node).chat(&chat("who is at home?"));
        expect_that!(report.outcome, eq(Outcome::Answered));
    }
    let homes: Vec<Option<VmName>> = nodes.iter().map(forwarded_to).collect();
    let named: BTreeSet<&VmName> = homes.iter().flatten().collect();
    expect_that!(homes.iter().flatten().count(), eq(2));
    expect_that!(named.len(), eq(1));
}

/// The VM that a node handed its calls to.
fn forwarded_to(node: &Node) -> Option<VmName> {
    common::timeline(node)
        .into_iter()
        .find_map(|event| match event {
            EventKind::Forwarded { to } => Some(to),
            _ => None,
        })
}

#[gtest]
fn a_booking_repeated_at_another_node_runs_once() {
    let backs = Backs::start(1, &EngineSpec::default());
    let nodes = three(&backs);
    let key = client(&nodes[0]).new_key("seat-1");
    let at = |node: &Node| {
        let agent_client = DirectCaller::new(node);
        agent_client.book(key.as_deref().expect("a key"))
    };
    let bodies: Vec<(u16, String)> = nodes.iter().map(at).collect();
    expect_that!(bodies[0].0, eq(200));
    expect_that!(bodies[1], eq(&bodies[0]));
    expect_that!(bodies[2], eq(&bodies[0]));
    expect_that!(backs.service.stats().repeated_keys(), eq(0));
    let runs: Vec<u32> = backs.service.stats().runs.into_values().collect();
    expect_that!(runs, eq(&[1]));
}

/// Calls one node, without asking for addresses first.
struct DirectCaller {
    url: String,
}

impl DirectCaller {
    fn new(node: &Node) -> Self {
        Self {
            url: format!("http://{}/services/booking/seats", node.addresses().callers),
        }
    }

    fn book(&self, key: &str) -> (u16, String) {
        let mut response = common::agent()
            .post(&self.url)
            .header("authorization", format!("Bearer {KEY}"))
            .header("x-class", "seats")
            .header("idempotency-key", key)
            .send("{}")
            .expect("an answer");
        let text = response.body_mut().read_to_string().expect("a text");
        (response.status().as_u16(), text)
    }
}

#[gtest]
fn a_published_set_reaches_nodes_with_and_without_the_platform() {
    let backs = Backs::start(1, &EngineSpec::default());
    let platform = Store::start(ANY).expect("platform starts");
    let with = |vm| Settings {
        platform: Some(platform.url()),
        ..settings(vm)
    };
    let a = start(with("vm-a"), None);
    let b = joined("vm-b", &[&a], None);
    let published = publish(&platform, &backs.set(), 1);
    expect_that!(matches!(published, Published::Accepted(_)), eq(true));
    let holds = |node: &Node, generation| status(node).generation == Generation(generation);
    until("both hold the first set", || holds(&a, 1) && holds(&b, 1));
    let mut second = backs.set();
    second.tiers[0].floor_percent = 5;
    publish(&platform, &second, 2);
    until("both hold the second set", || holds(&a, 2) && holds(&b, 2));
    let report = client(&b).chat(&chat("who serves"));
    expect_that!(report.outcome, eq(Outcome::Answered));
}

#[gtest]
fn a_leaving_node_refuses_late_callers_and_names_others() {
    let backs = Backs::start(1, &slow());
    let mut nodes = three(&backs);
    let leaving = nodes.remove(0);
    let others: Vec<_> = nodes.iter().map(|node| node.addresses().callers).collect();
    std::thread::scope(|scope| {
        let caller = common::client_at(&leaving);
        let running = scope.spawn(move || caller.chat(&chat("a running call")));
        until("the call runs", || status(&leaving).calls.running == 1);
        leaving.drain();
        until("it drains", || {
            leaving.phase() == poplarswitch_wire::Phase::Draining
        });
        let (code, error) = common::post_error(&leaving, KEY, None, &common::body("late", 8));
        expect_that!(code, eq(503));
        expect_that!(error.ran, eq(poplarswitch_wire::Ran::NotRun));
        let mut named = error.others;
        named.sort();
        let mut expected = others.clone();
        expected.sort();
        expect_that!(named, eq(&expected));
        let report = running.join().expect("the caller ends");
        expect_that!(report.outcome, eq(Outcome::Answered));
        expect_that!(report.text, eq(&answer_text("a running call", 64)));
    });
    leaving.join();
}

/// What the callers of a rolling replacement saw.
#[derive(Default)]
struct Tally {
    started: AtomicUsize,
    whole: AtomicUsize,
    refused: AtomicUsize,
    bad: Mutex<Vec<String>>,
}

fn stream_calls(caller: usize, client: &Client, stop: &AtomicBool, tally: &Tally) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let prompt = format!("caller {caller} call {number}");
        let call = ChatCall {
            max_tokens: 48,
            ..chat(&prompt)
        };
        tally.started.fetch_add(1, Ordering::Relaxed);
        let report = client.chat(&call);
        match report.outcome {
            Outcome::Answered if report.text == answer_text(&prompt, 48) => {
                tally.whole.fetch_add(1, Ordering::Relaxed);
            }
            Outcome::NotRun(_) | Outcome::Unreached => {
                tally.refused.fetch_add(1, Ordering::Relaxed);
            }
            other => {
                let seen = format!("{prompt}: {other:?} after {} pieces", report.text_events);
                tally.bad.lock().expect("not poisoned").push(seen);
            }
        }
    }
}

fn replace_all(nodes: &mut Vec<Node>, backs: &Backs) {
    for round in 0..3 {
        let old = nodes.remove(0);
        let others: Vec<&Node> = nodes.iter().collect();
        let fresh = lasting(&format!("vm-new-{round}"));
        let fresh = joined_as(fresh, &others, Some(backs.set()));
        nodes.push(fresh);
        until("the new one is known", || {
            nodes.iter().all(|node| knows(node, 3))
        });
        old.drain();
        old.join();
        until("the old one is out", || {
            nodes.iter().all(|node| knows(node, 2))
        });
    }
}

#[gtest]
fn a_rolling_replacement_cuts_loses_and_doubles_no_stream() {
    let backs = Backs::start(2, &slow());
    let mut nodes = three_as(&backs, lasting);
    let seeds: Vec<_> = nodes.iter().map(|node| node.addresses().callers).collect();
    let tally = Tally::default();
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for caller in 0..12 {
            let (tally, stop) = (&tally, &stop);
            let client = Client::new(Directory::new(seeds.clone(), caller as u64), KEY);
            scope.spawn(move || stream_calls(caller, &client, stop, tally));
        }
        until("streams run", || tally.whole.load(Ordering::Relaxed) > 10);
        replace_all(&mut nodes, &backs);
        stop.store(true, Ordering::Relaxed);
    });
    let bad = tally.bad.lock().expect("not poisoned");
    expect_that!(*bad, is_empty());
    let [started, whole, refused] =
        [&tally.started, &tally.whole, &tally.refused].map(|count| count.load(Ordering::Relaxed));
    expect_that!(whole + refused, eq(started));
    let finished: u64 = backs
        .engines
        .iter()
        .map(|engine| engine.stats().finished)
        .sum();
    expect_that!(finished, eq(whole as u64));
}

#[gtest]
fn a_booking_outlives_the_node_that_took_it() {
    let backs = Backs::start(1, &EngineSpec::default());
    let mut nodes = three(&backs);
    let key = client(&nodes[0]).new_key("seat-2").expect("a key");
    let first = DirectCaller::new(&nodes[0]).book(&key);
    let old = nodes.remove(0);
    old.drain();
    old.join();
    // The VM that took the keys over tells the others; until then a caller is told "in doubt".
    until("the booking is found again", || {
        let again = DirectCaller::new(&nodes[0]).book(&key);
        let told = again.1.contains("\"ran\":\"in_doubt\"");
        assert!(told || again == first, "{again:?}");
        again == first
    });
    expect_that!(backs.service.stats().repeated_keys(), eq(0));
    let report = client(&nodes[1]).invoke(&booking(Some(key)));
    expect_that!(report.outcome, eq(Outcome::Answered));
    expect_that!(backs.service.stats().repeated_keys(), eq(0));
}

#[gtest]
fn a_dead_node_is_left_out_and_its_pools_move() {
    let backs = Backs::start(2, &slow());
    let mut nodes = three(&backs);
    let dead = nodes.remove(0);
    let whole = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        let (nodes, whole) = (&nodes, &whole);
        for caller in 0..8 {
            scope.spawn(move || {
                let prompt = format!("caller {caller} meanwhile");
                let report = common::client_at(&nodes[caller % 2]).chat(&chat(&prompt));
                assert_eq!(
                    report.text,
                    answer_text(&prompt, 64),
                    "{:?}",
                    report.outcome
                );
                whole.fetch_add(1, Ordering::Relaxed);
            });
        }
        until("some run", || {
            nodes.iter().any(|node| status(node).calls.running > 0)
        });
        dead.stop();
        until("all end", || whole.load(Ordering::Relaxed) == 8);
    });
    until("the dead one is out", || {
        nodes.iter().all(|node| knows(node, 1))
    });
}

#[gtest]
fn a_new_version_is_ordered_by_one_node_and_loaded_once() {
    let backs = Backs::start(2, &EngineSpec::default());
    let platform = Store::start(ANY).expect("platform starts");
    let with = |vm| Settings {
        platform: Some(platform.url()),
        ..settings(vm)
    };
    publish(&platform, &backs.set(), 1);
    let a = start(with("vm-a"), None);
    let b = joined("vm-b", &[&a], None);
    until("both serve", || {
        [&a, &b].iter().all(|node| status(node).generation.0 == 1)
    });
    let text = serde_json::to_string(&backs.set()).expect("a text");
    let text = text.replace("\"version\":\"1\"", "\"version\":\"2\"");
    let text = text.replace("\"versions\":[\"1\"]", "\"versions\":[\"2\",\"1\"]");
    publish(&platform, &serde_json::from_str(&text).expect("a set"), 2);
    let orders = || {
        backs
            .engines
            .iter()
            .map(|engine| engine.stats().orders)
            .sum::<u64>()
    };
    until("both engines are ordered", || orders() == 2);
    for engine in &backs.engines {
        let url = format!("http://{}/v1/desired", engine.address());
        until("the version is ready", || {
            let text = common::agent().get(&url).call().expect("an answer");
            let text = text.into_body().read_to_string().expect("a text");
            text.contains("\"version\":\"2\"") && text.contains("\"ready\":true")
        });
    }
}
