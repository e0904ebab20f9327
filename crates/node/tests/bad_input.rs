//! Invalid, unauthorised and incomplete requests.

mod common;

use common::{
    BEARER_KEY, Backends, OPERATORS_SECRET, agent, chat_body, chat_call, client, post_error,
    request_head, send_raw, start_node, status,
};
use googletest::prelude::*;
use poplarswitch_client::Outcome;
use poplarswitch_standins::EngineSpec;
use poplarswitch_wire::{ErrorCode, Ran, Step};
use std::{io::Read as _, io::Write as _, net::TcpStream};

#[gtest]
fn rejected_call_gets_a_typed_error_and_is_not_dispatched() {
    let backends = Backends::start(1, &EngineSpec::default());
    let node = start_node(&backends);
    let valid = chat_body("x", 8);
    let other_model = valid.replace("assistant", "other");
    let large = chat_body(&"x".repeat(300_000), 8);
    let cases = [
        ("wrong", None, valid.as_str(), 401, ErrorCode::Unauthorized),
        (
            BEARER_KEY,
            Some("gold"),
            &valid,
            400,
            ErrorCode::UnknownClass,
        ),
        (
            BEARER_KEY,
            Some("seats"),
            &valid,
            400,
            ErrorCode::ClassMismatch,
        ),
        (BEARER_KEY, None, &other_model, 404, ErrorCode::UnknownModel),
        (BEARER_KEY, None, "{\"model\":", 400, ErrorCode::Malformed),
        (BEARER_KEY, None, &large, 413, ErrorCode::BodyTooLarge),
    ];
    for (key, class, body, status, code) in cases {
        let (found_status, error) = post_error(&node, key, class, body);
        expect_that!(found_status, eq(status));
        expect_that!(error.code, eq(code));
        expect_that!(error.ran, eq(Ran::NotRun));
        expect_that!(error.peer, eq("vm-1"));
    }
    expect_that!(backends.engines[0].stats().started, eq(0));
}

#[gtest]
fn missing_key_and_wrong_key_get_the_same_error() {
    let backends = Backends::start(1, &EngineSpec::default());
    let node = start_node(&backends);
    let (_, wrong) = post_error(&node, "wrong", None, &chat_body("x", 8));
    let (_, missing) = post_error(&node, "", None, &chat_body("x", 8));
    expect_that!(wrong, eq(&missing));
    expect_that!(wrong.message, not(contains_substring("guests")));
    expect_that!(wrong.step, eq(Step::Authenticate));
}

#[gtest]
fn non_repeatable_call_without_an_idempotency_key_is_refused() {
    let backends = Backends::start(1, &EngineSpec::default());
    let node = start_node(&backends);
    let report = client(&node).invoke(&common::booking_call(None));
    expect_that!(report.outcome, eq(Outcome::NotRun(ErrorCode::KeyRequired)));
    expect_that!(backends.service.stats().unkeyed, eq(0));
}

#[gtest]
fn body_with_a_too_large_content_length_is_refused_unread() {
    let backends = Backends::start(1, &EngineSpec::default());
    let node = start_node(&backends);
    let response = send_raw(
        node.addresses().callers,
        request_head(50_000_000).as_bytes(),
    );
    expect_that!(response, starts_with("HTTP/1.1 413"));
}

#[gtest]
fn endless_chunked_body_is_cut_off() {
    let backends = Backends::start(1, &EngineSpec::default());
    let node = start_node(&backends);
    let mut stream = TcpStream::connect(node.addresses().callers).expect("connection opens");
    let head = request_head(0).replace("content-length: 0", "transfer-encoding: chunked");
    stream.write_all(head.as_bytes()).expect("request is sent");
    let chunk = format!("{:x}\r\n{}\r\n", 65_536, "x".repeat(65_536));
    while stream.write_all(chunk.as_bytes()).is_ok() {}
    let mut response = String::new();
    drop(stream.read_to_string(&mut response));
    expect_that!(status(&node).calls.received, eq(0));
    expect_that!(backends.engines[0].stats().started, eq(0));
}

#[gtest]
fn incomplete_body_times_out_and_other_calls_are_served() {
    let backends = Backends::start(1, &EngineSpec::default());
    let node = start_node(&backends);
    let mut incomplete = TcpStream::connect(node.addresses().callers).expect("connection opens");
    incomplete
        .write_all((request_head(100) + "{\"model\"").as_bytes())
        .expect("request is sent");
    let report = client(&node).chat(&chat_call("meanwhile"));
    expect_that!(report.outcome, eq(Outcome::Answered));
    let mut response = String::new();
    drop(incomplete.read_to_string(&mut response));
    expect_that!(response, starts_with("HTTP/1.1 408"));
    expect_that!(response, contains_substring("body_timeout"));
}

#[gtest]
fn connection_with_an_incomplete_head_is_closed() {
    let backends = Backends::start(1, &EngineSpec::default());
    let node = start_node(&backends);
    let response = send_raw(node.addresses().callers, b"POST /v1/chat");
    expect_that!(response, not(contains_substring("200 OK")));
    expect_that!(status(&node).calls.received, eq(0));
}

#[gtest]
fn operators_port_requires_its_secret() {
    let backends = Backends::start(1, &EngineSpec::default());
    let node = start_node(&backends);
    let url = format!("http://{}/status", node.addresses().operators);
    let get = |secret: &str| {
        let authorization = format!("Bearer {secret}");
        let response = agent()
            .get(&url)
            .header("authorization", authorization)
            .call();
        response.expect("a response").status().as_u16()
    };
    expect_that!(get("wrong"), eq(401));
    expect_that!(get(OPERATORS_SECRET), eq(200));
}

#[gtest]
fn metrics_port_counts_errors_by_code() {
    let backends = Backends::start(1, &EngineSpec::default());
    let node = start_node(&backends);
    post_error(&node, "wrong", None, &chat_body("x", 8));
    let url = format!("http://{}/metrics", node.addresses().metrics);
    let mut response = agent().get(&url).call().expect("a response");
    let text = response.body_mut().read_to_string().expect("a UTF-8 body");
    expect_that!(
        text,
        contains_substring("poplarswitch_errors_total{code=\"unauthorized\"} 1")
    );
}
