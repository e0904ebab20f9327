//! Callers that send what they should not.

mod common;

use common::{
    Backs, KEY, OPERATOR, agent, body, chat, client, head, node, post_error, raw, status,
};
use googletest::prelude::*;
use poplarswitch_client::Outcome;
use poplarswitch_standins::EngineSpec;
use poplarswitch_wire::{ErrorCode, Ran, Step};
use std::{io::Read as _, io::Write as _, net::TcpStream};

#[gtest]
fn every_refusal_is_typed_and_nothing_is_dispatched() {
    let backs = Backs::start(1, &EngineSpec::default());
    let node = node(&backs);
    let good = body("x", 8);
    let other = good.replace("assistant", "other");
    let large = body(&"x".repeat(300_000), 8);
    let cases = [
        ("wrong", None, good.as_str(), 401, ErrorCode::Unauthorized),
        (KEY, Some("gold"), &good, 400, ErrorCode::UnknownClass),
        (KEY, Some("seats"), &good, 400, ErrorCode::ClassMismatch),
        (KEY, None, &other, 404, ErrorCode::UnknownModel),
        (KEY, None, "{\"model\":", 400, ErrorCode::Malformed),
        (KEY, None, &large, 413, ErrorCode::BodyTooLarge),
    ];
    for (key, class, body, status, code) in cases {
        let (found, error) = post_error(&node, key, class, body);
        expect_that!(found, eq(status));
        expect_that!(error.code, eq(code));
        expect_that!(error.ran, eq(Ran::NotRun));
        expect_that!(error.peer, eq("vm-1"));
    }
    expect_that!(backs.engines[0].stats().started, eq(0));
}

#[gtest]
fn a_missing_and_a_wrong_key_look_the_same() {
    let backs = Backs::start(1, &EngineSpec::default());
    let node = node(&backs);
    let (_, wrong) = post_error(&node, "wrong", None, &body("x", 8));
    let (_, empty) = post_error(&node, "", None, &body("x", 8));
    expect_that!(wrong, eq(&empty));
    expect_that!(wrong.message, not(contains_substring("guests")));
    expect_that!(wrong.step, eq(Step::Authenticate));
}

#[gtest]
fn a_booking_without_a_key_is_refused() {
    let backs = Backs::start(1, &EngineSpec::default());
    let node = node(&backs);
    let report = client(&node).invoke(&common::booking(None));
    expect_that!(report.outcome, eq(Outcome::NotRun(ErrorCode::KeyRequired)));
    expect_that!(backs.service.stats().unkeyed, eq(0));
}

#[gtest]
fn a_body_over_its_announced_bound_is_refused_unread() {
    let backs = Backs::start(1, &EngineSpec::default());
    let node = node(&backs);
    let answer = raw(node.addresses().callers, head(50_000_000).as_bytes());
    expect_that!(answer, starts_with("HTTP/1.1 413"));
}

#[gtest]
fn a_body_that_never_ends_is_cut_off_by_size() {
    let backs = Backs::start(1, &EngineSpec::default());
    let node = node(&backs);
    let mut stream = TcpStream::connect(node.addresses().callers).expect("connects");
    let head = head(0).replace("content-length: 0", "transfer-encoding: chunked");
    stream.write_all(head.as_bytes()).expect("sends");
    let chunk = format!("{:x}\r\n{}\r\n", 65_536, "x".repeat(65_536));
    while stream.write_all(chunk.as_bytes()).is_ok() {}
    let mut answer = String::new();
    drop(stream.read_to_string(&mut answer));
    expect_that!(status(&node).calls.received, eq(0));
    expect_that!(backs.engines[0].stats().started, eq(0));
}

#[gtest]
fn half_a_call_is_answered_and_others_go_on() {
    let backs = Backs::start(1, &EngineSpec::default());
    let node = node(&backs);
    let mut half = TcpStream::connect(node.addresses().callers).expect("connects");
    half.write_all((head(100) + "{\"model\"").as_bytes())
        .expect("sends");
    let report = client(&node).chat(&chat("meanwhile"));
    expect_that!(report.outcome, eq(Outcome::Answered));
    let mut answer = String::new();
    drop(half.read_to_string(&mut answer));
    expect_that!(answer, starts_with("HTTP/1.1 408"));
    expect_that!(answer, contains_substring("body_timeout"));
}

#[gtest]
fn half_a_head_ends_the_connection() {
    let backs = Backs::start(1, &EngineSpec::default());
    let node = node(&backs);
    let answer = raw(node.addresses().callers, b"POST /v1/chat");
    expect_that!(answer, not(contains_substring("200 OK")));
    expect_that!(status(&node).calls.received, eq(0));
}

#[gtest]
fn the_operators_port_needs_its_secret() {
    let backs = Backs::start(1, &EngineSpec::default());
    let node = node(&backs);
    let url = format!("http://{}/status", node.addresses().operators);
    let get = |secret: &str| {
        let shown = format!("Bearer {secret}");
        let response = agent().get(&url).header("authorization", shown).call();
        response.expect("an answer").status().as_u16()
    };
    expect_that!(get("wrong"), eq(401));
    expect_that!(get(OPERATOR), eq(200));
}

#[gtest]
fn the_metrics_port_counts_refusals_by_code() {
    let backs = Backs::start(1, &EngineSpec::default());
    let node = node(&backs);
    post_error(&node, "wrong", None, &body("x", 8));
    let url = format!("http://{}/metrics", node.addresses().metrics);
    let mut response = agent().get(&url).call().expect("an answer");
    let text = response.body_mut().read_to_string().expect("a text");
    expect_that!(
        text,
        contains_substring("poplarswitch_errors_total{code=\"unauthorized\"} 1")
    );
}
