//! Orders to engines, over real HTTP with the stand-ins.

mod common;

use common::{ANY, Backs, chat, secrets, settings, status, timeline, until};
use core::{
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    time::Duration,
};
use googletest::prelude::*;
use poplarswitch_client::Outcome;
use poplarswitch_deployment::{Store, StoreFault};
use poplarswitch_entity::FencingNumber;
use poplarswitch_node::{Node, Setup};
use poplarswitch_objects::{ObjectSet, Serves};
use poplarswitch_orders as orders;
use poplarswitch_standins::{Engine, EngineSpec, LoadSpan};
use poplarswitch_timeline::EventKind;
use serde_json::{Value, json};

/// Periods that are short, so that a test sees several leases.
fn periods() -> orders::Settings {
    orders::Settings::builder()
        .lease_duration(Duration::from_secs(4))
        .renew_interval(Duration::from_millis(500))
        .max_call(Duration::from_secs(1))
        .max_pause(Duration::from_millis(500))
        .observe_interval(Duration::from_millis(100))
        .stale_after(Duration::from_secs(2))
        .retry_delay(Duration::from_millis(100))
        .build()
}

fn start(vm: &str, platform: &Store, others: &[&Node]) -> Node {
    let mut settings = settings(vm);
    settings.platform = Some(platform.url());
    settings.seeds = others.iter().map(|node| node.addresses().peers).collect();
    let setup = Setup::builder()
        .settings(settings)
        .secrets(secrets())
        .orders(periods())
        .build();
    Node::start(setup).expect("node starts")
}

fn platform() -> Store {
    Store::start(ANY).expect("platform starts")
}

fn engines(count: usize, fenced: bool) -> Backs {
    let spec = EngineSpec {
        fenced,
        ..EngineSpec::default()
    };
    Backs::start(count, &spec)
}

/// The set of the stand-ins with a version, all but one of the replicas being needed.
fn versioned(backs: &Backs, version: &str, fenced: bool) -> ObjectSet {
    let mut set = backs.set();
    set.models[0].versions = vec!["2".into(), "1".into()];
    set.models[0].min_ready = backs.engines.len() as u32 - 1;
    for endpoint in &mut set.endpoints {
        if let Serves::Model { version: held, .. } = &mut endpoint.serves {
            *held = version.into();
            endpoint.fenced = fenced;
        }
    }
    set
}

fn desired(engine: &Engine) -> Value {
    let url = format!("http://{}/v1/desired", engine.address());
    let mut response = common::agent().get(&url).call().expect("an answer");
    response.body_mut().read_json().expect("a state")
}

fn serves(engine: &Engine, version: &str) -> bool {
    let held = desired(engine);
    held["version"] == version && held["ready"] == true
}

/// Sends an order by hand; returns the status.
fn order(engine: &Engine, fencing: u64, version: &str) -> u16 {
    let url = format!("http://{}/v1/desired", engine.address());
    let body = json!({"fencing": fencing, "model": "assistant", "version": version});
    let response = common::agent().put(&url).send(body.to_string());
    response.expect("an answer").status().as_u16()
}

/// The most engines that loaded at the same time.
fn most_loading(backs: &Backs) -> usize {
    let spans: Vec<LoadSpan> = backs.engines.iter().flat_map(Engine::load_spans).collect();
    let during = |at: &LoadSpan| {
        let covers = |span: &&LoadSpan| span.started <= at.started && at.started < span.ready;
        spans.iter().filter(covers).count()
    };
    spans.iter().map(during).max().unwrap_or_default()
}

/// Calls until it is stopped; every call must be answered whole.
fn keep_calling(node: &Node, stop: &AtomicBool, answered: &AtomicUsize) {
    let client = common::client_at(node);
    while !stop.load(Ordering::Relaxed) {
        let report = client.chat(&chat("meanwhile"));
        assert_eq!(report.outcome, Outcome::Answered);
        answered.fetch_add(1, Ordering::Relaxed);
    }
}

fn rolls_one_after_another(fenced: bool) {
    let (backs, platform) = (engines(3, fenced), platform());
    common::publish(&platform, &versioned(&backs, "1", fenced), 1);
    let node = start("vm-a", &platform, &[]);
    until("it serves", || status(&node).generation.0 == 1);
    let (stop, answered) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| keep_calling(&node, &stop, &answered));
        }
        until("calls are answered", || {
            answered.load(Ordering::Relaxed) > 3
        });
        common::publish(&platform, &versioned(&backs, "2", fenced), 2);
        until("all serve version 2", || {
            backs.engines.iter().all(|engine| serves(engine, "2"))
        });
        let before = answered.load(Ordering::Relaxed);
        until("calls go on", || {
            answered.load(Ordering::Relaxed) > before + 3
        });
        stop.store(true, Ordering::Relaxed);
    });
    let loads = backs.engines.iter().map(|engine| engine.load_spans().len());
    expect_that!(loads.collect::<Vec<_>>(), eq(&[1, 1, 1]));
    expect_that!(most_loading(&backs), eq(1));
}

