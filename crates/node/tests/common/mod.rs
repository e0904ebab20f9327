//! Nodes in the process of the test, with stand-ins for engines, a service and the platform.

#![allow(dead_code, reason = "each test target uses only some of the items")]

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

/// Loopback address with port 0, for which the system chooses a free port.
pub const LOOPBACK_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));
/// Bearer key of the only workspace.
pub const BEARER_KEY: &str = "bearer-key-of-guests";
/// Secret for the operators' port.
pub const OPERATORS_SECRET: &str = "operators-secret";
/// Longest wait for a condition; after it the test fails.
const WAIT_TIMEOUT_MS: u32 = 60_000;

/// Stand-ins for engines and a plain service.
pub struct Backends {
    pub engines: Vec<Engine>,
    pub service: Service,
}

impl Backends {
    /// Starts a number of engines with the same properties, and a service.
    pub fn start(engines: usize, spec: &EngineSpec) -> Self {
        let start = |_| Engine::start(LOOPBACK_ADDRESS, spec.clone()).expect("engine starts");
        Self {
            engines: (0..engines).map(start).collect(),
            service: Service::start(LOOPBACK_ADDRESS).expect("service starts"),
        }
    }

    /// A set that declares an endpoint for each of the stand-ins.
    pub fn set(&self) -> ObjectSet {
        let mut set = base_set();
        let endpoints = set["endpoints"]
            .as_array_mut()
            .expect("the endpoints are a list");
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

/// A set without endpoints, as JSON.
fn base_set() -> Value {
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
            "keys": [poplarswitch_objects::KeyHash::from_key(BEARER_KEY).0]}],
        "models": [{"name": "assistant", "versions": ["1"], "default_class": "planner"}],
        "services": [{"name": "booking", "default_class": "availability"}],
        "endpoints": [],
    })
}

/// Settings of a VM with short timeouts and free loopback ports.
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

/// Secrets that all VMs share.
pub fn secrets() -> Secrets {
    Secrets {
        operators: Secret::new(OPERATORS_SECRET),
        peers: Secret::new("peers-secret"),
    }
}

/// Starts a single node with the set of the stand-ins.
pub fn start_node(backends: &Backends) -> Node {
    start_with(settings("vm-1"), Some(backends.set()))
}

/// Starts a node; waits until it serves, if it has an initial set.
pub fn start_with(settings: Settings, set: Option<ObjectSet>) -> Node {
    let setup = Setup::builder()
        .settings(settings)
        .secrets(secrets())
        .maybe_set(set)
        .build();
    let serving = setup.set.is_some();
    let node = Node::start(setup).expect("node starts");
    if serving {
        wait_until("the node serves", || {
            node.phase() == poplarswitch_wire::Phase::Serving
        });
    }
    node
}

/// A caller that asks a node for the addresses to use.
pub fn client(node: &Node) -> Client {
    Client::new(
        Directory::new(vec![node.addresses().callers], 1),
        BEARER_KEY,
    )
}

/// A caller that sends all calls to one node and looks up no addresses.
pub fn fixed_client(node: &Node) -> Client {
    Client::new(Directory::fixed(node.addresses().callers), BEARER_KEY)
}

/// A call to the model `assistant`, in its default class.
pub fn chat_call(prompt: &str) -> ChatCall {
    ChatCall {
        class: None,
        model: "assistant".to_owned(),
        shared: None,
        prompt: prompt.to_owned(),
        max_tokens: 64,
    }
}

/// A call to the service `booking` in the class `seats`, which is not repeatable.
pub fn booking_call(key: Option<String>) -> ServiceCall {
    ServiceCall {
        class: Some("seats".to_owned()),
        path: "booking/seats".to_owned(),
        body: "{}".to_owned(),
        key,
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if the condition does not hold within about [`WAIT_TIMEOUT_MS`].
pub fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..WAIT_TIMEOUT_MS / 5 {
        if holds() {
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    panic!("timed out waiting until {condition}");
}

/// Current status of a node.
pub fn status(node: &Node) -> Status {
    node.status().expect("the node replies")
}

/// An HTTP client that returns responses with error statuses as responses, not as errors.
pub fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into()
}

/// Posts a chat body with a bearer key, for which an error is expected; returns the status and the
/// typed error.
pub fn post_error(node: &Node, key: &str, class: Option<&str>, body: &str) -> (u16, ErrorInfo) {
    let url = format!("http://{}/v1/chat/completions", node.addresses().callers);
    let mut request = agent()
        .post(url)
        .header("authorization", format!("Bearer {key}"));
    if let Some(class) = class {
        request = request.header("x-class", class);
    }
    let mut response = request.send(body).expect("a response");
    let body: ErrorBody = response.body_mut().read_json().expect("a typed error");
    (response.status().as_u16(), body.error)
}

/// Sends raw bytes and returns the response up to the end of the connection.
pub fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("connection opens");
    stream.write_all(bytes).expect("request is sent");
    let mut text = String::new();
    drop(stream.read_to_string(&mut text));
    text
}

/// Head of a chat call with a body of the given length, in bytes.
pub fn request_head(length: usize) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {BEARER_KEY}\r\n\
         content-length: {length}\r\n\r\n"
    )
}

/// Body of a streamed chat call.
pub fn chat_body(prompt: &str, max_tokens: u32) -> String {
    json!({"model": "assistant", "stream": true, "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}]})
    .to_string()
}

/// Publishes a set with the publisher that the command line tool uses.
pub fn publish(platform: &Store, set: &ObjectSet, nonce: u64) -> Published {
    let draft = Draft::builder()
        .set(set.clone())
        .author("test")
        .nonce(nonce)
        .build();
    let mut publisher = Publisher::new(draft, Box::new(|_, _| Vec::new()));
    let mut outputs = Vec::new();
    publisher.handle(Time::ZERO, PublisherInput::Start, &mut outputs);
    while let Some(output) = outputs.pop() {
        match output {
            PublisherOutput::Request { id, request } => {
                let reply = platform.apply(&request);
                publisher.handle(
                    Time::ZERO,
                    PublisherInput::Reply { id, reply },
                    &mut outputs,
                );
            }
            PublisherOutput::Finished(outcome) => return outcome,
        }
    }
    panic!("the publication did not end");
}

/// Events in the timeline of a node, oldest first.
pub fn timeline(node: &Node) -> Vec<EventKind> {
    let url = format!("http://{}/timeline", node.addresses().operators);
    let request = agent().get(&url);
    let request = request.header("authorization", format!("Bearer {OPERATORS_SECRET}"));
    let mut response = request.call().expect("a response");
    let recording: Recording = response
        .body_mut()
        .read_json()
        .expect("a recording in JSON");
    recording
        .events
        .into_iter()
        .map(|event| event.kind)
        .collect()
}
