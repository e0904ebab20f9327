//! Calls through one node over real HTTP.

mod common;

use common::{Backs, KEY, agent, body, booking, chat, client, node, status, until};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_client::Outcome;
use poplarswitch_standins::{Engine, EngineFaults, EngineSpec, ServiceFaults, answer_text};
use std::{io::Read as _, io::Write as _, net::TcpStream};

fn quick() -> EngineSpec {
    EngineSpec {
        token_time: Duration::from_micros(500),
        ..EngineSpec::default()
    }
}

fn slow() -> EngineSpec {
    EngineSpec {
        token_time: Duration::from_millis(20),
        ..EngineSpec::default()
    }
}

#[gtest]
fn a_streamed_answer_comes_whole_and_in_pieces() {
    let backs = Backs::start(2, &quick());
    let node = node(&backs);
    let report = client(&node).chat(&chat("how deep is the snow"));
    expect_that!(report.outcome, eq(Outcome::Answered));
    expect_that!(report.text, eq(&answer_text("how deep is the snow", 64)));
    expect_that!(report.text_events, gt(1));
}

#[gtest]
fn a_whole_answer_comes_as_one() {
    let backs = Backs::start(1, &quick());
    let node = node(&backs);
    let url = format!("http://{}/v1/chat/completions", node.addresses().callers);
    let body = body("is it cold", 16).replace("true", "false");
    let mut response = agent()
        .post(url)
        .header("authorization", format!("Bearer {KEY}"))
        .send(&body)
        .expect("an answer");
    let text = response.body_mut().read_to_string().expect("a text");
    expect_that!(
        text,
        contains_substring(answer_text("is it cold", 16).trim())
    );
}

#[gtest]
fn concurrent_callers_each_get_their_own_answer() {
    let backs = Backs::start(2, &quick());
    let node = node(&backs);
    std::thread::scope(|scope| {
        for caller in 0..24 {
            let node = &node;
            scope.spawn(move || {
                let prompt = format!("question {caller}");
                let report = client(node).chat(&chat(&prompt));
                assert_eq!(report.outcome, Outcome::Answered, "{prompt}");
                assert_eq!(report.text, answer_text(&prompt, 64));
            });
        }
    });
    until("all slots are free", || status(&node).calls.open == 0);
    expect_that!(status(&node).calls.answered, eq(24));
}

#[gtest]
fn a_caller_that_leaves_a_stream_frees_its_slot() {
    let backs = Backs::start(1, &slow());
    let node = node(&backs);
    let body = body("a long story", 4_000);
    let mut stream = TcpStream::connect(node.addresses().callers).expect("connects");
    let head = common::head(body.len());
    stream.write_all((head + &body).as_bytes()).expect("sends");
    let mut some = [0; 256];
    expect_that!(stream.read(&mut some).expect("reads"), gt(0));
    expect_that!(status(&node).calls.open, eq(1));
    drop(stream);
    until("the call is over", || status(&node).calls.open == 0);
    until("the engine stops", || backs.engines[0].stats().running == 0);
    expect_that!(status(&node).calls.cancelled, eq(1));
    expect_that!(backs.engines[0].stats().finished, eq(0));
}

#[gtest]
fn a_caller_that_leaves_the_queue_is_never_run() {
    let backs = Backs::start(1, &slow());
    let node = node(&backs);
    let body = body("a long story", 4_000);
    let text = common::head(body.len()) + &body;
    let open = || {
        let mut stream = TcpStream::connect(node.addresses().callers).expect("connects");
        stream.write_all(text.as_bytes()).expect("sends");
        stream
    };
    let running: Vec<TcpStream> = (0..4).map(|_| open()).collect();
    until("all slots are taken", || status(&node).calls.running == 4);
    until("the engine runs them", || {
        backs.engines[0].stats().started == 4
    });
    let waiting = open();
    until("one waits", || status(&node).calls.open == 5);
    drop(waiting);
    until("none waits", || status(&node).calls.open == 4);
    drop(running);
    until("all are over", || status(&node).calls.open == 0);
    expect_that!(backs.engines[0].stats().started, eq(4));
}