#[gtest]
fn engines_with_numbers_are_rolled_one_after_another() {
    rolls_one_after_another(true);
}

#[gtest]
fn engines_without_numbers_are_rolled_one_after_another() {
    rolls_one_after_another(false);
}

/// Orders that were sent while the VM held no lease.
fn sent_without_lease(events: &[EventKind]) -> usize {
    let mut held = false;
    let mut sent = 0;
    for event in events {
        match event {
            EventKind::LeaseTaken { .. } => held = true,
            EventKind::LeaseLost { .. } => held = false,
            EventKind::OrderSent { .. } => sent += usize::from(!held),
            _ => {}
        }
    }
    sent
}

#[gtest]
fn an_outage_stops_orders_and_no_calls() {
    let (backs, platform) = (engines(4, true), platform());
    common::publish(&platform, &versioned(&backs, "1", true), 1);
    let node = start("vm-a", &platform, &[]);
    until("it holds the lease", || status(&node).lease.is_some());
    common::publish(&platform, &versioned(&backs, "2", true), 2);
    let loads = || backs.engines.iter().map(|engine| engine.load_spans().len());
    until("the first one loads", || loads().sum::<usize>() > 0);
    platform.set_fault(StoreFault::Refuses(503));
    until("the lease lapses", || status(&node).lease.is_none());
    // Whatever was reached before the lease lapsed, there is work now.
    let drifted = &backs.engines[3];
    let number = desired(drifted)["fencing"].as_u64().expect("a number");
    expect_that!(order(drifted, number, "1"), eq(200));
    let orders = || backs.engines.iter().map(|engine| engine.stats().orders);
    let before: Vec<u64> = orders().collect();
    for _ in 0..20 {
        let report = common::client_at(&node).chat(&chat("in the outage"));
        expect_that!(report.outcome, eq(Outcome::Answered));
    }
    expect_that!(orders().collect::<Vec<_>>(), eq(&before));
    platform.set_fault(StoreFault::None);
    until("all serve version 2", || {
        backs.engines.iter().all(|engine| serves(engine, "2"))
    });
    let events = timeline(&node);
    expect_that!(sent_without_lease(&events), eq(0));
    let lost = |event: &&EventKind| matches!(event, EventKind::LeaseLost { .. });
    expect_that!(events.iter().filter(lost).count(), ge(1));
}

#[gtest]
fn a_dead_holder_is_followed_under_a_higher_number() {
    let (backs, platform) = (engines(2, true), platform());
    common::publish(&platform, &versioned(&backs, "1", true), 1);
    let first = start("vm-a", &platform, &[]);
    until("the first holds it", || status(&first).lease.is_some());
    let second = start("vm-b", &platform, &[&first]);
    until("the second serves", || status(&second).generation.0 == 1);
    expect_that!(status(&second).lease, none());
    let old = status(&first).lease.expect("a lease");
    first.stop();
    common::publish(&platform, &versioned(&backs, "2", true), 2);
    until("all serve version 2", || {
        backs.engines.iter().all(|engine| serves(engine, "2"))
    });
    let taken = timeline(&second).into_iter().find_map(|event| match event {
        EventKind::LeaseTaken { number, .. } => Some(number),
        _ => None,
    });
    expect_that!(taken, some(gt(old)));
    for engine in &backs.engines {
        let seen = desired(engine)["fencing"].as_u64().expect("a number");
        expect_that!(FencingNumber(seen), gt(old));
        expect_that!(order(engine, old.0, "1"), eq(409));
        expect_that!(serves(engine, "2"), eq(true));
    }
    let metrics = format!("http://{}/metrics", second.addresses().metrics);
    let mut response = common::agent().get(&metrics).call().expect("an answer");
    let text = response.body_mut().read_to_string().expect("a text");
    expect_that!(text, contains_substring("poplarswitch_lease_held 1"));
    expect_that!(
        text,
        contains_substring("poplarswitch_orders_total{end=\"taken\"}")
    );
}

#[gtest]
fn an_engine_with_a_higher_number_ends_the_lease() {
    let (backs, platform) = (engines(2, true), platform());
    common::publish(&platform, &versioned(&backs, "1", true), 1);
    let node = start("vm-a", &platform, &[]);
    until("it holds the lease", || status(&node).lease.is_some());
    expect_that!(order(&backs.engines[0], 1_000_000, "1"), eq(200));
    let lost = |event: &EventKind| matches!(event, EventKind::LeaseLost { .. });
    until("it gives way", || timeline(&node).iter().any(lost));
    expect_that!(backs.engines[0].stats().fenced_orders, eq(0));
}
