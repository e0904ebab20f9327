//! Orders to the stand-ins for engines, over HTTP.

mod common;

use common::{
    Backends, LOOPBACK_ADDRESS, chat_call, secrets, settings, status, timeline, wait_until,
};
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

/// Periods of orders that are short enough for a lease to expire and be taken again during a test.
fn short_periods() -> orders::Settings {
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

/// Starts a node that is connected to the platform and has other nodes as its seeds.
fn start_node(vm: &str, platform: &Store, others: &[&Node]) -> Node {
    let mut settings = settings(vm);
    settings.platform = Some(platform.url());
    settings.seeds = others.iter().map(|node| node.addresses().peers).collect();
    let setup = Setup::builder()
        .settings(settings)
        .secrets(secrets())
        .orders(short_periods())
        .build();
    Node::start(setup).expect("node starts")
}

fn start_platform() -> Store {
    Store::start(LOOPBACK_ADDRESS).expect("platform starts")
}

/// Starts engines that check fencing numbers, or ignore them, and a service.
fn start_engines(count: usize, fenced: bool) -> Backends {
    let spec = EngineSpec {
        fenced,
        ..EngineSpec::default()
    };
    Backends::start(count, &spec)
}

/// A set in which all engines serve a version of the model, and all engines but one must always be
/// ready.
fn set_with_version(backends: &Backends, version: &str, fenced: bool) -> ObjectSet {
    let mut set = backends.set();
    set.models[0].versions = vec!["2".into(), "1".into()];
    set.models[0].min_ready = backends.engines.len() as u32 - 1;
    for endpoint in &mut set.endpoints {
        if let Serves::Model {
            version: declared, ..
        } = &mut endpoint.serves
        {
            *declared = version.into();
            endpoint.fenced = fenced;
        }
    }
    set
}

/// State of an engine: the ordered model, version and fencing number, and whether it is ready.
fn desired_state(engine: &Engine) -> Value {
    let url = format!("http://{}/v1/desired", engine.address());
    let mut response = common::agent().get(&url).call().expect("a response");
    response.body_mut().read_json().expect("JSON")
}

/// Whether an engine has loaded a version and is ready.
fn serves(engine: &Engine, version: &str) -> bool {
    let state = desired_state(engine);
    state["version"] == version && state["ready"] == true
}

/// Sends an order to an engine directly, not through a node; returns the HTTP status.
fn send_order(engine: &Engine, fencing: u64, version: &str) -> u16 {
    let url = format!("http://{}/v1/desired", engine.address());
    let body = json!({"fencing": fencing, "model": "assistant", "version": version});
    let response = common::agent().put(&url).send(body.to_string());
    response.expect("a response").status().as_u16()
}

/// Largest number of engines that were loading a model at the same time.
fn max_concurrent_loads(backends: &Backends) -> usize {
    let spans: Vec<LoadSpan> = backends
        .engines
        .iter()
        .flat_map(Engine::load_spans)
        .collect();
    let concurrent_loads = |load: &LoadSpan| {
        let covers = |span: &&LoadSpan| span.started <= load.started && load.started < span.ready;
        spans.iter().filter(covers).count()
    };
    spans.iter().map(concurrent_loads).max().unwrap_or_default()
}

/// Makes calls until `stop` is set, and counts them; every call must be answered.
fn call_until_stopped(node: &Node, stop: &AtomicBool, answered: &AtomicUsize) {
    let client = common::fixed_client(node);
    while !stop.load(Ordering::Relaxed) {
        let report = client.chat(&chat_call("meanwhile"));
        assert_eq!(report.outcome, Outcome::Answered);
        answered.fetch_add(1, Ordering::Relaxed);
    }
}

/// Publishes a new version and checks that the engines load it one at a time while calls are
/// answered.
fn assert_rolling_update(fenced: bool) {
    let (backends, platform) = (start_engines(3, fenced), start_platform());
    common::publish(&platform, &set_with_version(&backends, "1", fenced), 1);
    let node = start_node("vm-a", &platform, &[]);
    wait_until("the node has the set in force", || {
        status(&node).generation.0 == 1
    });
    let (stop, answered) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| call_until_stopped(&node, &stop, &answered));
        }
        wait_until("calls are answered", || {
            answered.load(Ordering::Relaxed) > 3
        });
        common::publish(&platform, &set_with_version(&backends, "2", fenced), 2);
        wait_until("all engines serve version 2", || {
            backends.engines.iter().all(|engine| serves(engine, "2"))
        });
        let before = answered.load(Ordering::Relaxed);
        wait_until("further calls are answered", || {
            answered.load(Ordering::Relaxed) > before + 3
        });
        stop.store(true, Ordering::Relaxed);
    });
    let loads = backends
        .engines
        .iter()
        .map(|engine| engine.load_spans().len());
    expect_that!(loads.collect::<Vec<_>>(), eq(&[1, 1, 1]));
    expect_that!(max_concurrent_loads(&backends), eq(1));
}