#[gtest]
fn a_stream_that_is_cut_never_ends_as_if_it_were_whole() {
    let backs = Backs::start(1, &quick());
    backs.engines[0].set_faults(EngineFaults {
        cut_after: Some(3),
        ..EngineFaults::default()
    });
    let node = node(&backs);
    let report = client(&node).chat(&chat("tell me all"));
    let whole = answer_text("tell me all", 64);
    match report.outcome {
        Outcome::Answered => expect_that!(report.text, eq(&whole)),
        Outcome::InDoubt(_) | Outcome::Failed(_) => {
            expect_that!(whole.starts_with(&report.text), eq(true));
        }
        other => panic!("a cut stream ended as {other:?}"),
    }
    expect_that!(backs.engines[0].stats().resumed, ge(1));
    until("the call is over", || status(&node).calls.open == 0);
}

#[gtest]
fn a_declined_call_is_never_told_to_have_run() {
    let backs = Backs::start(1, &quick());
    backs.service.set_faults(ServiceFaults {
        decline: true,
        ..ServiceFaults::default()
    });
    let node = node(&backs);
    let client = client(&node);
    let report = client.invoke(&booking(client.new_key("k-1")));
    expect_that!(matches!(report.outcome, Outcome::NotRun(_)), eq(true));
    expect_that!(backs.service.stats().runs.len(), eq(0));
}

#[gtest]
fn a_lost_booking_is_in_doubt_and_ran_once() {
    let backs = Backs::start(1, &quick());
    backs.service.set_faults(ServiceFaults {
        lose_answers: true,
        ..ServiceFaults::default()
    });
    let node = node(&backs);
    let client = client(&node);
    let key = client.new_key("k-2");
    let report = client.invoke(&booking(key.clone()));
    expect_that!(matches!(report.outcome, Outcome::InDoubt(_)), eq(true));
    let again = client.invoke(&booking(key));
    expect_that!(matches!(again.outcome, Outcome::InDoubt(_)), eq(true));
    let runs: Vec<u32> = backs.service.stats().runs.into_values().collect();
    expect_that!(runs, eq(&[1]));
}

#[gtest]
fn a_booking_goes_on_when_its_caller_leaves() {
    let backs = Backs::start(1, &quick());
    backs.service.set_faults(ServiceFaults {
        delay: Duration::from_millis(300),
        ..ServiceFaults::default()
    });
    let node = node(&backs);
    let client = client(&node);
    let key = client.new_key("k-3").expect("a key");
    let mut stream = TcpStream::connect(node.addresses().callers).expect("connects");
    let text = format!(
        "POST /services/booking/seats HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         x-class: seats\r\nidempotency-key: {key}\r\ncontent-length: 2\r\n\r\n{{}}"
    );
    stream.write_all(text.as_bytes()).expect("sends");
    until("the booking runs", || status(&node).calls.running == 1);
    drop(stream);
    until("the booking is over", || status(&node).calls.open == 0);
    expect_that!(backs.service.stats().runs.get(&key), some(eq(&1)));
    expect_that!(status(&node).calls.answered, eq(1));
    let again = client.invoke(&booking(Some(key.clone())));
    expect_that!(again.outcome, eq(Outcome::Answered));
    expect_that!(backs.service.stats().runs.get(&key), some(eq(&1)));
}

#[gtest]
fn a_stream_whose_engine_restarts_ends_with_a_typed_error() {
    let mut backs = Backs::start(1, &slow());
    let node = node(&backs);
    let address = backs.engines[0].address();
    let report = std::thread::scope(|scope| {
        let running = scope.spawn(|| client(&node).chat(&chat("tell me much")));
        until("tokens come", || backs.engines[0].stats().tokens > 2);
        backs.engines.clear();
        until("the engine is back", || {
            let again = Engine::start(address, slow());
            backs.engines.extend(again);
            !backs.engines.is_empty()
        });
        running.join().expect("the caller ends")
    });
    let typed = matches!(report.outcome, Outcome::InDoubt(_) | Outcome::Failed(_));
    expect_that!(typed, eq(true));
    let whole = answer_text("tell me much", 64);
    expect_that!(whole.starts_with(&report.text), eq(true));
    until("the call is over", || status(&node).calls.open == 0);
}
