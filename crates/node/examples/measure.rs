//! Measures one node: latency that it adds, calls a second, memory, start-up time.
//!
//! The node runs as a process of its own, so that its memory is not mixed with that of the
//! stand-ins and callers, which run here.

#[path = "../tests/common/usage.rs"]
mod usage;

use core::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::Duration,
};
use hdrhistogram::Histogram;
use poplarswitch_deployment::Store;
use poplarswitch_entity::Time;
use poplarswitch_objects::{KeyHash, ObjectSet};
use poplarswitch_publish::{Draft, Publisher, PublisherInput, PublisherOutput};
use poplarswitch_standins::{Engine, EngineSpec, answer_tokens};
use serde_json::json;
use std::{
    io::Write as _,
    net::{TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command},
    thread,
    time::Instant,
};
use ureq::Agent;
use usage::{cpu_seconds, resident_mb};

const ANY: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));
const KEY: &str = "measure";
/// Calls in a row, for latency.
const CALLS: u32 = 2_000;
/// Calls before anything is counted.
const WARM_UP: u32 = 200;
/// Time between the starts of two streams; a burst beyond the engine's backlog is refused.
const APART: Duration = Duration::from_millis(3);
/// Most tokens of a long stream.
const LONG_TOKENS: u32 = 4_000;
/// Callers at once, for throughput.
const CALLERS: u32 = 16;
/// Time of the throughput run.
const RUN: Duration = Duration::from_secs(5);
/// Longest time for streams to reach the engine.
const FILL: Duration = Duration::from_secs(20);
/// Time that memory is given to settle.
const SETTLE: Duration = Duration::from_secs(4);
/// Time over which processor use at rest is counted.
const REST: Duration = Duration::from_secs(10);

struct Program {
    child: Child,
    callers: SocketAddr,
    metrics: SocketAddr,
    start_up: Duration,
    _directory: tempfile::TempDir,
}

impl Drop for Program {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

fn main() {
    let platform = Store::start(ANY).expect("platform starts");
    if !std::env::args().any(|part| part == "streams") {
        short_calls(&platform);
    }
    streams(&platform);
}

fn short_calls(platform: &Store) {
    let engine = Engine::start(ANY, instant_spec()).expect("engine starts");
    publish(platform, &set(engine.address()));
    let program = start(platform);
    println!("start-up to ready: {:.1} ms", millis(program.start_up));
    thread::sleep(SETTLE);
    println!("memory at rest: {:.1} MB", resident_mb(program.child.id()));
    println!(
        "processor at rest: {:.2}% of a core",
        busy_percent(&program)
    );
    latency(engine.address(), program.callers);
    throughput(program.callers);
}

fn instant_spec() -> EngineSpec {
    EngineSpec {
        slots: 2_000,
        token_time: Duration::ZERO,
        batch_cost: Duration::ZERO,
        prefill_time: Duration::ZERO,
        ..EngineSpec::default()
    }
}

fn latency(direct: SocketAddr, routed: SocketAddr) {
    let direct = series(direct);
    let routed = series(routed);
    for (name, histogram) in [("direct", &direct), ("routed", &routed)] {
        let (p50, p99) = (quantile(histogram, 0.5), quantile(histogram, 0.99));
        println!("latency {name}: p50 {p50:.0} us, p99 {p99:.0} us");
    }
    let ratio = |q| quantile(&routed, q) / quantile(&direct, q);
    let added = |q| quantile(&routed, q) - quantile(&direct, q);
    println!("added: p50 {:.0} us, p99 {:.0} us", added(0.5), added(0.99));
    println!("ratio: p50 {:.2}, p99 {:.2}", ratio(0.5), ratio(0.99));
}

fn quantile(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64
}

fn series(address: SocketAddr) -> Histogram<u64> {
    let agent = agent();
    let mut histogram = Histogram::new(3).expect("a histogram");
    for number in 0..WARM_UP + CALLS {
        let began = Instant::now();
        let answered = call(&agent, address);
        assert!(answered, "call {number} was not answered");
        if number >= WARM_UP {
            let micros = began.elapsed().as_micros() as u64;
            histogram.record(micros).expect("in range");
        }
    }
    histogram
}

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into()
}

fn call(agent: &Agent, address: SocketAddr) -> bool {
    let sent = agent
        .post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", format!("Bearer {KEY}"))
        .send(body("a short question", 4).as_str());
    let text = sent.and_then(|mut response| response.body_mut().read_to_string());
    text.is_ok_and(|text| text.contains("[DONE]"))
}

