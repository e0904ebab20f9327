//! The program `poplarswitch`: its settings, signals and exit.

mod common;

use common::{
    BEARER_KEY, Backends, LOOPBACK_ADDRESS, OPERATORS_SECRET, chat_body, chat_call, request_head,
    wait_until,
};
use core::{net::SocketAddr, time::Duration};
use googletest::prelude::*;
use poplarswitch_client::{Client, Directory, Outcome};
use poplarswitch_deployment::Store;
use poplarswitch_entity::Time;
use poplarswitch_publish::{Draft, Publisher, PublisherInput, PublisherOutput};
use poplarswitch_standins::{EngineSpec, answer_text};
use std::{
    io::{Read as _, Write as _},
    net::{TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

/// A running process, which is killed when this is dropped.
struct Program {
    child: Child,
    /// Address of the callers' port.
    callers: SocketAddr,
    _directory: tempfile::TempDir,
}

impl Drop for Program {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Program {
    fn send_sigterm(&self) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(sent.expect("kill runs").success());
    }

    fn is_ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.callers);
        let response = common::agent().get(url).call();
        response.is_ok_and(|response| response.status().as_u16() == 200)
    }

    fn client(&self) -> Client {
        Client::new(Directory::new(vec![self.callers], 1), BEARER_KEY)
    }

    /// Whether the process exited successfully; `None` while it runs.
    fn exit_success(&mut self) -> Option<bool> {
        let status = self.child.try_wait().expect("the process can be awaited");
        status.map(|status| status.success())
    }
}

/// Addresses whose ports were free when this function returned, each with another port.
fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let listeners = [(); N].map(|()| TcpListener::bind(LOOPBACK_ADDRESS).expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("a local address"))
}

/// Writes the settings file and the secret; returns the path of the settings and the address of the
/// callers' port.
fn write_settings(directory: &Path, platform: &Store, drain_ms: u32) -> (PathBuf, SocketAddr) {
    let [callers, operators, metrics, peers] = free_addresses();
    let secret = directory.join("secret");
    std::fs::write(&secret, OPERATORS_SECRET).expect("file is written");
    let settings = serde_json::json!({
        "vm": "vm-1", "data_centre": "ifrane", "cell": "atlas", "platform": platform.url(),
        "addresses": {
            "callers": callers, "operators": operators, "metrics": metrics, "peers": peers,
        },
        "secrets": {"operators": secret, "peers": secret},
        "linger_ms": 50, "drain_ms": drain_ms,
    });
    let path = directory.join("settings.json");
    std::fs::write(&path, settings.to_string()).expect("file is written");
    (path, callers)
}

/// Starts the program and waits until it is ready.
fn start_program(platform: &Store, drain_ms: u32) -> Program {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let (settings, callers) = write_settings(directory.path(), platform, drain_ms);
    let child = Command::new(env!("CARGO_BIN_EXE_poplarswitch"))
        .arg("--settings")
        .arg(settings)
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    let mut program = Program {
        child,
        callers,
        _directory: directory,
    };
    wait_until("the program is ready", || {
        assert_eq!(program.exit_success(), None, "the program ended");
        program.is_ready()
    });
    program
}

/// Starts the stand-in for the platform and publishes the set of the back ends.
fn start_platform(backends: &Backends) -> Store {
    let platform = Store::start(LOOPBACK_ADDRESS).expect("platform starts");
    let draft = Draft::builder()
        .set(backends.set())
        .author("test")
        .nonce(1)
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
    platform
}

fn slow_engine() -> EngineSpec {
    EngineSpec {
        token_time: Duration::from_millis(20),
        ..EngineSpec::default()
    }
}

#[gtest]
fn first_signal_starts_a_drain_that_completes_running_calls() {
    let backends = Backends::start(1, &slow_engine());
    let platform = start_platform(&backends);
    let mut program = start_program(&platform, 30_000);
    let client = program.client();
    let report = std::thread::scope(|scope| {
        let running = scope.spawn(|| client.chat(&chat_call("a last call")));
        wait_until("the call runs", || backends.engines[0].stats().running == 1);
        program.send_sigterm();
        running.join().expect("the caller does not panic")
    });
    expect_that!(report.outcome, eq(Outcome::Answered));
    expect_that!(report.text, eq(&answer_text("a last call", 64)));
    wait_until("the program exits", || program.exit_success() == Some(true));
}

#[gtest]
fn second_signal_limits_the_duration_of_the_drain() {
    let backends = Backends::start(1, &slow_engine());
    let platform = start_platform(&backends);
    let mut program = start_program(&platform, 100);
    let body = chat_body("a call without end", 4_000);
    let mut stream = TcpStream::connect(program.callers).expect("connection opens");
    stream
        .write_all((request_head(body.len()) + &body).as_bytes())
        .expect("request is sent");
    wait_until("the call runs", || backends.engines[0].stats().running == 1);
    program.send_sigterm();
    wait_until("the program drains", || !program.is_ready());
    expect_that!(program.exit_success(), none());
    program.send_sigterm();
    wait_until("the program exits", || program.exit_success().is_some());
    let mut response = String::new();
    drop(stream.read_to_string(&mut response));
    expect_that!(response, not(contains_substring("[DONE]")));
}

#[gtest]
fn printed_settings_include_defaults_but_no_secrets() {
    let backends = Backends::start(0, &EngineSpec::default());
    let platform = start_platform(&backends);
    let directory = tempfile::tempdir().expect("a temporary directory");
    let (settings, _) = write_settings(directory.path(), &platform, 100);
    let output = Command::new(env!("CARGO_BIN_EXE_poplarswitch"))
        .arg("--settings")
        .arg(settings)
        .args(["--print-settings", "--vm", "vm-9"])
        .output()
        .expect("the program runs");
    let text = String::from_utf8(output.stdout).expect("text");
    expect_that!(text, contains_substring("\"vm\": \"vm-9\""));
    expect_that!(text, contains_substring("\"connections\": 4096"));
    expect_that!(text, not(contains_substring(OPERATORS_SECRET)));
}
