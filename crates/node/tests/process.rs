//! The program itself: its settings, its signals, its end.

mod common;

use common::{ANY, Backs, KEY, OPERATOR, body, chat, head, until};
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

/// A running program; ended with the test.
struct Program {
    child: Child,
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
    fn signal(&self) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(sent.expect("kill runs").success());
    }

    fn ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.callers);
        let answer = common::agent().get(url).call();
        answer.is_ok_and(|answer| answer.status().as_u16() == 200)
    }

    fn client(&self) -> Client {
        Client::new(Directory::new(vec![self.callers], 1), KEY)
    }

    fn ended(&mut self) -> Option<bool> {
        let ended = self.child.try_wait().expect("the child is known");
        ended.map(|status| status.success())
    }
}

/// An address that was free a moment ago.
fn free() -> SocketAddr {
    let listener = TcpListener::bind(ANY).expect("opens");
    listener.local_addr().expect("an address")
}

fn write_settings(directory: &Path, platform: &Store, drain_ms: u32) -> (PathBuf, SocketAddr) {
    let callers = free();
    let secret = directory.join("secret");
    std::fs::write(&secret, OPERATOR).expect("writes");
    let settings = serde_json::json!({
        "vm": "vm-1", "data_centre": "ifrane", "cell": "atlas", "platform": platform.url(),
        "addresses": {"callers": callers, "operators": free(), "metrics": free(), "peers": free()},
        "secrets": {"operators": secret, "peers": secret},
        "linger_ms": 50, "drain_ms": drain_ms,
    });
    let path = directory.join("settings.json");
    std::fs::write(&path, settings.to_string()).expect("writes");
    (path, callers)
}

fn start(platform: &Store, drain_ms: u32) -> Program {
    let directory = tempfile::tempdir().expect("a directory");
    let (settings, callers) = write_settings(directory.path(), platform, drain_ms);
    let child = Command::new(env!("CARGO_BIN_EXE_poplarswitch"))
        .arg("--settings")
        .arg(settings)
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    let program = Program {
        child,
        callers,
        _directory: directory,
    };
    until("it is ready", || program.ready());
    program
}

fn platform_with(backs: &Backs) -> Store {
    let platform = Store::start(ANY).expect("platform starts");
    let draft = Draft::builder()
        .set(backs.set())
        .author("test")
        .nonce(1)
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
    platform
}

fn slow() -> EngineSpec {
    EngineSpec {
        token_time: Duration::from_millis(20),
        ..EngineSpec::default()
    }
}

#[gtest]
fn a_signal_drains_and_cuts_nothing() {
    let backs = Backs::start(1, &slow());
    let platform = platform_with(&backs);
    let mut program = start(&platform, 30_000);
    let client = program.client();
    let report = std::thread::scope(|scope| {
        let running = scope.spawn(|| client.chat(&chat("a last call")));
        until("it runs", || backs.engines[0].stats().running == 1);
        program.signal();
        running.join().expect("the caller ends")
    });
    expect_that!(report.outcome, eq(Outcome::Answered));
    expect_that!(report.text, eq(&answer_text("a last call", 64)));
    until("it ends", || program.ended() == Some(true));
}

#[gtest]
fn a_second_signal_ends_a_drain_that_lasts() {
    let backs = Backs::start(1, &slow());
    let platform = platform_with(&backs);
    let mut program = start(&platform, 100);
    let body = body("a call without end", 4_000);
    let mut stream = TcpStream::connect(program.callers).expect("connects");
    stream
        .write_all((head(body.len()) + &body).as_bytes())
        .expect("sends");
    until("it runs", || backs.engines[0].stats().running == 1);
    program.signal();
    until("it drains", || !program.ready());
    expect_that!(program.ended(), none());
    program.signal();
    until("it ends", || program.ended().is_some());
    let mut answer = String::new();
    drop(stream.read_to_string(&mut answer));
    expect_that!(answer, not(contains_substring("[DONE]")));
}

#[gtest]
fn the_settings_are_printed_with_their_defaults() {
    let backs = Backs::start(0, &EngineSpec::default());
    let platform = platform_with(&backs);
    let directory = tempfile::tempdir().expect("a directory");
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
    expect_that!(text, not(contains_substring(OPERATOR)));
}
