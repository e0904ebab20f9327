//! Measures one node: its start-up time, memory and CPU use, the latency that it adds to a call,
//! and its throughput.
//!
//! The node runs in its own process, so that its memory is measured without that of the stand-ins
//! and callers, which run in this process. With the argument `streams`, only the memory with open
//! streams is measured. The program must have been built with the same profile before.

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

/// Loopback address with port 0, for which the system chooses a free port.
const LOOPBACK_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));
/// Bearer key of the only workspace.
const BEARER_KEY: &str = "measure";
/// Number of consecutive calls whose latency is recorded.
const LATENCY_CALLS: u32 = 2_000;
/// Number of preceding calls, which are not recorded.
const WARM_UP_CALLS: u32 = 200;
/// Interval between the starts of two streams; a burst of connections that exceeds the engine's
/// listen backlog would be refused.
const STREAM_START_INTERVAL: Duration = Duration::from_millis(3);
/// Limit on the tokens of a stream.
const MAX_STREAM_TOKENS: u32 = 4_000;
/// Number of concurrent callers in the throughput measurement.
const CALLER_COUNT: u32 = 16;
/// Duration of the throughput measurement.
const THROUGHPUT_PERIOD: Duration = Duration::from_secs(5);
/// Longest wait for all streams to run at the engine.
const STREAM_START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time before each measurement of memory in which the memory use settles.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Period over which the CPU use of the idle node is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(10);

/// The process of the node, which is killed when this is dropped.
struct Program {
    child: Child,
    callers: SocketAddr,
    metrics: SocketAddr,
    /// Time from the start of the process until it reported that it was ready.
    startup_time: Duration,
    _directory: tempfile::TempDir,
}

