//! One node, or several, before stand-ins on loopback.

#![allow(dead_code, reason = "each test file uses a part of it")]

use core::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Duration,
};
use poplarswitch_client::{ChatCall, Client, Directory, ServiceCall};
use poplarswitch_deployment::Store;
use poplarswitch_entity::Time;
use poplarswitch_node::{Node, Setup};
use poplarswitch_objects::ObjectSet;
use poplarswitch_publish::{
    Draft, Outcome as Published, Publisher, PublisherInput, PublisherOutput,
};
use poplarswitch_settings::{Addresses, Limits, Secret, Secrets, Settings};
use poplarswitch_standins::{Engine, EngineSpec, Service};
use poplarswitch_timeline::{EventKind, Recording};
use poplarswitch_wire::{ErrorBody, ErrorInfo, Status};
use serde_json::{Value, json};
use std::{
    io::{Read as _, Write as _},
    net::TcpStream,
};
use ureq::Agent;

/// Any free port.
pub const ANY: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));
/// The bearer key of the one workspace.
pub const KEY: &str = "bearer-key-of-guests";
/// The operators' secret.
pub const OPERATOR: &str = "operators-secret";
/// Longest wait for a condition, in milliseconds; only a failing test reaches it.
const PATIENCE_MS: u32 = 60_000;

/// Engines and a plain service.
pub struct Backs {
    pub engines: Vec<Engine>,
    pub service: Service,
}

impl Backs {
    pub fn start(engines: usize, spec: &EngineSpec) -> Self {
        let start = |_| Engine::start(ANY, spec.clone()).expect("engine starts");
        Self {
            engines: (0..engines).map(start).collect(),
            service: Service::start(ANY).expect("service starts"),
        }
    }

    pub fn set(&self) -> ObjectSet {
        let mut set = base();
        let endpoints = set["endpoints"].as_array_mut().expect("a list");
        for (index, engine) in self.engines.iter().enumerate() {
            endpoints.push(json!({
                "name": format!("engine-{index}"), "address": engine.address().to_string(),
                "data_centre": "ifrane", "slots": 4, "fenced": true,
                "serves": {"model": {"model": "assistant", "version": "1"}},
            }));
        }
        endpoints.push(json!({
            "name": "booking-0", "address": self.service.address().to_string(),
            "data_centre": "ifrane", "slots": 4, "serves": {"service": {"service": "booking"}},
        }));
        serde_json::from_value(set).expect("the set parses")
    }
}

fn base() -> Value {
    json!({
        "tiers": [{"name": "urgent", "rank": 0}, {"name": "patient", "rank": 2, "floor_percent": 10}],
        "classes": [
            {"name": "planner", "tier": "patient", "models": ["assistant"], "max_wait_ms": 600_000,
             "target": {"stream": {"first_token_ms": 60000, "inter_token_ms": 100}}},
            {"name": "seats", "tier": "urgent", "services": ["booking"], "repeatable": false,
             "target": {"answer": {"answer_ms": 5000}}},
            {"name": "availability", "tier": "urgent", "services": ["booking"],
             "max_input_bytes": 64, "target": {"answer": {"answer_ms": 5000}}},
        ],
        "workspaces": [{"name": "guests",
            "keys": [poplarswitch_objects::KeyHash::from_key(KEY).0]}],
        "models": [{"name": "assistant", "versions": ["1"], "default_class": "planner"}],
        "services": [{"name": "booking", "default_class": "availability"}],
        "endpoints": [],
    })
}

pub fn settings(vm: &str) -> Settings {
    Settings::builder()
        .vm(vm)
        .data_centre("ifrane")
        .cell("atlas")
        .addresses(Addresses::loopback())
        .linger_ms(50)
        .limits(Limits::builder().head_ms(2_000).body_ms(300).build())
        .build()
}

pub fn secrets() -> Secrets {
    Secrets {
        operators: Secret::new(OPERATOR),
        peers: Secret::new("peers-secret"),
    }
}

