//! Calls through one node to the stand-ins for engines and services, over HTTP.

mod common;

use common::{
    BEARER_KEY, Backends, agent, booking_call, chat_body, chat_call, client, start_node, status,
    wait_until,
};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_client::Outcome;
use poplarswitch_standins::{Engine, EngineFaults, EngineSpec, ServiceFaults, answer_text};
use std::{io::Read as _, io::Write as _, net::TcpStream};

fn fast_engine() -> EngineSpec {
    EngineSpec {
        token_time: Duration::from_micros(500),
        ..EngineSpec::default()
    }
}

fn slow_engine() -> EngineSpec {
    EngineSpec {
        token_time: Duration::from_millis(20),
        ..EngineSpec::default()
    }
}

#[gtest]
fn streamed_answer_is_complete_and_has_several_events() {
    let backends = Backends::start(2, &fast_engine());
    let node = start_node(&backends);
    let report = client(&node).chat(&chat_call("how deep is the snow"));
    expect_that!(report.outcome, eq(Outcome::Answered));
    expect_that!(report.text, eq(&answer_text("how deep is the snow", 64)));
    expect_that!(report.text_events, gt(1));
}

#[gtest]
fn unstreamed_answer_is_complete() {
    let backends = Backends::start(1, &fast_engine());
    let node = start_node(&backends);
    let url = format!("http://{}/v1/chat/completions", node.addresses().callers);
    let body = chat_body("is it cold", 16).replace("true", "false");
    let mut response = agent()
        .post(url)
        .header("authorization", format!("Bearer {BEARER_KEY}"))
        .send(&body)
        .expect("a response");
    let text = response.body_mut().read_to_string().expect("a UTF-8 body");
    expect_that!(
        text,
        contains_substring(answer_text("is it cold", 16).trim())
    );
}

#[gtest]
fn concurrent_callers_each_get_their_own_answer() {
    let backends = Backends::start(2, &fast_engine());
    let node = start_node(&backends);
    std::thread::scope(|scope| {
        for caller in 0..24 {
            let node = &node;
            scope.spawn(move || {
                let prompt = format!("question {caller}");
                let report = client(node).chat(&chat_call(&prompt));
                assert_eq!(report.outcome, Outcome::Answered, "{prompt}");
                assert_eq!(report.text, answer_text(&prompt, 64));
            });
        }
    });
    wait_until("all slots are free", || status(&node).calls.open == 0);
    expect_that!(status(&node).calls.answered, eq(24));
}

#[gtest]
fn slot_is_freed_when_a_caller_disconnects_during_a_stream() {
    let backends = Backends::start(1, &slow_engine());
    let node = start_node(&backends);
    let body = chat_body("a long story", 4_000);
    let mut stream = TcpStream::connect(node.addresses().callers).expect("connection opens");
    let head = common::request_head(body.len());
    stream
        .write_all((head + &body).as_bytes())
        .expect("request is sent");
    let mut start = [0; 256];
    expect_that!(stream.read(&mut start).expect("response is read"), gt(0));
    expect_that!(status(&node).calls.open, eq(1));
    drop(stream);
    wait_until("the call has ended", || status(&node).calls.open == 0);
    wait_until("the engine has stopped the call", || {
        backends.engines[0].stats().running == 0
    });
    expect_that!(status(&node).calls.cancelled, eq(1));
    expect_that!(backends.engines[0].stats().finished, eq(0));
}

#[gtest]
fn queued_call_whose_caller_disconnects_is_not_run() {
    let backends = Backends::start(1, &slow_engine());
    let node = start_node(&backends);
    let body = chat_body("a long story", 4_000);
    let text = common::request_head(body.len()) + &body;
    let open = || {
        let mut stream = TcpStream::connect(node.addresses().callers).expect("connection opens");
        stream.write_all(text.as_bytes()).expect("request is sent");
        stream
    };
    let running: Vec<TcpStream> = (0..4).map(|_| open()).collect();
    wait_until("all slots are taken", || status(&node).calls.running == 4);
    wait_until("the engine runs all four calls", || {
        backends.engines[0].stats().started == 4
    });
    let queued = open();
    wait_until("the fifth call is queued", || status(&node).calls.open == 5);
    drop(queued);
    wait_until("the queued call is removed", || {
        status(&node).calls.open == 4
    });
    drop(running);
    wait_until("all calls have ended", || status(&node).calls.open == 0);
    expect_that!(backends.engines[0].stats().started, eq(4));
}