fn body(prompt: &str, max_tokens: u32) -> String {
    json!({"model": "assistant", "stream": true, "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}]})
    .to_string()
}

fn throughput(address: SocketAddr) {
    let (stop, whole, bad) = (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                let agent = agent();
                while !stop.load(Ordering::Relaxed) {
                    let count = if call(&agent, address) { &whole } else { &bad };
                    count.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        thread::sleep(RUN);
        stop.store(true, Ordering::Relaxed);
    });
    let rate = whole.load(Ordering::Relaxed) as f64 / RUN.as_secs_f64();
    let bad = bad.load(Ordering::Relaxed);
    println!("short calls: {rate:.0}/s with {CALLERS} callers, {bad} not answered");
}

fn streams(platform: &Store) {
    let spec = EngineSpec {
        token_time: Duration::from_millis(500),
        ..instant_spec()
    };
    let engine = Engine::start(ANY, spec).expect("engine starts");
    publish(platform, &set(engine.address()));
    let program = start(platform);
    let prompt = long_prompt();
    let mut open = Vec::new();
    for count in [0, 1, 100, 1_000] {
        while open.len() < count {
            open.push(stream(program.callers, &prompt));
            thread::sleep(APART);
        }
        let began = Instant::now();
        while u64::from(engine.stats().running) < count as u64 && began.elapsed() < FILL {
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(SETTLE);
        let (running, memory) = (engine.stats().running, resident_mb(program.child.id()));
        println!("memory with {count} streams ({running} at the engine): {memory:.1} MB");
        println!("  {}", counted(&program));
    }
}

/// What the node says of its calls.
fn counted(program: &Program) -> String {
    let url = format!("http://{}/metrics", program.metrics);
    let answer = agent().get(url).call();
    let text = answer.and_then(|mut answer| answer.body_mut().read_to_string());
    let wanted = |line: &&str| {
        [
            "calls_open",
            "calls_running",
            "errors_total",
            "connections ",
        ]
        .iter()
        .any(|name| {
            line.strip_prefix("poplarswitch_")
                .is_some_and(|l| l.starts_with(name))
        })
    };
    let text = text.unwrap_or_default();
    text.lines().filter(wanted).collect::<Vec<_>>().join(", ")
}

/// A prompt whose answer outlasts the measurement.
fn long_prompt() -> String {
    let prompts = (0..).map(|number| format!("question {number}"));
    let long = |prompt: &String| answer_tokens(prompt, LONG_TOKENS) > LONG_TOKENS / 2;
    prompts.into_iter().find(long).expect("one is long")
}

fn stream(address: SocketAddr, prompt: &str) -> TcpStream {
    let body = body(prompt, LONG_TOKENS);
    let mut stream = TcpStream::connect(address).expect("connects");
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).expect("sends");
    stream
}

fn set(engine: SocketAddr) -> ObjectSet {
    let limits = json!({"rate": 1_000_000, "in_flight": 100_000, "queued": 100_000});
    let set = json!({
        "tiers": [{"name": "only", "rank": 0}],
        "classes": [{"name": "ask", "tier": "only", "models": ["assistant"],
            "max_wait_ms": 600_000,
            "target": {"stream": {"first_token_ms": 60_000, "inter_token_ms": 1_000}}}],
        "workspaces": [{"name": "w", "limits": limits, "keys": [KeyHash::of(KEY).0]}],
        "models": [{"name": "assistant", "versions": ["1"], "default_class": "ask"}],
        "endpoints": [{"name": "e", "address": engine.to_string(), "data_centre": "d",
            "slots": 2_000, "serves": {"model": {"model": "assistant", "version": "1"}}}],
    });
    serde_json::from_value(set).expect("the set parses")
}

fn publish(platform: &Store, set: &ObjectSet) {
    let draft = Draft::builder()
        .set(set.clone())
        .author("measure")
        .nonce(u64::from(set.endpoints[0].address.port()))
        .build();
    let mut publisher = Publisher::new(draft, Box::new(|_, _| Vec::new()));
    let mut out = Vec::new();
    publisher.handle(Time::ZERO, PublisherInput::Start, &mut out);
    while let Some(output) = out.pop() {
        if let PublisherOutput::Request { id, request } = output {
            let reply = platform.apply(&request);
            publisher.handle(Time::ZERO, PublisherInput::Reply { id, reply }, &mut out);
        }
    }
}

fn free() -> SocketAddr {
    let listener = TcpListener::bind(ANY).expect("opens");
    listener.local_addr().expect("an address")
}

fn start(platform: &Store) -> Program {
    let directory = tempfile::tempdir().expect("a directory");
    let secret = directory.path().join("secret");
    std::fs::write(&secret, "measure").expect("writes");
    let (callers, metrics) = (free(), free());
    let settings = json!({
        "vm": "vm-1", "data_centre": "d", "cell": "c", "platform": platform.url(),
        "addresses": {"callers": callers, "operators": free(), "metrics": metrics, "peers": free()},
        "secrets": {"operators": secret, "peers": secret},
    });
    let path = directory.path().join("settings.json");
    std::fs::write(&path, settings.to_string()).expect("writes");
    let began = Instant::now();
    let child = Command::new(program_path())
        .arg("--settings")
        .arg(path)
        .spawn()
        .expect("build the program first");
    let url = format!("http://{callers}/readyz");
    while !agent()
        .get(&url)
        .call()
        .is_ok_and(|answer| answer.status() == 200)
    {
        assert!(
            began.elapsed() < Duration::from_secs(20),
            "it never became ready"
        );
        thread::sleep(Duration::from_millis(1));
    }
    Program {
        child,
        callers,
        metrics,
        start_up: began.elapsed(),
        _directory: directory,
    }
}

/// The program beside this example's directory.
fn program_path() -> PathBuf {
    let own = std::env::current_exe().expect("a path");
    let built = own.parent().and_then(|path| path.parent());
    built.expect("a target directory").join("poplarswitch")
}

fn busy_percent(program: &Program) -> f64 {
    let process = program.child.id();
    let before = cpu_seconds(process);
    thread::sleep(REST);
    (cpu_seconds(process) - before) / REST.as_secs_f64() * 100.0
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