pub fn node(backs: &Backs) -> Node {
    start(settings("vm-1"), Some(backs.set()))
}

pub fn start(settings: Settings, set: Option<ObjectSet>) -> Node {
    let setup = Setup::builder()
        .settings(settings)
        .secrets(secrets())
        .maybe_set(set)
        .build();
    let serving = setup.set.is_some();
    let node = Node::start(setup).expect("node starts");
    if serving {
        until("the node serves", || {
            node.phase() == poplarswitch_wire::Phase::Serving
        });
    }
    node
}

pub fn client(node: &Node) -> Client {
    Client::new(Directory::new(vec![node.addresses().callers], 1), KEY)
}

/// A caller that uses this node, whatever the addresses are.
pub fn client_at(node: &Node) -> Client {
    Client::new(Directory::fixed(node.addresses().callers), KEY)
}

pub fn chat(prompt: &str) -> ChatCall {
    ChatCall {
        class: None,
        model: "assistant".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens: 64,
    }
}

pub fn booking(key: Option<String>) -> ServiceCall {
    ServiceCall {
        class: Some("seats".to_owned()),
        path: "booking/seats".to_owned(),
        body: "{}".to_owned(),
        key,
    }
}

/// Waits for a condition; it must come about in the end.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..PATIENCE_MS / 5 {
        if holds() {
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    panic!("never came about: {what}");
}

pub fn status(node: &Node) -> Status {
    node.status().expect("the node answers")
}

/// An agent that returns error statuses as answers.
pub fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into()
}

/// Posts a chat body with a bearer key; returns the status and the typed error.
pub fn post_error(node: &Node, key: &str, class: Option<&str>, body: &str) -> (u16, ErrorInfo) {
    let url = format!("http://{}/v1/chat/completions", node.addresses().callers);
    let mut request = agent()
        .post(url)
        .header("authorization", format!("Bearer {key}"));
    if let Some(class) = class {
        request = request.header("x-class", class);
    }
    let mut response = request.send(body).expect("an answer");
    let body: ErrorBody = response.body_mut().read_json().expect("a typed error");
    (response.status().as_u16(), body.error)
}

/// Sends raw bytes and returns what comes back until the connection ends.
pub fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("connects");
    stream.write_all(bytes).expect("sends");
    let mut text = String::new();
    drop(stream.read_to_string(&mut text));
    text
}

/// The head of a chat call.
pub fn head(length: usize) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {length}\r\n\r\n"
    )
}

/// The body of a streamed chat call.
pub fn body(prompt: &str, max_tokens: u32) -> String {
    json!({"model": "assistant", "stream": true, "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}]})
    .to_string()
}

/// Publishes a set by hand, as the tool does.
pub fn publish(platform: &Store, set: &ObjectSet, nonce: u64) -> Published {
    let draft = Draft::builder()
        .set(set.clone())
        .author("test")
        .nonce(nonce)
        .build();
    let mut publisher = Publisher::new(draft, Box::new(|_, _| Vec::new()));
    let mut out = Vec::new();
    publisher.handle(Time::ZERO, PublisherInput::Start, &mut out);
    while let Some(output) = out.pop() {
        match output {
            PublisherOutput::Request { id, request } => {
                let reply = platform.apply(&request);
                publisher.handle(Time::ZERO, PublisherInput::Reply { id, reply }, &mut out);
            }
            PublisherOutput::Finished(outcome) => return outcome,
        }
    }
    panic!("the publication did not end");
}

/// The events of a node, oldest first.
pub fn timeline(node: &Node) -> Vec<EventKind> {
    let url = format!("http://{}/timeline", node.addresses().operators);
    let request = agent().get(&url);
    let request = request.header("authorization", format!("Bearer {OPERATOR}"));
    let mut response = request.call().expect("an answer");
    let recording: Recording = response.body_mut().read_json().expect("a recording");
    recording.events.into_iter().map(|one| one.kind).collect()
}