#[gtest]
fn cut_stream_is_not_reported_as_complete() {
    let backends = Backends::start(1, &fast_engine());
    backends.engines[0].set_faults(EngineFaults {
        cut_after: Some(3),
        ..EngineFaults::default()
    });
    let node = start_node(&backends);
    let report = client(&node).chat(&chat_call("tell me all"));
    let complete = answer_text("tell me all", 64);
    match report.outcome {
        Outcome::Answered => expect_that!(report.text, eq(&complete)),
        Outcome::InDoubt(_) | Outcome::Failed(_) => {
            expect_that!(complete.starts_with(&report.text), eq(true));
        }
        other => panic!("outcome of a cut stream: {other:?}"),
    }
    expect_that!(backends.engines[0].stats().resumed, ge(1));
    wait_until("the call has ended", || status(&node).calls.open == 0);
}

#[gtest]
fn declined_call_is_reported_as_not_run() {
    let backends = Backends::start(1, &fast_engine());
    backends.service.set_faults(ServiceFaults {
        decline: true,
        ..ServiceFaults::default()
    });
    let node = start_node(&backends);
    let client = client(&node);
    let report = client.invoke(&booking_call(client.new_key("k-1")));
    expect_that!(matches!(report.outcome, Outcome::NotRun(_)), eq(true));
    expect_that!(backends.service.stats().runs.len(), eq(0));
}

#[gtest]
fn non_repeatable_call_with_a_lost_answer_is_in_doubt_and_ran_once() {
    let backends = Backends::start(1, &fast_engine());
    backends.service.set_faults(ServiceFaults {
        lose_answers: true,
        ..ServiceFaults::default()
    });
    let node = start_node(&backends);
    let client = client(&node);
    let key = client.new_key("k-2");
    let report = client.invoke(&booking_call(key.clone()));
    expect_that!(matches!(report.outcome, Outcome::InDoubt(_)), eq(true));
    let again = client.invoke(&booking_call(key));
    expect_that!(matches!(again.outcome, Outcome::InDoubt(_)), eq(true));
    let runs: Vec<u32> = backends.service.stats().runs.into_values().collect();
    expect_that!(runs, eq(&[1]));
}

#[gtest]
fn non_repeatable_call_continues_when_its_caller_disconnects() {
    let backends = Backends::start(1, &fast_engine());
    backends.service.set_faults(ServiceFaults {
        delay: Duration::from_millis(300),
        ..ServiceFaults::default()
    });
    let node = start_node(&backends);
    let client = client(&node);
    let key = client.new_key("k-3").expect("an idempotency key");
    let mut stream = TcpStream::connect(node.addresses().callers).expect("connection opens");
    let text = format!(
        "POST /services/booking/seats HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {BEARER_KEY}\r\n\
         x-class: seats\r\nidempotency-key: {key}\r\ncontent-length: 2\r\n\r\n{{}}"
    );
    stream.write_all(text.as_bytes()).expect("request is sent");
    wait_until("the call runs", || status(&node).calls.running == 1);
    drop(stream);
    wait_until("the call has ended", || status(&node).calls.open == 0);
    expect_that!(backends.service.stats().runs.get(&key), some(eq(&1)));
    expect_that!(status(&node).calls.answered, eq(1));
    let again = client.invoke(&booking_call(Some(key.clone())));
    expect_that!(again.outcome, eq(Outcome::Answered));
    expect_that!(backends.service.stats().runs.get(&key), some(eq(&1)));
}

#[gtest]
fn stream_whose_engine_restarts_ends_with_a_typed_error() {
    let mut backends = Backends::start(1, &slow_engine());
    let node = start_node(&backends);
    let address = backends.engines[0].address();
    let report = std::thread::scope(|scope| {
        let running = scope.spawn(|| client(&node).chat(&chat_call("tell me much")));
        wait_until("some tokens are generated", || {
            backends.engines[0].stats().tokens > 2
        });
        backends.engines.clear();
        wait_until("the engine has restarted", || {
            let restarted = Engine::start(address, slow_engine());
            backends.engines.extend(restarted);
            !backends.engines.is_empty()
        });
        running.join().expect("the caller does not panic")
    });
    let typed = matches!(report.outcome, Outcome::InDoubt(_) | Outcome::Failed(_));
    expect_that!(typed, eq(true));
    let complete = answer_text("tell me much", 64);
    expect_that!(complete.starts_with(&report.text), eq(true));
    wait_until("the call has ended", || status(&node).calls.open == 0);
}