#[gtest]
fn engines_that_check_fencing_numbers_are_updated_one_at_a_time() {
    assert_rolling_update(true);
}

#[gtest]
fn engines_that_ignore_fencing_numbers_are_updated_one_at_a_time() {
    assert_rolling_update(false);
}

/// Number of orders that a VM sent while it held no lease.
fn orders_without_lease(events: &[EventKind]) -> usize {
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
fn platform_outage_stops_orders_but_not_calls() {
    let (backends, platform) = (start_engines(4, true), start_platform());
    common::publish(&platform, &set_with_version(&backends, "1", true), 1);
    let node = start_node("vm-a", &platform, &[]);
    wait_until("the node holds the lease", || status(&node).lease.is_some());
    common::publish(&platform, &set_with_version(&backends, "2", true), 2);
    let loads = || {
        backends
            .engines
            .iter()
            .map(|engine| engine.load_spans().len())
    };
    wait_until("an engine loads version 2", || loads().sum::<usize>() > 0);
    platform.set_fault(StoreFault::Refuses(503));
    wait_until("the lease expires", || status(&node).lease.is_none());
    // The node may have sent all orders before the lease expired. An engine that is set back to
    // version 1 gives the node a reason for another one.
    let reverted = &backends.engines[3];
    let number = desired_state(reverted)["fencing"]
        .as_u64()
        .expect("a number");
    expect_that!(send_order(reverted, number, "1"), eq(200));
    let orders = || backends.engines.iter().map(|engine| engine.stats().orders);
    let before: Vec<u64> = orders().collect();
    for _ in 0..20 {
        let report = common::fixed_client(&node).chat(&chat_call("in the outage"));
        expect_that!(report.outcome, eq(Outcome::Answered));
    }
    expect_that!(orders().collect::<Vec<_>>(), eq(&before));
    platform.set_fault(StoreFault::None);
    wait_until("all engines serve version 2", || {
        backends.engines.iter().all(|engine| serves(engine, "2"))
    });
    let events = timeline(&node);
    expect_that!(orders_without_lease(&events), eq(0));
    let lease_lost = |event: &&EventKind| matches!(event, EventKind::LeaseLost { .. });
    expect_that!(events.iter().filter(lease_lost).count(), ge(1));
}

#[gtest]
fn successor_of_a_stopped_lease_holder_uses_a_higher_fencing_number() {
    let (backends, platform) = (start_engines(2, true), start_platform());
    common::publish(&platform, &set_with_version(&backends, "1", true), 1);
    let first = start_node("vm-a", &platform, &[]);
    wait_until("the first node holds the lease", || {
        status(&first).lease.is_some()
    });
    let second = start_node("vm-b", &platform, &[&first]);
    wait_until("the second node has the set in force", || {
        status(&second).generation.0 == 1
    });
    expect_that!(status(&second).lease, none());
    let old = status(&first).lease.expect("a lease");
    first.stop();
    common::publish(&platform, &set_with_version(&backends, "2", true), 2);
    wait_until("all engines serve version 2", || {
        backends.engines.iter().all(|engine| serves(engine, "2"))
    });
    let taken = timeline(&second).into_iter().find_map(|event| match event {
        EventKind::LeaseTaken { number, .. } => Some(number),
        _ => None,
    });
    expect_that!(taken, some(gt(old)));
    for engine in &backends.engines {
        let seen = desired_state(engine)["fencing"].as_u64().expect("a number");
        expect_that!(FencingNumber(seen), gt(old));
        expect_that!(send_order(engine, old.0, "1"), eq(409));
        expect_that!(serves(engine, "2"), eq(true));
    }
    let metrics = format!("http://{}/metrics", second.addresses().metrics);
    let mut response = common::agent().get(&metrics).call().expect("a response");
    let text = response.body_mut().read_to_string().expect("a UTF-8 body");
    expect_that!(text, contains_substring("poplarswitch_lease_held 1"));
    expect_that!(
        text,
        contains_substring("poplarswitch_orders_total{end=\"taken\"}")
    );
}

#[gtest]
fn higher_fencing_number_at_an_engine_ends_the_lease() {
    let (backends, platform) = (start_engines(2, true), start_platform());
    common::publish(&platform, &set_with_version(&backends, "1", true), 1);
    let node = start_node("vm-a", &platform, &[]);
    wait_until("the node holds the lease", || status(&node).lease.is_some());
    expect_that!(send_order(&backends.engines[0], 1_000_000, "1"), eq(200));
    let lease_lost = |event: &EventKind| matches!(event, EventKind::LeaseLost { .. });
    wait_until("the node gives up the lease", || {
        timeline(&node).iter().any(lease_lost)
    });
    expect_that!(backends.engines[0].stats().fenced_orders, eq(0));
}