impl Drop for Program {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

fn main() {
    let platform = Store::start(LOOPBACK_ADDRESS).expect("platform starts");
    if !std::env::args().any(|argument| argument == "streams") {
        measure_short_calls(&platform);
    }
    measure_stream_memory(&platform);
}

/// Measures the start-up time, the memory and CPU use while idle, the latency and the throughput.
fn measure_short_calls(platform: &Store) {
    let engine = Engine::start(LOOPBACK_ADDRESS, instant_spec()).expect("engine starts");
    publish(platform, &set(engine.address()));
    let program = start_program(platform);
    println!("start-up to ready: {:.1} ms", millis(program.startup_time));
    thread::sleep(SETTLE_TIME);
    println!(
        "memory while idle: {:.1} MB",
        resident_mb(program.child.id())
    );
    println!(
        "CPU use while idle: {:.2}% of a core",
        cpu_percent(&program)
    );
    measure_latency(engine.address(), program.callers);
    measure_throughput(program.callers);
}

/// An engine that generates tokens without delay.
fn instant_spec() -> EngineSpec {
    EngineSpec {
        slots: 2_000,
        token_time: Duration::ZERO,
        batch_cost: Duration::ZERO,
        prefill_time: Duration::ZERO,
        ..EngineSpec::default()
    }
}

/// Prints the latency of calls to the engine and of calls through the node, their difference and
/// their ratio.
fn measure_latency(direct: SocketAddr, routed: SocketAddr) {
    let direct = record_latencies(direct);
    let routed = record_latencies(routed);
    for (name, histogram) in [("direct", &direct), ("routed", &routed)] {
        let (p50, p99) = (quantile(histogram, 0.5), quantile(histogram, 0.99));
        println!("latency {name}: p50 {p50:.0} us, p99 {p99:.0} us");
    }
    let ratio = |q| quantile(&routed, q) / quantile(&direct, q);
    let added = |q| quantile(&routed, q) - quantile(&direct, q);
    println!("added: p50 {:.0} us, p99 {:.0} us", added(0.5), added(0.99));
    println!("ratio: p50 {:.2}, p99 {:.2}", ratio(0.5), ratio(0.99));
}

/// Quantile of a histogram, in microseconds.
fn quantile(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64
}

/// Makes consecutive calls and returns their latency in microseconds.
fn record_latencies(address: SocketAddr) -> Histogram<u64> {
    let agent = agent();
    let mut histogram = Histogram::new(3).expect("a valid precision");
    for number in 0..WARM_UP_CALLS + LATENCY_CALLS {
        let started = Instant::now();
        let answered = call(&agent, address);
        assert!(answered, "call {number} was not answered");
        if number >= WARM_UP_CALLS {
            let micros = started.elapsed().as_micros() as u64;
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

/// Makes a chat call; returns whether its complete answer was received.
fn call(agent: &Agent, address: SocketAddr) -> bool {
    let response = agent
        .post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", format!("Bearer {BEARER_KEY}"))
        .send(body("a short question", 4).as_str());
    let text = response.and_then(|mut response| response.body_mut().read_to_string());
    text.is_ok_and(|text| text.contains("[DONE]"))
}

/// Body of a streamed chat call.
fn body(prompt: &str, max_tokens: u32) -> String {
    json!({"model": "assistant", "stream": true, "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}]})
    .to_string()
}

/// Prints the rate of answered calls and the number of failed calls of concurrent callers.
fn measure_throughput(address: SocketAddr) {
    let (stop, answered, failed) = (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        for _ in 0..CALLER_COUNT {
            scope.spawn(|| {
                let agent = agent();
                while !stop.load(Ordering::Relaxed) {
                    let count = if call(&agent, address) {
                        &answered
                    } else {
                        &failed
                    };
                    count.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        thread::sleep(THROUGHPUT_PERIOD);
        stop.store(true, Ordering::Relaxed);
    });
    let rate = answered.load(Ordering::Relaxed) as f64 / THROUGHPUT_PERIOD.as_secs_f64();
    let failed = failed.load(Ordering::Relaxed);
    println!("short calls: {rate:.0}/s with {CALLER_COUNT} callers, {failed} not answered");
}

/// Prints the memory of the node with different numbers of open streams.
fn measure_stream_memory(platform: &Store) {
    let spec = EngineSpec {
        token_time: Duration::from_millis(500),
        ..instant_spec()
    };
    let engine = Engine::start(LOOPBACK_ADDRESS, spec).expect("engine starts");
    publish(platform, &set(engine.address()));
    let program = start_program(platform);
    let prompt = prompt_with_long_answer();
    let mut streams = Vec::new();
    for count in [0, 1, 100, 1_000] {
        while streams.len() < count {
            streams.push(open_stream(program.callers, &prompt));
            thread::sleep(STREAM_START_INTERVAL);
        }
        let started = Instant::now();
        while u64::from(engine.stats().running) < count as u64
            && started.elapsed() < STREAM_START_TIMEOUT
        {
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(SETTLE_TIME);
        let (running, memory) = (engine.stats().running, resident_mb(program.child.id()));
        println!("memory with {count} streams ({running} at the engine): {memory:.1} MB");
        println!("  {}", call_metrics(&program));
    }
}

/// Metrics of the node that count its calls, errors and connections.
fn call_metrics(program: &Program) -> String {
    let url = format!("http://{}/metrics", program.metrics);
    let response = agent().get(url).call();
    let text = response.and_then(|mut response| response.body_mut().read_to_string());
    let is_wanted = |line: &&str| {
        [
            "calls_open",
            "calls_running",
            "errors_total",
            "connections ",
        ]
        .iter()
        .any(|name| {
            line.strip_prefix("poplarswitch_")
                .is_some_and(|metric| metric.starts_with(name))
        })
    };
    let text = text.unwrap_or_default();
    text.lines()
        .filter(is_wanted)
        .collect::<Vec<_>>()
        .join(", ")
}

/// A prompt whose answer is longer than half of [`MAX_STREAM_TOKENS`], so that its stream lasts
/// longer than the measurement.
fn prompt_with_long_answer() -> String {
    let prompts = (0..).map(|number| format!("question {number}"));
    let has_long_answer =
        |prompt: &String| answer_tokens(prompt, MAX_STREAM_TOKENS) > MAX_STREAM_TOKENS / 2;
    prompts
        .into_iter()
        .find(has_long_answer)
        .expect("a prompt with a long answer")
}

/// Sends a streamed chat call and returns its connection without reading the response.
fn open_stream(address: SocketAddr, prompt: &str) -> TcpStream {
    let body = body(prompt, MAX_STREAM_TOKENS);
    let mut stream = TcpStream::connect(address).expect("connection opens");
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {BEARER_KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(request.as_bytes())
        .expect("request is sent");
    stream
}

/// A set with one engine and limits that the measurements do not reach.
fn set(engine: SocketAddr) -> ObjectSet {
    let limits = json!({"rate": 1_000_000, "in_flight": 100_000, "queued": 100_000});
    let set = json!({
        "tiers": [{"name": "only", "rank": 0}],
        "classes": [{"name": "ask", "tier": "only", "models": ["assistant"],
            "max_wait_ms": 600_000,
            "target": {"stream": {"first_token_ms": 60_000, "inter_token_ms": 1_000}}}],
        "workspaces": [{"name": "w", "limits": limits, "keys": [KeyHash::from_key(BEARER_KEY).0]}],
        "models": [{"name": "assistant", "versions": ["1"], "default_class": "ask"}],
        "endpoints": [{"name": "e", "address": engine.to_string(), "data_centre": "d",
            "slots": 2_000, "serves": {"model": {"model": "assistant", "version": "1"}}}],
    });
    serde_json::from_value(set).expect("the set parses")
}

/// Publishes a set; the port of the engine distinguishes the publications.
fn publish(platform: &Store, set: &ObjectSet) {
    let draft = Draft::builder()
        .set(set.clone())
        .author("measure")
        .nonce(u64::from(set.endpoints[0].address.port()))
        .build();
    let mut publisher = Publisher::new(draft, Box::new(|_, _| Vec::new()));
    let mut outputs = Vec::new();
    publisher.handle(Time::ZERO, PublisherInput::Start, &mut outputs);
    while let Some(output) = outputs.pop() {
        if let PublisherOutput::Request { id, request } = output {
            let reply = platform.apply(&request);
            publisher.handle(
                Time::ZERO,
                PublisherInput::Reply { id, reply },
                &mut outputs,
            );
        }
    }
}

/// An address whose port was free when this function returned.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(LOOPBACK_ADDRESS).expect("a free port");
    listener.local_addr().expect("a local address")
}

/// Starts the node and waits until it is ready.
fn start_program(platform: &Store) -> Program {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let secret = directory.path().join("secret");
    std::fs::write(&secret, "measure").expect("file is written");
    let (callers, metrics) = (free_address(), free_address());
    let settings = json!({
        "vm": "vm-1", "data_centre": "d", "cell": "c", "platform": platform.url(),
        "addresses": {
            "callers": callers, "operators": free_address(), "metrics": metrics,
            "peers": free_address(),
        },
        "secrets": {"operators": secret, "peers": secret},
    });
    let path = directory.path().join("settings.json");
    std::fs::write(&path, settings.to_string()).expect("file is written");
    let started = Instant::now();
    let child = Command::new(program_path())
        .arg("--settings")
        .arg(path)
        .spawn()
        .expect("the program must be built before this example runs");
    let url = format!("http://{callers}/readyz");
    while !agent()
        .get(&url)
        .call()
        .is_ok_and(|response| response.status() == 200)
    {
        assert!(
            started.elapsed() < Duration::from_secs(20),
            "the node is not ready after 20 s"
        );
        thread::sleep(Duration::from_millis(1));
    }
    Program {
        child,
        callers,
        metrics,
        startup_time: started.elapsed(),
        _directory: directory,
    }
}

/// Path of the program `poplarswitch`, in the parent directory of this example's executable.
fn program_path() -> PathBuf {
    let example = std::env::current_exe().expect("the path of the example");
    let directory = example.parent().and_then(|path| path.parent());
    directory.expect("a target directory").join("poplarswitch")
}

/// CPU use of the node, in percent of one core.
fn cpu_percent(program: &Program) -> f64 {
    let pid = program.child.id();
    let before = cpu_seconds(pid);
    thread::sleep(IDLE_PERIOD);
    (cpu_seconds(pid) - before) / IDLE_PERIOD.as_secs_f64() * 100.0
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
